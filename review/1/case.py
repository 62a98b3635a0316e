"""An unsafe request runs twice after the second copy of a refusal (TWICE)."""

import asyncio
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

SERVICE = "office-desk"
DEADLINE_MS = 2500
# The budget for second attempts is full once a host has run for its window.
WARM_UP_S = 11.0
REQUESTS_PER_S = 20
TROUBLE_S = 5.0
COPY_DELAY_S = 0.03
MARKED = "order-1"


class BusyReplica(standins.Replica):
    """A replica that is full when the marked request first arrives.

    With `has_trouble`, it sends its refusal a second time, a little later.
    """

    has_trouble = False

    def __init__(self, *args, **kwargs):
        super().__init__(*args, **kwargs)
        self._refused = set()

    def is_full(self, request_id):
        is_first = request_id == MARKED and request_id not in self._refused
        self._refused.add(request_id)
        return is_first

    def after_refusal(self, request_id, writer):
        if self.has_trouble:
            asyncio.get_running_loop().call_later(
                COPY_DELAY_S, self._send_copy, request_id, writer
            )

    def _send_copy(self, request_id, writer):
        self._record.write(f"{self.id} sends its refusal of {request_id} once more")
        fields = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
        writer.write(standins.render_answer(503, fields))


async def play(record, directory, has_trouble, cleanup):
    store = standins.Store()
    await store.start()
    cleanup.callback(store.stop)
    replicas = [
        BusyReplica(SERVICE, record, work_s=0.06, zone=zone)
        for zone in ("zone-a", "zone-b")
    ]
    for replica in replicas:
        await replica.start()
        cleanup.callback(replica.stop)
        replica.register(store)
    # One of the two replicas is faulty, for one of its answers. It is the one in the
    # gateway's zone, which the gateway prefers.
    replicas[0].has_trouble = has_trouble
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
        record.write(f"client sends {request_id}")
        answer = await standins.ask(gateway.port, data)
        answers[request_id] = answer and answer[0]
        record.write(f"client gets {answers[request_id]} for {request_id}")

    async def send_steadily(prefix, seconds):
        tasks = []
        for number in range(int(seconds * REQUESTS_PER_S)):
            tasks.append(asyncio.create_task(send(f"{prefix}-{number}")))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*tasks)

    await send_steadily("warm", WARM_UP_S)
    before = {replica.id: replica.answers for replica in replicas}
    steady = asyncio.create_task(send_steadily("load", TROUBLE_S))
    await asyncio.sleep(TROUBLE_S / 2)
    await send(MARKED)
    await steady
    await asyncio.sleep(1.0)
    for replica in replicas:
        record.write(f"{replica.id}: {replica.answers - before[replica.id]} answers")
    runs = [replica.id for replica in replicas for run in replica.runs if run == MARKED]
    record.write(f"{MARKED} ran on {runs} and was answered {answers[MARKED]}")
    return len(runs) <= 1


# With TROUBLE=0 the case runs without its disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

standins.run_case(FOLDER, play, HAS_TROUBLE)
