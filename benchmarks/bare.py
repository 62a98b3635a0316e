"""A bare urllib3 pool on eventlet that sends the sub-requests of queries.

It prints the processor time for each sub-request, in seconds. It chooses, checks
and merges nothing: the least that any entry host on these libraries has to spend.
"""

import eventlet

eventlet.monkey_patch()

import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import eventlet.greenpool  # noqa: E402
import msgspec  # noqa: E402
import urllib3  # noqa: E402

from benchmarks import samples  # noqa: E402
from corianderrill import attempts, backends, names  # noqa: E402

REMAINING_MS = 5_000.0
HEADERS = {"Content-Type": "application/json"}


class Client:
    """One pool for each backend server, as an entry host has."""

    def __init__(self, plan: samples.BarePlan):
        self._plan = plan
        self._pools = [
            urllib3.HTTPConnectionPool(
                server.address.ip,
                server.address.port,
                maxsize=plan.concurrency,
                block=True,
            )
            for server in plan.servers
        ]

    def run(self, queries: int) -> None:
        """Send the sub-requests of queries, several queries at once."""
        pool = eventlet.greenpool.GreenPool(self._plan.concurrency)
        for number in range(queries):
            pool.spawn(self._query, names.RequestId(f"bare-{number}"))
        pool.waitall()

    def _query(self, request: names.RequestId) -> None:
        threads = [
            eventlet.spawn(self._ask, request, number)
            for number in range(len(self._pools))
        ]
        for thread in threads:
            thread.wait()

    def _ask(self, request: names.RequestId, number: int) -> None:
        server = self._plan.servers[number]
        body = backends.SubQueryBody(
            request_id=request,
            attempt_id=f"{request}.1.{number}",
            service=server.service,
            shard=server.shards[0],
            version=names.IndexVersion(1),
            operation=attempts.FindRows(self._plan.filters),
            remaining_ms=REMAINING_MS,
        )
        response = self._pools[number].urlopen(
            "POST",
            backends.SUB_QUERY_PATH,
            body=msgspec.json.encode(body),
            headers=HEADERS,
            retries=False,
        )
        assert response.status == 200, response.data


def main() -> None:
    """Measure the plan in the file that is named first."""
    file = pathlib.Path(sys.argv[1])
    plan = msgspec.json.decode(file.read_bytes(), type=samples.BarePlan)
    client = Client(plan)
    client.run(plan.concurrency)
    before = time.process_time()
    client.run(plan.queries)
    used_s = time.process_time() - before
    print(used_s / (plan.queries * len(plan.servers)), flush=True)


if __name__ == "__main__":
    main()
