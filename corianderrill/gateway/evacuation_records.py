"""Log records of evacuated availability zones."""

import msgspec


class ZoneEvacuation(msgspec.Struct, tag="evacuation", tag_field="event"):
    """A zone was evacuated (`began`), its evacuation was removed (`ended`), or its
    replicas get all their requests again (`returned`).

    `replicas` is how many of the zone may be in use.
    """

    zone: str
    change: str
    replicas: int
    revision: int
    era: int = 0


class AttemptsWithdrawn(msgspec.Struct, tag="evacuation-queue", tag_field="event"):
    """Requests that waited for a connection to evacuated replicas go elsewhere."""

    attempts: int
