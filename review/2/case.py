"""Answers without end fill the memory of a host until it is killed (LOST)."""

import asyncio
import contextlib
import itertools
import os
import pathlib
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SHARDS = [f"site-lookup-{number}" for number in range(10)]
SOUND_SERVICE = "office-desk"
ZONES = ("zone-a", "zone-b", "zone-c")
QUERY_DEADLINE_MS = 800
FETCH_DEADLINE_MS = 2500
QUERIES_PER_S = 18
CALM_S = 2.0
# The replicas are in trouble for such a time, and again after a pause.
TROUBLE_S = 5.0
PAUSE_S = 1.0
ROUNDS = 10
# Three in five replicas of the shards are faulty, for one in so many of their answers.
FAULTY_SHARE = 0.6
FAULTY_EVERY = 34
PIECE_BYTES = 1_000
TOP_K = 10
# Clients that send one request after the other on a connection that they keep.
KEPT_CONNECTIONS = 8
FETCH_WORK_S = 0.3
MEMORY_LIMIT_KB = 300 * 1_000
MEMORY_CHECK_S = 0.02
MAX_LOST = 3


class Shard(standins.Replica):
    """A replica that, while in trouble, starts some answers and never ends them."""

    in_trouble = False
    answers_in_trouble = itertools.count(1)
    endless_count = 0

    async def answer(self, line, headers, body, writer):
        if not self.in_trouble or next(Shard.answers_in_trouble) % FAULTY_EVERY:
            await super().answer(line, headers, body, writer)
            return
        Shard.endless_count += 1
        request_id = headers["x-request-id"]
        self.runs.append(request_id)
        self._record.write(f"{self.id} answers {request_id} without end")
        writer.write(
            b"HTTP/1.1 200 OK\r\n"
            b"X-Request-Id: %b\r\nX-Server-Stamp: %b\r\n\r\n"
            % (request_id.encode(), self.id.encode())
        )
        while True:
            writer.write(b"z" * PIECE_BYTES)
            await writer.drain()

    def build_body(self, request_id):
        return b"0" * 16 * TOP_K


def read_memory_kb(process):
    """Return how much memory a process has in use, as the kernel tells it."""
    with contextlib.suppress(OSError):
        lines = pathlib.Path(f"/proc/{process.pid}/status").read_text().splitlines()
        for line in lines:
            if line.startswith("VmRSS:"):
                return int(line.split()[1])
    return 0


async def play(record, directory, has_trouble, cleanup):
    store = standins.Store()
    await store.start()
    cleanup.callback(store.stop)
    shards = []
    for service, zone in itertools.product(SHARDS, ZONES):
        shards.append(Shard(service, record, work_s=0.02, zone=zone))
    sound = [
        standins.Replica(SOUND_SERVICE, record, work_s=FETCH_WORK_S, zone=zone)
        for zone in ZONES
    ]
    for replica in shards + sound:
        await replica.start()
        cleanup.callback(replica.stop)
        replica.register(store)
    faulty = shards[:: len(ZONES)] + shards[1 :: len(ZONES)]
    faulty = faulty[: int(FAULTY_SHARE * len(shards))]
    target = {"gather": SHARDS, "top_k": TOP_K, "min_coverage": 0.89}
    routes = [
        standins.build_route(
            "permit-sweep", "/sweep/", target, "safe", QUERY_DEADLINE_MS
        ),
        standins.build_route(
            "notice-fetch",
            "/notices/",
            {"service": SOUND_SERVICE},
            "unsafe",
            FETCH_DEADLINE_MS,
        ),
    ]
    services = [*SHARDS, SOUND_SERVICE]
    store.put("op/config", standins.build_configuration(7, routes, services))
    gateway = standins.Gateway("front-1", store, directory)
    cleanup.push_async_callback(gateway.stop)
    await gateway.start()
    lost = []
    is_over = False

    async def fetch_steadily(client):
        """Send requests one after the other on one connection, until it ends."""
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        for number in itertools.count():
            if is_over:
                break
            request_id = f"fetch-{client}-{number}"
            writer.write(
                standins.render_request(
                    f"/notices/{number}",
                    request_id,
                    "shop.example",
                    FETCH_DEADLINE_MS,
                    b"order",
                )
            )
            message = None
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                message = await standins.read_message(reader)
            if message is None:
                has_run = any(request_id in replica.runs for replica in sound)
                record.write(
                    f"client {client}: connection ends without an answer to "
                    f"{request_id}, which {'a' if has_run else 'no'} replica ran"
                )
                if has_run and number > 0:
                    lost.append(request_id)
                break
        writer.close()

    async def query_steadily():
        for number in itertools.count():
            if is_over:
                return
            data = standins.render_request(
                f"/sweep/{number}", f"sweep-{number}", "shop.example", QUERY_DEADLINE_MS
            )
            tasks.append(asyncio.create_task(query(number, data)))
            await asyncio.sleep(1 / QUERIES_PER_S)

    async def query(number, data):
        with contextlib.suppress(OSError):
            answer = await standins.ask(gateway.port, data)
            record.write(f"client gets {answer and answer[0]} for sweep-{number}")

    async def limit_memory():
        """End the process when it exceeds its memory, as the platform does."""
        while not is_over:
            memory_kb = read_memory_kb(gateway.process)
            if memory_kb > MEMORY_LIMIT_KB:
                record.write(f"the platform kills front-1, which uses {memory_kb} kB")
                gateway.send_signal(signal.SIGKILL)
                return
            await asyncio.sleep(MEMORY_CHECK_S)

    tasks = [asyncio.create_task(fetch_steadily(n)) for n in range(KEPT_CONNECTIONS)]
    tasks.append(asyncio.create_task(query_steadily()))
    watch = asyncio.create_task(limit_memory())
    await asyncio.sleep(CALM_S)
    for number in range(ROUNDS):
        record.write(
            f"round {number}: {read_memory_kb(gateway.process)} kB in use, "
            f"{Shard.endless_count} answers without end so far"
        )
        for shard in faulty:
            shard.in_trouble = has_trouble
        await asyncio.wait([watch], timeout=TROUBLE_S)
        for shard in faulty:
            shard.in_trouble = False
        await asyncio.wait([watch], timeout=PAUSE_S)
        if watch.done():
            break
    memory_kb = read_memory_kb(gateway.process)
    record.write(f"{memory_kb} kB in use after the last round")
    is_over = True
    await asyncio.gather(*tasks, watch)
    record.write(
        f"{Shard.endless_count} answers without end; {len(lost)} requests on kept "
        f"connections lost while a sound replica ran them"
    )
    return len(lost) <= MAX_LOST


if not os.path.isdir("/proc/self"):
    sys.exit(2)
# With TROUBLE=0 the case runs without its disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

standins.run_case(FOLDER, play, HAS_TROUBLE)
