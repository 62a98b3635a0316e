"""A trial, no case: a host that is paused while it has unsafe requests in flight.

Replicas refuse some requests, answer some late and lose some answers. Each request may
run once at most; one that is answered 503 may not run at all (TWICE, REFUSED).
"""

import asyncio
import collections
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SERVICE = "office-desk"
DEADLINE_MS = 2500
SECONDS = 40
REQUESTS_PER_S = 40
PAUSES_S = (1.0, 3.0, 5.0)
RNG = random.Random(31)


class UnsteadyReplica(standins.Replica):
    async def answer(self, line, headers, body, writer):
        self.work_s = RNG.choice((0.02, 0.02, 0.3, 1.5, 2.6))
        await super().answer(line, headers, body, writer)

    def is_full(self, request_id):
        return RNG.random() < 0.3

    def build_body(self, request_id):
        if RNG.random() < 0.1:
            raise ConnectionError
        return b"done"


async def play(record, directory, has_trouble, cleanup):
    store = standins.Store()
    await store.start()
    cleanup.callback(store.stop)
    replicas = [
        UnsteadyReplica(SERVICE, record, zone=zone)
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
    await gateway.start()
    answers = {}

    async def send(request_id):
        data = standins.render_request(
            f"/notices/{request_id}", request_id, "shop.example", DEADLINE_MS, b"order"
        )
        try:
            answer = await asyncio.wait_for(
                standins.ask(gateway.port, data), DEADLINE_MS / 1000
            )
            answers[request_id] = answer and answer[0]
        except (asyncio.TimeoutError, OSError) as error:
            answers[request_id] = type(error).__name__

    async def pause():
        for seconds in PAUSES_S:
            await asyncio.sleep(7.0)
            gateway.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            gateway.send_signal(signal.SIGCONT)

    pausing = asyncio.create_task(pause())
    tasks = []
    for number in range(SECONDS * REQUESTS_PER_S):
        tasks.append(asyncio.create_task(send(f"order-{number}")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks, pausing)
    await asyncio.sleep(3.0)
    runs = collections.Counter(run for replica in replicas for run in replica.runs)
    twice = [request_id for request_id, count in runs.items() if count > 1]
    untrue = [request_id for request_id in runs if answers.get(request_id) == 503]
    print(collections.Counter(answers.values()), "twice:", twice, "untrue:", untrue)
    return not twice and not untrue


standins.run_case(FOLDER, play, True)
