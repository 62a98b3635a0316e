"""HTTP status, header value and exit status for each outcome of a query."""

import dataclasses
import enum
import http

from corianderrill import outcomes

OUTCOME_HEADER = "Corianderrill-Outcome"


class ExitStatus(enum.IntEnum):
    """Exit status of the command-line program."""

    SUCCESS = 0
    ERROR = 1
    USAGE = 2
    PARTIAL = 3
    NOT_RUN = 4
    UNKNOWN = 5
    REJECTED = 6
    CONFLICT = 7
    UNREACHABLE = 8
    INSUFFICIENT = 9
    INTERRUPTED = 130


@dataclasses.dataclass(frozen=True, slots=True)
class OutcomeStatus:
    """How one kind of outcome is reported over HTTP and by the command line."""

    http_status: http.HTTPStatus
    header_value: str
    exit_status: ExitStatus


STATUS_BY_OUTCOME: dict[type, OutcomeStatus] = {
    outcomes.Complete: OutcomeStatus(
        http.HTTPStatus.OK, "complete", ExitStatus.SUCCESS
    ),
    outcomes.Partial: OutcomeStatus(
        http.HTTPStatus.PARTIAL_CONTENT, "partial", ExitStatus.PARTIAL
    ),
    outcomes.Insufficient: OutcomeStatus(
        http.HTTPStatus.FAILED_DEPENDENCY, "insufficient", ExitStatus.INSUFFICIENT
    ),
    outcomes.NotRun: OutcomeStatus(
        http.HTTPStatus.SERVICE_UNAVAILABLE, "not-run", ExitStatus.NOT_RUN
    ),
    outcomes.Unknown: OutcomeStatus(
        http.HTTPStatus.BAD_GATEWAY, "unknown", ExitStatus.UNKNOWN
    ),
}

_HTTP_STATUS_BY_REFUSAL = {
    outcomes.RefusalReason.BAD_REQUEST: http.HTTPStatus.BAD_REQUEST,
    outcomes.RefusalReason.UNKNOWN_TEMPLATE: http.HTTPStatus.NOT_FOUND,
    outcomes.RefusalReason.OVERLOADED: http.HTTPStatus.TOO_MANY_REQUESTS,
    outcomes.RefusalReason.DEADLINE: http.HTTPStatus.GATEWAY_TIMEOUT,
    outcomes.RefusalReason.SNAPSHOT: http.HTTPStatus.PRECONDITION_FAILED,
    outcomes.RefusalReason.COVERAGE: http.HTTPStatus.PRECONDITION_FAILED,
}


def status_for(outcome: outcomes.Outcome) -> OutcomeStatus:
    """Return the status of an outcome; for `NotRun` the reason sets the HTTP status."""
    status = STATUS_BY_OUTCOME[type(outcome)]
    match outcome:
        case outcomes.NotRun(reason=reason) if reason in _HTTP_STATUS_BY_REFUSAL:
            return dataclasses.replace(
                status, http_status=_HTTP_STATUS_BY_REFUSAL[reason]
            )
        case _:
            return status


def exit_status_for(header_value: str | None) -> ExitStatus:
    """Return the exit status for a value of the outcome header of a reply.

    It is `UNKNOWN` if the header is absent or its value is not recognized.
    """
    exit_statuses = {
        status.header_value: status.exit_status for status in STATUS_BY_OUTCOME.values()
    }
    return exit_statuses.get(header_value or "", ExitStatus.UNKNOWN)
