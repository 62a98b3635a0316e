"""Log records on the load of replicas; they are part of the format of `event_log`."""

import msgspec


class LoadReportInvalid(msgspec.Struct, tag="load-report-invalid", tag_field="event"):
    """A replica sent a load report that is not understood; it is ignored."""

    replica: str
    service: str
    detail: str
