"""The operator of a soak, who publishes one version after the other."""

import time

from benchmarks.gateways import callers, checks, findings, records
from corianderrill.standins import platform

DESKS = tuple(records.ServiceName(f"desk-{number}") for number in range(4))
MAX_CONNECTIONS = 64
GOAL_MS = 300


class Operator:
    """Publishes configurations; `newest` is the last document."""

    def __init__(
        self,
        store: platform.FakeStore,
        history: records.History,
        setting: findings.Setting,
    ) -> None:
        self._store = store
        self._history = history
        self._setting = setting
        self._version = 0
        self.newest: dict[str, object] = {}

    def publish(self) -> None:
        """Publish the next version, which sends bookings to the next service."""
        self._version += 1
        desk = DESKS[self._version % len(DESKS)]
        self.newest = build_configuration(self._version, self._setting, desk)
        self.publish_again()
        self._history.published.append(
            records.Published(self._version, time.monotonic(), desk)
        )

    def publish_again(self) -> None:
        """Write the newest version once more."""
        self._store.put("op/config", self.newest)


def build_configuration(
    version: int, setting: findings.Setting, desk: records.ServiceName
) -> dict[str, object]:
    """Return the operator's document of a version."""
    shared = {
        "host": callers.HOST,
        "priority": 1,
        "max_attempts": checks.MAX_ATTEMPTS,
        "latency_goal_ms": GOAL_MS,
    }
    query = {
        **shared,
        "name": "sweep",
        "prefix": "/sweep/",
        "type": "safe",
        "timeout_ms": 1000 * records.QUERY_TIMEOUT_S,
        "gather": list(setting.shards),
        "top_k": checks.TOP,
        "min_coverage": checks.MIN_COVERAGE,
    }
    booking = {
        **shared,
        "name": "desk",
        "prefix": "/desk/",
        "type": "unsafe",
        "timeout_ms": 1000 * records.BOOKING_TIMEOUT_S,
        "service": desk,
    }
    services = [
        {"name": name, "max_conns": MAX_CONNECTIONS}
        for name in (*setting.shards, *DESKS)
    ]
    return {"version": version, "routes": [query, booking], "services": services}
