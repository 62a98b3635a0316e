"""Checks one answer against the rows that the index builders made."""

import enum
from collections.abc import Iterable, Iterator, Mapping, Sequence

from benchmarks import arrivals
from corianderrill import catalog, entry, names
from corianderrill.standins import deployments, indexes

ANSWERED = frozenset({"complete", "partial"})


class Breach(enum.Enum):
    """A promise that an answer breaks."""

    OTHER_REQUEST = "other-request"
    DOUBLED = "doubled"
    MIXED = "mixed"
    UNKNOWN_SNAPSHOT = "unknown-snapshot"
    NOT_WHOLE = "not-whole"
    FOREIGN_ROW = "foreign-row"
    FALSE_COVERAGE = "false-coverage"
    NO_LABEL = "no-label"


class Truth:
    """Rows of every service and the partition map of every index version."""

    def __init__(
        self,
        shown: Iterable[deployments.Deployment],
        seed: int,
        versions: Mapping[str, Sequence[bool]] | None = None,
    ):
        """`versions` tells of each fleet's versions after the first whether they
        repartition.
        """
        self._rows: dict[str, tuple] = {}
        self._snapshots: dict[str, catalog.Snapshot] = {}
        for deployment in shown:
            later = (versions or {}).get(deployment.fleet, ())
            self._learn(indexes.IndexBuilder(deployment, seed), later)

    def _learn(self, builder: indexes.IndexBuilder, versions: Sequence[bool]) -> None:
        for service in builder.newest.partitions:
            self._rows[str(service)] = builder.list_rows(service)
        self._snapshots[str(builder.newest.id)] = builder.newest
        for repartition in versions:
            snapshot = builder.add_version(repartition)
            self._snapshots[str(snapshot.id)] = snapshot

    def find_snapshot(self, snapshot: str) -> catalog.Snapshot | None:
        """Return a snapshot by the text of its id."""
        return self._snapshots.get(snapshot)

    def list_expected(
        self, question: arrivals.Question, snapshot: catalog.Snapshot
    ) -> Iterator[tuple[str, str]]:
        """Yield the shard and the key of every row that answers a question."""
        if question.record_key:
            service = parse_service(question.services[0])
            shard = snapshot.shard_of(service, question.record_key)
            yield str(shard), question.record_key
            return
        wanted = question.filters.items()
        for name in question.services:
            service = parse_service(name)
            for row in self._rows[name]:
                if all(row.fields.get(field) == value for field, value in wanted):
                    yield str(snapshot.shard_of(service, row.key)), row.key


def parse_service(text: str) -> names.ServiceId:
    """Return the service that `FLEET/NAME` names."""
    fleet, _, name = text.partition("/")
    return names.ServiceId(names.FleetName(fleet), names.ServiceName(name))


def check_answer(
    question: arrivals.Question,
    request_id: str,
    answer: entry.AnswerView,
    truth: Truth,
) -> set[Breach]:
    """Return the promises that an answer to a question breaks."""
    breaches = set()
    if answer.request_id != request_id:
        breaches.add(Breach.OTHER_REQUEST)
    if answer.outcome not in ANSWERED:
        return breaches
    if answer.label is None:
        return breaches | {Breach.NO_LABEL}
    snapshot = truth.find_snapshot(answer.label.snapshot)
    if snapshot is None:
        return breaches | {Breach.UNKNOWN_SNAPSHOT}
    breaches |= _check_rows(question, answer, snapshot, truth)
    breaches |= _check_coverage(question, answer, snapshot)
    return breaches


def _check_rows(
    question: arrivals.Question,
    answer: entry.AnswerView,
    snapshot: catalog.Snapshot,
    truth: Truth,
) -> set[Breach]:
    rows = answer.rows or []
    missing = {item.shard for item in answer.label.coverage.missing}
    expected = {
        pair
        for pair in truth.list_expected(question, snapshot)
        if pair[0] not in missing
    }
    found = [(row.shard, row.key) for row in rows]
    version = snapshot.id.version
    checks = {
        Breach.DOUBLED: len(found) != len(set(found)),
        Breach.MIXED: not question.record_key
        and any(row.fields.get("index_version") != version for row in rows),
        Breach.NOT_WHOLE: bool(expected - set(found)),
        Breach.FOREIGN_ROW: bool(set(found) - expected),
    }
    return {breach for breach, is_broken in checks.items() if is_broken}


def _check_coverage(
    question: arrivals.Question,
    answer: entry.AnswerView,
    snapshot: catalog.Snapshot,
) -> set[Breach]:
    coverage = answer.label.coverage
    shards = {
        str(shard)
        for name in question.services
        for shard in snapshot.shards(parse_service(name))
    }
    missing = [item.shard for item in coverage.missing]
    is_true = (
        coverage.asked == len(shards)
        and coverage.answered == len(shards) - len(missing)
        and len(missing) == len(set(missing))
        and set(missing) <= shards
        and abs(coverage.share - coverage.answered / coverage.asked) < 1e-9
        and (answer.outcome == "complete") == (not missing)
    )
    return set() if is_true else {Breach.FALSE_COVERAGE}
