"""The process that sends planned requests at their due times, in an open loop.

The latency of a request runs from its due time, so that a slow system or a slow
generator cannot hide its own delay (no coordinated omission).
"""

import eventlet

eventlet.monkey_patch()

import pathlib  # noqa: E402
import sys  # noqa: E402
import time  # noqa: E402

import msgspec  # noqa: E402
import urllib3  # noqa: E402

from benchmarks import answers, arrivals, samples  # noqa: E402
from corianderrill import entry  # noqa: E402
from corianderrill.standins import deployments  # noqa: E402

CONNECTIONS_PER_HOST = 200
READY_POLL_S = 0.25
READY_TIMEOUT_S = 0.5
PATIENCE_S = 5.0
HEADERS = {"Content-Type": "application/json"}


class Balancer:
    """Takes hosts in turn and skips those that are not ready."""

    def __init__(self, hosts: tuple[str, ...]):
        self._ready = [True] * len(hosts)
        self._pools = [
            urllib3.HTTPConnectionPool(
                *host.split(":"), maxsize=CONNECTIONS_PER_HOST, retries=False
            )
            for host in hosts
        ]
        self._turn = 0

    def choose(self) -> int:
        """Return the next ready host; the next one at all where none is ready."""
        count = len(self._pools)
        turns = [(self._turn + step) % count for step in range(count)]
        chosen = next((turn for turn in turns if self._ready[turn]), turns[0])
        self._turn = chosen + 1
        return chosen

    def get_pool(self, host: int) -> urllib3.HTTPConnectionPool:
        """Return the connections of a host."""
        return self._pools[host]

    def follow(self) -> None:
        """Ask each host again and again whether it is ready."""
        while True:
            for number, pool in enumerate(self._pools):
                eventlet.spawn_n(self._probe, number, pool)
            eventlet.sleep(READY_POLL_S)

    def _probe(self, number: int, pool: urllib3.HTTPConnectionPool) -> None:
        try:
            response = pool.request("GET", "/readyz", timeout=READY_TIMEOUT_S)
            self._ready[number] = response.status == 200
        except (urllib3.exceptions.HTTPError, OSError):
            self._ready[number] = False


class Generator:
    """Sends every arrival of a plan and keeps the replies."""

    def __init__(self, plan: samples.LoadPlan):
        self._plan = plan
        self._balancer = Balancer(plan.hosts)
        self._replies: list[tuple[arrivals.Arrival, samples.Sample, bytes]] = []

    def run(self) -> list[samples.Sample]:
        """Return a sample of each request, in the order of their ends."""
        eventlet.spawn_n(self._balancer.follow)
        threads = []
        for arrival in self._plan.arrivals:
            eventlet.sleep(max(0.0, arrival.at - self._elapsed()))
            threads.append(eventlet.spawn(self._send, arrival))
        for thread in threads:
            thread.wait()
        return check(self._plan, self._replies)

    def _elapsed(self) -> float:
        return time.monotonic() - self._plan.starts_at

    def _send(self, arrival: arrivals.Arrival) -> None:
        host = self._balancer.choose() if arrival.host is None else arrival.host
        sent_at = self._elapsed()
        body, outcome = self._exchange(host, arrival)
        sample = samples.Sample(
            at=arrival.at,
            sent_at=sent_at,
            done_at=self._elapsed(),
            request_id=arrival.request_id,
            workspace=arrival.question.workspace,
            deadline_s=arrival.deadline_ms / 1000,
            host=host,
            outcome=outcome,
            record_key=arrival.question.record_key,
        )
        self._replies.append((arrival, sample, body))

    def _exchange(self, host: int, arrival: arrivals.Arrival) -> tuple[bytes, str]:
        question = arrival.question
        request = {
            "workspace": question.workspace,
            "template": question.template,
            "arguments": question.arguments,
            "request_id": arrival.request_id,
            "deadline_ms": arrival.deadline_ms,
            "minimum_coverage": 0.0,
        }
        try:
            response = self._balancer.get_pool(host).urlopen(
                "POST",
                entry.QUERY_PATH,
                body=msgspec.json.encode(request),
                headers=HEADERS,
                timeout=arrival.deadline_ms / 1000 + PATIENCE_S,
                retries=False,
            )
        except urllib3.exceptions.NewConnectionError:
            return b"", "not-connected"
        except (urllib3.exceptions.HTTPError, OSError):
            return b"", "cut-off"
        return response.data, "garbled"


def check(
    plan: samples.LoadPlan,
    replies: list[tuple[arrivals.Arrival, samples.Sample, bytes]],
) -> list[samples.Sample]:
    """Read the replies and check every answer."""
    shown = [each for each in deployments.DEPLOYMENTS if each.fleet in plan.fleets]
    truth = answers.Truth(shown, plan.seed, plan.versions)
    return [_check(truth, *reply) for reply in replies]


def _check(
    truth: answers.Truth, arrival: arrivals.Arrival, sample: samples.Sample, body: bytes
) -> samples.Sample:
    if sample.outcome != "garbled":
        return sample
    try:
        answer = msgspec.json.decode(body, type=entry.AnswerView)
    except msgspec.DecodeError:
        return sample
    sample.outcome = answer.outcome
    sample.reason = answer.reason
    if answer.label is not None:
        sample.coverage = answer.label.coverage.share
        sample.revision = answer.label.revision
        sample.missing = tuple(item.reason for item in answer.label.coverage.missing)
    found = answers.check_answer(arrival.question, arrival.request_id, answer, truth)
    sample.breaches = tuple(found)
    return sample


def main() -> None:
    """Read a plan from one file and write the samples to another."""
    plan_file, result_file = map(pathlib.Path, sys.argv[1:3])
    plan = msgspec.json.decode(plan_file.read_bytes(), type=samples.LoadPlan)
    result_file.write_bytes(msgspec.json.encode(Generator(plan).run()))


if __name__ == "__main__":
    main()
