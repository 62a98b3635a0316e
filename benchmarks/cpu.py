"""Processor time of an entry host against a bare client: `python -m benchmarks.cpu`.

Both send the same sub-requests to the same backend servers, in turn, in one run.
The last line of output is one JSON object with the table over fan-outs and its
slope.
"""

import argparse
import concurrent.futures
import json
import pathlib
import statistics
import sys
import tempfile
import time

import msgspec
import urllib3

from benchmarks import fanouts, processes, rig, samples, summary
from corianderrill.standins import deployments

FAN_OUTS = (25, 100, 730)
SUB_REQUESTS = 7_500
CONCURRENCY = 2
SERVICE_S = 0.002
REFUSED_PAUSE_S = 0.05
SEED = 1
ROUNDS = 3
BARE_WITHIN_S = 120.0
DEADLINE_MS = 10_000.0
FILTERS = {"council": "Logan", "state": "lapsed"}
HEADERS = {"Content-Type": "application/json"}


def main() -> int:
    """Measure every fan-out and print the table."""
    processes.end_on_sigterm()
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=ROUNDS)
    options = parser.parse_args()
    rows = [measure(fan_out, options.rounds) for fan_out in FAN_OUTS]
    slope = statistics.linear_regression(
        [row["fan_out"] for row in rows], [row["host_ms_per_query"] for row in rows]
    )
    result = {
        "table": rows,
        "host_ms_per_shard": round(slope.slope, 4),
        "host_ms_fixed": round(slope.intercept, 3),
    }
    print(json.dumps(result))
    return 0


def measure(fan_out: int, rounds: int) -> dict[str, float]:
    """Return the figures of one fan-out."""
    shown = fanouts.resize(deployments.GANTRY, fan_out)
    shape = rig.Shape(
        shown=(shown,),
        seed=SEED,
        routing={"policy": "adaptive"},
        limits={"hosts_at_most": 1},
        service_s=SERVICE_S,
        fan_out=fan_out,
    )
    queries = max(CONCURRENCY, SUB_REQUESTS // fan_out)
    with rig.Rig(shape) as started:
        ask(started, CONCURRENCY * 2)
        pairs = [
            (measure_bare(started, queries), measure_host(started, queries))
            for _ in range(rounds)
        ]
    bare_s = statistics.median(bare for bare, _ in pairs)
    host_s = statistics.median(host for _, host in pairs)
    ratios = [host / bare for bare, host in pairs]
    row = {
        "fan_out": fan_out,
        "queries_a_round": queries,
        "bare_ms_per_sub_request": round(1000 * bare_s, 4),
        "host_ms_per_sub_request": round(1000 * host_s, 4),
        "host_ms_per_query": round(1000 * host_s * fan_out, 2),
        "ratio": round(statistics.median(ratios), 3),
        "ratios": [round(ratio, 3) for ratio in ratios],
    }
    print(json.dumps(row), flush=True)
    return row


def measure_host(started: rig.Rig, queries: int) -> float:
    """Return the processor time of the entry host for each sub-request sent."""
    child = started.hosts[0].child
    before_s, sent_before = child.read_cpu_s(), count_requests(started)
    ask(started, queries)
    sent = count_requests(started) - sent_before
    return (child.read_cpu_s() - before_s) / sent


def count_requests(started: rig.Rig) -> int:
    """Return the sub-requests that reached the backend servers so far."""
    return summary.add_totals(started.read_totals()).requests


def ask(started: rig.Rig, queries: int) -> None:
    """Ask an entry host, several queries at once, until every answer is complete.

    A refusal of the host is asked again after a pause.
    """
    address = started.hosts[0].callers
    body = json.dumps(
        {
            "workspace": "gantry/morning",
            "template": "permits",
            "arguments": FILTERS,
            "deadline_ms": DEADLINE_MS,
        }
    ).encode()
    with (
        urllib3.HTTPConnectionPool(
            address.ip, address.port, maxsize=CONCURRENCY
        ) as pool,
        concurrent.futures.ThreadPoolExecutor(CONCURRENCY) as threads,
    ):
        list(threads.map(lambda _: ask_once(pool, body), range(queries)))


def ask_once(pool: urllib3.HTTPConnectionPool, body: bytes) -> None:
    """Ask one query; raises where the answer is neither whole nor a refusal."""
    while True:
        reply = pool.urlopen("POST", "/v1/query", body=body, headers=HEADERS)
        if reply.status == 200:
            return
        if reply.status != 429:
            raise RuntimeError(f"status {reply.status}: {reply.data[:500]}")
        time.sleep(REFUSED_PAUSE_S)


def measure_bare(started: rig.Rig, queries: int) -> float:
    """Return the processor time of the bare client for each sub-request."""
    sharded = {"lookup", "intake"}
    plan = samples.BarePlan(
        servers=tuple(s for s in started.servers if s.service in sharded),
        filters=FILTERS,
        queries=queries,
        concurrency=CONCURRENCY,
    )
    with tempfile.TemporaryDirectory() as folder:
        file = pathlib.Path(folder) / "plan.json"
        file.write_bytes(msgspec.json.encode(plan))
        log = pathlib.Path(folder) / "bare.log"
        child = processes.Child("bare", ["benchmarks.bare", str(file)], log)
        try:
            return float(child.read_line(BARE_WITHIN_S))
        finally:
            child.kill()


if __name__ == "__main__":
    sys.exit(main())
