"""Metrics of one host: every metric in one table, cheap cells, text for a scrape.

The collectors of aioprometheus encode the labels on each increment. Here an
increment changes a cell; the collectors read the cells when they are rendered.
"""

import bisect
import dataclasses
import enum
import itertools
from collections.abc import Mapping

import aioprometheus

PREFIX = "corianderrill_"
OVERFLOW = "other"
SECONDS_BOUNDS = (
    *(0.001, 0.002, 0.005, 0.01, 0.015, 0.02, 0.03, 0.05, 0.075, 0.1),
    *(0.15, 0.22, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0),
)
RATIO_BOUNDS = (0.0, 0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1.0)
_ESCAPES = str.maketrans({"\\": r"\\", '"': r"\"", "\n": r"\n"})


class Kind(enum.Enum):
    """What a metric does."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclasses.dataclass(frozen=True, slots=True, eq=False)
class Metric:
    """One metric.

    Past `series_at_most` combinations of labels, further ones are counted together
    with every label `other`.
    """

    kind: Kind
    stem: str
    unit: str
    help: str
    labels: tuple[str, ...] = ()
    series_at_most: int = 1
    bounds: tuple[float, ...] = SECONDS_BOUNDS

    @property
    def name(self) -> str:
        """Name with prefix and unit, as a scrape shows it."""
        suffix = "_total" if self.kind is Kind.COUNTER else ""
        unit = f"_{self.unit}" if self.unit in ("seconds", "bytes", "ratio") else ""
        return f"{PREFIX}{self.stem}{unit}{suffix}"


def _count(
    stem: str,
    text: str,
    labels: tuple[str, ...] = (),
    at_most: int = 1,
    unit: str = "1",
) -> Metric:
    return Metric(Kind.COUNTER, stem, unit, text, labels, at_most)


def _gauge(
    stem: str,
    text: str,
    labels: tuple[str, ...] = (),
    at_most: int = 1,
    unit: str = "1",
) -> Metric:
    return Metric(Kind.GAUGE, stem, unit, text, labels, at_most)


def _time(
    stem: str, text: str, labels: tuple[str, ...] = (), at_most: int = 1
) -> Metric:
    return Metric(Kind.HISTOGRAM, stem, "seconds", text, labels, at_most)


# Answers to callers.
QUERIES = _count("queries", "Queries answered.", ("fleet", "outcome"), 16)
QUERY_SECONDS = _time(
    "query_duration", "From admission to answer.", ("fleet", "outcome"), 16
)
COVERAGE = Metric(
    Kind.HISTOGRAM,
    "answer_coverage",
    "ratio",
    "Share of the shards asked that answered.",
    ("fleet",),
    4,
    RATIO_BOUNDS,
)
MISSING_SHARDS = _count(
    "missing_shards", "Shards missing from answers.", ("fleet", "reason"), 32
)
REFUSALS = _count("refusals", "Queries refused as not run.", ("reason",), 32)
QUERIES_IN_FLIGHT = _gauge("queries_in_flight", "Queries admitted, not answered.")
ADMISSION_QUEUE = _gauge("admission_queue", "Queries that wait for admission.")
ADMISSION_SECONDS = _time("admission_wait", "Wait of a query before it is admitted.")
SNAPSHOT_RESTARTS = _count(
    "snapshot_restarts", "Queries begun again on a newer snapshot.", ("fleet",), 4
)
BAD_REQUESTS = _count(
    "bad_requests", "Requests refused before they were read whole.", ("reason",), 16
)

CALLERS_EVICTED = _count(
    "caller_connections_evicted", "Idle connections that gave way to new ones."
)

# Sub-requests to backend servers.
SUBREQUESTS = _count(
    "subrequests", "Sub-requests ended.", ("fleet", "service", "outcome"), 1_000
)
SUBREQUEST_SECONDS = _time(
    "subrequest_duration", "From choice to reply.", ("fleet", "service"), 200
)
HEDGES = _count("hedges", "Hedges by result.", ("fleet", "result"), 16)
RETRIES = _count("retries", "Retries by reason.", ("fleet", "reason"), 32)
EXTRA_LOAD = _gauge(
    "extra_load", "Hedges and retries by sub-requests, since the start.", unit="ratio"
)
EXTRA_DENIED = _count("extra_load_denied", "Hedges and retries past the budget.")
CANCELLATIONS = _count("cancellations", "Sub-requests cancelled.", ("fleet",), 4)
REPLIES_DROPPED = _count(
    "replies_dropped", "Replies of backend servers not used.", ("reason",), 16
)
REPLIES_INVALID = _count(
    "replies_invalid",
    "Replies of backend servers that failed a check.",
    ("reason",),
    16,
)
REPLICAS = _gauge("replicas", "Replicas known by state.", ("fleet", "state"), 32)
CONNECTIONS_OPENED = _count(
    "backend_connections_opened", "Connections set up to backend servers."
)

# Messages between entry hosts.
PEER_MESSAGES = _count("peer_messages", "Messages between hosts.", ("direction",), 2)
PEER_BYTES = _count(
    "peer_traffic", "Size of messages between hosts.", ("direction",), 2, "bytes"
)
PEER_REFUSALS = _count(
    "peer_messages_refused", "Messages of hosts that were refused.", ("reason",), 16
)
PEER_DROPS = _count(
    "peer_messages_dropped", "Messages that could not be sent.", ("reason",), 16
)
MEMBERS = _gauge("members", "Entry hosts known by state.", ("zone", "state"), 64)

# Configuration and the platform.
REVISION = _gauge("configuration_revision", "Configuration revision in force.")
REVISION_AGE = _gauge(
    "configuration_confirmed_age",
    "Time since the revision was confirmed with the platform.",
    unit="seconds",
)
CHANGES_APPLIED = _count("configuration_items_applied", "Items that took force.")
CONFIGURATION_ALARMS = _count(
    "configuration_alarms", "Odd states of the key-value service.", ("reason",), 16
)
PLATFORM_CALLS = _count(
    "platform_calls",
    "Calls to the platform's services.",
    ("service", "operation", "outcome"),
    64,
)
PLATFORM_SECONDS = _time(
    "platform_call_duration", "Duration of calls to the platform.", ("service",), 4
)
CLAIMS = _count("claims", "Claims of requests that run at most once.", ("result",), 16)

# Requests of the gateway.
GATEWAY_REQUESTS = _count(
    "gateway_requests", "Requests that were sent on.", ("route", "outcome"), 800
)
GATEWAY_SECONDS = _time(
    "gateway_request_duration", "From request to answer.", ("route",), 400
)
GATEWAY_REFUSALS = _count(
    "gateway_refusals", "Requests that were not sent on.", ("reason",), 32
)
GATEWAY_INPUT_REFUSALS = _count(
    "gateway_input_refusals",
    "Connections closed as their input was no request within the limits.",
    ("reason",),
    16,
)
GATEWAY_CONNECTIONS_EVICTED = _count(
    "gateway_connections_evicted",
    "Connections of callers ended as all together took too much.",
    ("reason", "stage"),
    8,
)
GATEWAY_ATTEMPTS = _count(
    "gateway_attempts", "Attempts on replicas by their end.", ("outcome",), 16
)
GATEWAY_REPEATS = _count(
    "gateway_repeats", "Further attempts of a request.", ("reason",), 16
)
GATEWAY_REPEATS_DENIED = _count(
    "gateway_repeats_denied", "Further attempts that the allowance had no room for."
)
GATEWAY_MISSING_PARTS = _count(
    "gateway_missing_parts", "Shards that successful answers leave out."
)
GATEWAY_DELEGATIONS = _count(
    "gateway_delegations", "Queries sent to aggregators by their end.", ("outcome",), 16
)
GATEWAY_DELEGATED_QUERIES = _count(
    "gateway_delegated_queries",
    "Queries of other hosts by their end.",
    ("outcome",),
    32,
)
GATEWAY_RATE_LIMITS = _count(
    "gateway_rate_limits", "Rate limits advertised by replicas.", ("outcome",), 4
)
GATEWAY_RATE_LIMITED_REPLICAS = _gauge(
    "gateway_rate_limited_replicas", "Replicas that name a rate limit."
)
GATEWAY_LIMITED_SUB_REQUESTS = _count(
    "gateway_limited_sub_requests", "Sub-requests left out because of rate limits."
)
GATEWAY_QUOTA_DECISIONS = _count(
    "gateway_quota_decisions",
    "Requests of workspaces with a quota, by what admitted or refused them.",
    ("decision",),
    8,
)
GATEWAY_QUOTA_MESSAGES = _count(
    "gateway_quota_messages", "Messages to quota lessors by their end.", ("outcome",), 8
)
GATEWAY_QUOTA_TOKENS = _count(
    "gateway_quota_tokens",
    "Tokens that this host granted or denied as the quota lessor.",
    ("outcome",),
    2,
)
GATEWAY_QUOTA_TOKENS_LEFT = _gauge(
    "gateway_quota_tokens_left",
    "Tokens in the bucket of a workspace whose quota lessor this host is.",
    ("workspace",),
    200,
)
GATEWAY_QUOTA_UNITS = _gauge(
    "gateway_quota_units",
    "Requests a window that the quota leases of this host allow.",
    ("workspace",),
    200,
)
GATEWAY_QUOTA_LEASED = _gauge(
    "gateway_quota_leased",
    "Requests a window that the leases granted by this host allow.",
)
GATEWAY_IN_FLIGHT = _gauge("gateway_in_flight", "Requests without an answer.")
GATEWAY_CONNECTIONS = _gauge(
    "gateway_connections_opened", "Connections opened to addresses in use."
)
GATEWAY_QUARANTINED = _count(
    "gateway_quarantined", "Requests refused since they had crashed replicas."
)
GATEWAY_TASK_FAILURES = _count(
    "gateway_task_failures",
    "Unexpected errors of long-lived tasks, which started again, by task.",
    ("task",),
    16,
)
GATEWAY_REPLICA_NOTICES = _count(
    "gateway_replica_notices",
    "Replicas that announced their leaving, or asked for no requests, by notice.",
    ("notice",),
    2,
)
GATEWAY_CROSS_ZONE_CHOICES = _count(
    "gateway_cross_zone_choices",
    "Choices of a replica in another zone (also when planning), by reason and zone.",
    ("reason", "zone"),
    32,
)
GATEWAY_INVALID_LOAD_REPORTS = _count(
    "gateway_invalid_load_reports", "Load reports of replicas that were ignored."
)
GATEWAY_BROKEN_EXCHANGES = _count(
    "gateway_broken_exchanges",
    "Connections that broke before a reply, by what became of the replica.",
    ("liveness",),
    3,
)
GATEWAY_COLD_REPLICAS = _count(
    "gateway_cold_replicas",
    "Replicas with a limit for cold ones that turned cold, or warm again.",
    ("change",),
    2,
)
GATEWAY_EVACUATED_ZONES = _gauge(
    "gateway_evacuated_zones", "Zones whose replicas get nothing, by the store."
)
GATEWAY_STORE_ERA = _gauge(
    "gateway_store_era", "Era of the platform's store that this host has reached."
)
GATEWAY_STORE_REVISION = _gauge(
    "gateway_store_revision", "Revision in that era up to which changes are applied."
)
GATEWAY_STORE_CALLS = _gauge("gateway_store_calls", "Calls to the platform's store.")
GATEWAY_STORE_SILENT = _gauge(
    "gateway_store_silent", "Time since the store answered.", unit="seconds"
)
GATEWAY_VIEW_AGE = _gauge(
    "gateway_view_age", "Time since the store confirmed the view.", unit="seconds"
)
GATEWAY_LINES_LEFT_OUT = _gauge(
    "gateway_log_lines_left_out", "Log lines over their rate, or not read."
)

# The process.
INVARIANT_BREACHES = _count(
    "invariant_breaches",
    "Promises found broken inside the program.",
    ("invariant",),
    32,
)
LOOP_SECONDS = _time("loop_delay", "Delay of a timer of the event loop.")
CUT_OFF = _count("shutdown_cut_off", "Queries in flight at the end of the grace time.")
EVENTS_RECORDED = _count("timeline_events", "Events put on the time line.")
SERIES_OVERFLOWS = _count(
    "metric_series_overflows", "Updates counted under `other`.", ("metric",), 64
)
INFO = _gauge("host_info", "1, labelled.", ("version", "host", "zone", "incarnation"))
START_TIME = _gauge("start_time", "Start, in seconds since 1970.", unit="seconds")

TABLE = tuple(item for item in list(globals().values()) if isinstance(item, Metric))


class Cell:
    """One series of a counter or a gauge."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value: float = 0

    def add(self, amount: float = 1) -> None:
        """Add an amount."""
        self.value += amount

    def set(self, value: float) -> None:
        """Set the value of a gauge."""
        self.value = value

    def read(self) -> float:
        """Return the value for a scrape."""
        return self.value


class Distribution:
    """One series of a histogram."""

    __slots__ = ("bounds", "counts", "sum")

    def __init__(self, bounds: tuple[float, ...]) -> None:
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.sum = 0.0

    def observe(self, value: float) -> None:
        """Count one value."""
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.sum += value

    def read(self) -> dict[float | str, float]:
        """Return cumulative counts by upper bound, the count and the sum."""
        cumulative = itertools.accumulate(self.counts)
        buckets = dict(zip((*self.bounds, float("inf")), cumulative, strict=True))
        return {**buckets, "count": sum(self.counts), "sum": self.sum}


class Recorder:
    """All metrics of one host."""

    def __init__(self) -> None:
        self._registry = aioprometheus.Registry()
        self._cells: dict[Metric, dict[tuple[str, ...], Cell | Distribution]] = {
            metric: {} for metric in TABLE
        }
        for metric, cells in self._cells.items():
            _COLLECTORS[metric.kind](metric, cells, self._registry)

    def bind(self, metric: Metric, *labels: str) -> Cell | Distribution:
        """Return the cell of a series, for a caller that updates it often."""
        cells = self._cells[metric]
        cell = cells.get(labels)
        if cell is not None:
            return cell
        if len(labels) != len(metric.labels):
            raise ValueError(f"{metric.name} has the labels {metric.labels}")
        if labels and len(cells) >= metric.series_at_most:
            self.count(SERIES_OVERFLOWS, metric.stem)
            labels = (OVERFLOW,) * len(labels)
        return cells.setdefault(labels, _make_cell(metric))

    def count(self, metric: Metric, *labels: str, by: float = 1) -> None:
        """Add to a counter."""
        self.bind(metric, *labels).add(by)

    def set(self, metric: Metric, value: float, *labels: str) -> None:
        """Set a gauge."""
        self.bind(metric, *labels).set(value)

    def set_total(self, metric: Metric, value: float, *labels: str) -> None:
        """Set a counter that is kept elsewhere; it must not fall."""
        cell = self.bind(metric, *labels)
        cell.set(max(cell.value, value))

    def replace(self, metric: Metric, values: Mapping[tuple[str, ...], float]) -> None:
        """Set a gauge in all its series; those that are not given become zero."""
        for labels in self._cells[metric].keys() - values.keys():
            self.set(metric, 0, *labels)
        for labels, value in values.items():
            self.set(metric, value, *labels)

    def observe(self, metric: Metric, value: float, *labels: str) -> None:
        """Count a value of a histogram."""
        self.bind(metric, *labels).observe(value)

    def read(self, metric: Metric, *labels: str) -> float | dict[float | str, float]:
        """Return the value of one series; zero where nothing was recorded."""
        cell = self._cells[metric].get(labels) or _make_cell(metric)
        return cell.read()

    def total(self, metric: Metric) -> float:
        """Return the sum over all series of a counter or a gauge."""
        return sum(cell.read() for cell in self._cells[metric].values())

    def render(self, accept: str = "") -> tuple[bytes, Mapping[str, str]]:
        """Return the body and the headers of a reply to a scrape."""
        return aioprometheus.render(self._registry, [accept])


def format_table() -> str:
    """Return the metrics as a table in Markdown."""
    rows = (
        f"| `{metric.name}` | {metric.kind.value} | {metric.unit} | "
        f"{', '.join(metric.labels) or '-'} | {metric.series_at_most:,} | "
        f"{metric.help} |"
        for metric in TABLE
    )
    head = "| metric | kind | unit | labels | series at most | meaning |"
    return "\n".join((head, "| --- | --- | --- | --- | --- | --- |", *rows))


def _make_cell(metric: Metric) -> Cell | Distribution:
    if metric.kind is Kind.HISTOGRAM:
        return Distribution(metric.bounds)
    return Cell()


class _Cells:
    """Gives the collectors of aioprometheus their values from the cells."""

    def __init__(
        self,
        metric: Metric,
        cells: Mapping[tuple[str, ...], Cell | Distribution],
        registry: aioprometheus.Registry,
    ) -> None:
        super().__init__(metric.name, metric.help, registry=registry)
        self._metric = metric
        self._cells = cells

    def get_all(self) -> list[tuple[dict[str, str], object]]:
        return [
            (self._label(labels), cell.read()) for labels, cell in self._cells.items()
        ]

    def _label(self, values: tuple[str, ...]) -> dict[str, str]:
        escaped = (str(value).translate(_ESCAPES) for value in values)
        return dict(zip(self._metric.labels, escaped, strict=True))


class _Counter(_Cells, aioprometheus.Counter):
    pass


class _Gauge(_Cells, aioprometheus.Gauge):
    pass


class _Histogram(_Cells, aioprometheus.Histogram):
    pass


_COLLECTORS = {
    Kind.COUNTER: _Counter,
    Kind.GAUGE: _Gauge,
    Kind.HISTOGRAM: _Histogram,
}
