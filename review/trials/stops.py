"""A trial, no case: a host is stopped again and again while it is busy.

Clients keep connections and send one unsafe request after the other. A request that a
replica has run must be answered (LOST), unless it was sent more than 3 s after SIGTERM.
"""

import asyncio
import contextlib
import itertools
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SERVICE = "office-desk"
DEADLINE_MS = 5000
CLIENTS = 40
STOPS = 5
BODY_BYTES = 18_000
RNG = random.Random(31)


class VaryingReplica(standins.Replica):
    async def answer(self, line, headers, body, writer):
        self.work_s = RNG.choice((0.005, 0.02, 0.06, 0.3, 1.5))
        await super().answer(line, headers, body, writer)

    def build_body(self, request_id):
        return b"n" * BODY_BYTES


async def play(record, directory, has_trouble, cleanup):
    store = standins.Store()
    await store.start()
    cleanup.callback(store.stop)
    replicas = [
        VaryingReplica(SERVICE, record, zone=zone)
        for zone in ("zone-a", "zone-b", "zone-c")
    ]
    for replica in replicas:
        await replica.start()
        cleanup.callback(replica.stop)
        replica.register(store)
    route = standins.build_route(
        "notice-fetch", "/notices/", {"service": SERVICE}, "unsafe", DEADLINE_MS
    )
    store.put("op/config", standins.build_configuration(7, [route], [SERVICE]))
    gateway = standins.Gateway("front-1", store, directory)
    cleanup.push_async_callback(gateway.stop)
    numbers = itertools.count()
    unanswered = []
    answered = 0

    async def send_steadily():
        nonlocal answered
        reader, writer = await asyncio.open_connection("127.0.0.1", gateway.port)
        message = ("", {}, b"")
        while message is not None and message[1].get("connection") != "close":
            request_id = f"order-{next(numbers)}"
            sent_at = time.monotonic()
            message = None
            with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
                writer.write(
                    standins.render_request(
                        f"/notices/{request_id}",
                        request_id,
                        "shop.example",
                        DEADLINE_MS,
                        b"order",
                    )
                )
                message = await standins.read_message(reader)
            if message is None:
                unanswered.append((request_id, sent_at))
            else:
                answered += 1
        writer.close()

    lost = []
    for _ in range(STOPS):
        await gateway.start()
        clients = [asyncio.create_task(send_steadily()) for _ in range(CLIENTS)]
        await asyncio.sleep(2.0 + RNG.random())
        gateway.send_signal(signal.SIGTERM)
        term_at = time.monotonic()
        await asyncio.wait_for(gateway.process.wait(), 7.0)
        await asyncio.gather(*clients)
        runs = {run for replica in replicas for run in replica.runs}
        lost += [
            request_id
            for request_id, sent_at in unanswered
            if request_id in runs and sent_at <= term_at + 3.0
        ]
        print(f"ended {time.monotonic() - term_at:.2f} s after SIGTERM")
    print(
        f"{answered} answered, {len(unanswered)} unanswered, lost: {sorted(set(lost))}"
    )
    return not lost


standins.run_case(FOLDER, play, True)
