"""Decides which workspace a request belongs to, from its key or its entry host.

The configuration that routed the request decides, so that a key and a route are always
judged by the same version.
"""

import dataclasses
import enum
from collections.abc import Sequence

from corianderrill import names
from corianderrill.gateway import routes, view
from corianderrill.platform import requests

STATUS_UNAUTHORIZED = 401
STATUS_UNAVAILABLE = 503
NOT_CURRENT_RETRY_AFTER_S = 0.2


class KeyFault(enum.Enum):
    """What is wrong with the key of a request; the values are logged."""

    MISSING = "no-key"
    UNKNOWN = "unknown-key"


@dataclasses.dataclass(frozen=True, slots=True)
class Accepted:
    """The request may be served.

    `workspace` is empty if it belongs to none, and None if the configuration has no
    workspaces.
    """

    workspace: names.WorkspaceName | None


@dataclasses.dataclass(frozen=True, slots=True)
class Denied:
    """The request has no key that is known."""

    fault: KeyFault


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRefusal:
    """The status and reason with which a request is refused because of its key."""

    status: int
    reason: str
    retry_after_s: float | None


NO_WORKSPACE = names.WorkspaceName("")


def authenticate(
    selected: routes.SelectedRoute, headers: Sequence[tuple[str, str]]
) -> Accepted | Denied:
    """Decide which workspace the request of a caller belongs to.

    Requests on public routes belong to none, also those with a key.
    """
    configuration = selected.configuration
    if not configuration.has_workspaces:
        return Accepted(None)
    if selected.route.is_public:
        return Accepted(NO_WORKSPACE)
    key = requests.parse_key(headers)
    if key is None:
        return Denied(KeyFault.MISSING)
    workspace = configuration.find_workspace(key)
    if workspace is None:
        return Denied(KeyFault.UNKNOWN)
    return Accepted(workspace.name)


def accept_delegated(
    selected: routes.SelectedRoute, headers: Sequence[tuple[str, str]]
) -> Accepted:
    """Return the workspace that the entry host names in a delegated query."""
    if not selected.configuration.has_workspaces:
        return Accepted(None)
    return Accepted(requests.parse_workspace(headers))


def find_refusal(fault: KeyFault, current_view: view.View, now: float) -> KeyRefusal:
    """Return how to refuse a request because of its key.

    The key may have been added in a version that a host out of touch does not have.
    """
    if current_view.is_current(now):
        return KeyRefusal(STATUS_UNAUTHORIZED, fault.value, None)
    return KeyRefusal(
        STATUS_UNAVAILABLE, f"{fault.value}-yet", NOT_CURRENT_RETRY_AFTER_S
    )
