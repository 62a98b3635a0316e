"""Cost of what hosts share, a unit each: `python -m corianderrill.measures.slopes`.

Processor time and memory of members, connections, seats, queues and relays, for the
extrapolation in docs/CAPACITY.md.
"""

import dataclasses
import gc
import itertools
import resource
import time
import tracemalloc
import types
from collections.abc import Callable

import eventlet
import msgspec
import zmq

from corianderrill import (
    attempts,
    directory,
    hostlist,
    membership,
    messages,
    names,
    owner_queues,
    ownership,
    peers,
    relay,
)
from corianderrill.measures import membership as membership_measure
from corianderrill.measures import samples

BATCH_SIZES = (1, 4, 16, 64)
REPETITIONS = 2000
MEMBERS = 830
SEATS_PER_ZONE = 90
REPLICAS = 500
CONNECTIONS = 200
QUEUED = 64
FAN_OUTS = (1, 25, 100)
PATH_SUB_REQUESTS = 4000
PATH_REMAINING_S = 30.0
QUERY_POLL_S = 0.0005
ZONE = names.ZoneName("qld-east-a")
KIB = 1024


class RelayCost(msgspec.Struct, frozen=True):
    """Cost of one relayed sub-request in batches of one size, both hosts together.

    `codec_us` encodes and decodes the request and its result; `wire_bytes` are both
    frames' bytes.
    """

    batch: int
    codec_us: float
    wire_bytes: float


class PathCost(msgspec.Struct, frozen=True):
    """Processor time of one sub-request over two real hosts and their link.

    The backend server is not called; both hosts and ZeroMQ's threads are counted.
    """

    fan_out: int
    path_us: float


class Result(msgspec.Struct, frozen=True):
    """The line that is printed."""

    relays: tuple[RelayCost, ...]
    paths: tuple[PathCost, ...]
    queue_us_per_job: float
    queue_us_per_job_behind_64: float
    rank_us_per_replica: float
    bytes_per_member: float
    bytes_per_ranked_replica: float
    bytes_per_idle_queue: float
    kib_per_connection_both_ends: float


def measure_relays(batch: int) -> RelayCost:
    """Measure the codec of a batch and of its results."""
    requests = tuple(samples.build_sub_request(f"{n:016x}") for n in range(batch))
    results = tuple(samples.build_answer(f"{n:016x}") for n in range(batch))
    envelopes = [
        _wrap(messages.RelayBatch(requests)),
        _wrap(messages.RelayReply(results)),
    ]
    frames = [messages.encode(envelope) for envelope in envelopes]

    def exchange() -> None:
        for envelope in envelopes:
            messages.decode(messages.encode(envelope))

    cost_s = _time(exchange, REPETITIONS) / batch
    return RelayCost(
        batch, round(1e6 * cost_s, 2), round(sum(map(len, frames)) / batch, 1)
    )


def measure_queue(waiting: int) -> float:
    """Return the processor time of one job through a queue, in microseconds."""
    queue = owner_queues.OwnerQueue(max_running=1)
    numbers = itertools.count()
    job = _build_job(next(numbers))
    running = [job]
    queue.add(job, 0.0)
    for _ in range(waiting):
        queue.add(_build_job(next(numbers)), 0.0)

    def pass_one() -> None:
        added = queue.add(_build_job(next(numbers)), 0.0)
        started = queue.finish(running.pop().sub_request.attempt_id, 0.0, 0.001)
        running.extend(each.job for each in (*added, *started))

    build_s = _time(lambda: _build_job(next(numbers)), REPETITIONS)
    return round(1e6 * (_time(pass_one, REPETITIONS) - build_s), 2)


def measure_ranking() -> tuple[float, float]:
    """Return the time in microseconds and the bytes of a replica's ranked seats."""
    plan = ownership.SeatPlan(
        tuple(names.ZoneName(f"zone-{number}") for number in range(10)), SEATS_PER_ZONE
    )
    replicas = [_build_replica(number) for number in range(REPLICAS)]
    kept = {}

    def rank() -> None:
        for replica in replicas:
            kept[replica] = ownership.list_owner_seats(
                plan, replica, plan.zones[0], count=6
            )

    rank_s = _time(rank, 1) / REPLICAS
    kept.clear()
    return round(1e6 * rank_s, 1), round(_weigh(rank) / REPLICAS, 1)


def measure_members() -> float:
    """Return the bytes that a host holds for each member."""
    entries = membership_measure.build_entry_hosts(MEMBERS)
    held = []

    def learn() -> None:
        own = messages.MemberRecord(
            entries[0].member,
            entries[0].zone,
            entries[0].peer_address,
            messages.MemberState.ALIVE,
        )
        view = membership.Membership(own, 0.0)
        view.apply_host_list(entries, 0.0)
        held.append(view)

    return round(_weigh(learn) / MEMBERS, 1)


def measure_queue_memory() -> float:
    """Return the bytes of a replica's idle queue."""
    kept = []

    def build() -> None:
        kept.extend(owner_queues.OwnerQueue(max_running=3) for _ in range(REPLICAS))

    return round(_weigh(build) / REPLICAS, 1)


def measure_path(fan_out: int) -> PathCost:
    """Measure sub-requests that go to an owner, `fan_out` of a query at a time."""
    origin, owner = _start_links()
    plan = ownership.SeatPlan((), 1)
    view = _View(
        (
            messages.MemberRecord(
                owner.member, ZONE, owner.address, messages.MemberState.ALIVE, seat=0
            ),
        )
    )
    servers = directory.Directory()
    servers.replace(tuple(_build_server(number) for number in range(fan_out)))
    tasks = [
        relay.OwnerTask(
            link,
            servers,
            lambda sub_request: samples.build_answer(sub_request.attempt_id),
            lambda sub_request: None,
            lambda server, link=link: link is owner,
        )
        for link in (origin, owner)
    ]
    dispatcher = relay.OwnerDispatcher(
        origin,
        types.SimpleNamespace(membership=view),
        ownership.Ownership(plan),
        servers,
        tasks[0],
    )
    for task in (*tasks, dispatcher):
        task.start()
    _connect(origin, owner)
    _connect(owner, origin)
    numbers = itertools.count()

    def query() -> None:
        results = []
        for shard in range(fan_out):
            request = samples.build_sub_request(
                f"{next(numbers):016x}", PATH_REMAINING_S, _build_replica(shard)
            )
            dispatcher.send(request, results.append)
        while len(results) < fan_out:
            eventlet.sleep(QUERY_POLL_S)
        assert all(isinstance(result, attempts.Answered) for result in results)

    query()
    queries = max(1, PATH_SUB_REQUESTS // fan_out)
    path_s = _time(query, queries) / fan_out
    for task in (*tasks, dispatcher):
        task.stop()
    for link in (origin, owner):
        link.stop()
    return PathCost(fan_out, round(1e6 * path_s, 1))


def _build_server(number: int) -> hostlist.BackendServer:
    replica = _build_replica(number)
    return hostlist.BackendServer(
        replica.fleet,
        replica.host,
        replica.incarnation,
        ZONE,
        names.Address("10.1.0.1", 9000),
        samples.SERVICE.name,
        (samples.SHARD.name,),
        slots=2,
        connection_cap=25,
        connect_cost_s=0.006,
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _View:
    """Stands for a membership in which nothing changes."""

    records: tuple[messages.MemberRecord, ...]
    revision: int = 0

    def list_usable(self) -> tuple[messages.MemberRecord, ...]:
        return self.records


def _connect(sender: peers.PeerLink, receiver: peers.PeerLink) -> None:
    sender.connect(receiver.member, receiver.address)
    while not sender.send(receiver.member, messages.RelayCancel(())):
        eventlet.sleep(0.002)


def _start_links() -> tuple[peers.PeerLink, peers.PeerLink]:
    server_public, server_secret = zmq.curve_keypair()
    keys = peers.PeerKeys(
        server_public,
        server_secret,
        server_public,
        server_secret,
        frozenset((server_public,)),
    )
    members = [
        names.MemberId(names.HostName(name), names.Incarnation("a"))
        for name in ("one", "two")
    ]
    address = names.Address("127.0.0.1", 0)
    one, two = (peers.PeerLink(member, address, keys) for member in members)
    one.start()
    two.start()
    return one, two


def measure_connections() -> float:
    """Return the memory of one connection between two hosts, both ends, in KiB."""
    sender, receiver = _start_links()
    before = _read_memory_kib()
    for number in range(CONNECTIONS):
        member = names.MemberId(names.HostName(str(number)), names.Incarnation("a"))
        sender.connect(member, receiver.address)
        while not sender.send(member, messages.RelayCancel(()), any_incarnation=True):
            eventlet.sleep(0.002)
    grown = _read_memory_kib() - before
    sender.stop()
    receiver.stop()
    return round(grown / CONNECTIONS, 1)


def _read_memory_kib() -> float:
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * resource.getpagesize() / KIB


def _build_job(number: int) -> owner_queues.Job:
    member = names.MemberId(names.HostName("entry-1"), names.Incarnation("a"))
    return owner_queues.Job(
        samples.build_sub_request(str(number)), member, 0.0, 1000.0 + number
    )


def _build_replica(number: int) -> names.ReplicaId:
    return names.ReplicaId(
        samples.FLEET,
        names.HostName(f"site-lookup-{number:04}"),
        names.Incarnation("5f0c2c9a1d3e"),
    )


def _wrap(message: messages.Message) -> messages.Envelope:
    member = names.MemberId(
        names.HostName("entry-17"), names.Incarnation("0123456789ab")
    )
    stamp = messages.Stamp(1_700_000_000_000, 1)
    return messages.Envelope(member, member.incarnation, stamp, 12345.678, message)


def _time(action: Callable[[], None], repetitions: int) -> float:
    """Return the processor time of one call, in seconds."""
    gc.collect()
    started = time.process_time()
    for _ in range(repetitions):
        action()
    return (time.process_time() - started) / repetitions


def _weigh(action: Callable[[], None]) -> int:
    """Return the bytes that an action leaves allocated."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    action()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return after - before


def main() -> None:
    """Print the figures."""
    connection_kib = measure_connections()
    rank_us, rank_bytes = measure_ranking()
    result = Result(
        tuple(measure_relays(batch) for batch in BATCH_SIZES),
        tuple(measure_path(fan_out) for fan_out in FAN_OUTS),
        measure_queue(0),
        measure_queue(QUEUED),
        rank_us,
        measure_members(),
        rank_bytes,
        measure_queue_memory(),
        connection_kib,
    )
    print(msgspec.json.encode(result).decode())


if __name__ == "__main__":
    main()
