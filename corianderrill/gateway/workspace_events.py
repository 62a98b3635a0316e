"""Log records of workspaces; `event_log` writes them. No record holds a key."""

import msgspec


class SharedKeys(msgspec.Struct, tag="shared-keys", tag_field="event"):
    """Two workspaces of a configuration have `keys` keys in common; `holder` has them.

    `other` is not served with these keys.
    """

    version: int
    holder: str
    other: str
    keys: int


class HeldInQueue(msgspec.Struct, tag="held-in-queue", tag_field="event"):
    """An attempt waited for a replica until it was withdrawn; it was not sent.

    `waiting` counts the requests that wait for the replica after that, by workspace;
    only the workspaces with most of them are listed. `pending` is how many requests
    were sent to it and not answered, `allowed` how many it may have; None if only the
    number of connections bounds it.
    """

    request_id: str
    workspace: str
    priority: int
    service: str
    replica: str
    waited_ms: float
    pending: int
    allowed: float | None
    waiting: dict[str, int]
