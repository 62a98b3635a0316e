"""An unsafe request runs twice after stray bytes that look like a refusal (TWICE)."""

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
WARM_UP_S = 12.0
REQUESTS_PER_S = 40
WORK_S = 0.06
# The stray bytes follow the answer after this time; the next request comes before.
STRAY_DELAY_S = 0.04
PAUSE_S = 0.01
FIRST, SECOND = "order-1", "order-2"
STRAY_BYTES = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)


class FaultyReplica(standins.Replica):
    """A replica that sends additional bytes after one of its answers."""

    has_trouble = False

    async def answer(self, line, headers, body, writer):
        await super().answer(line, headers, body, writer)
        if self.has_trouble and headers.get("x-request-id") == FIRST:
            loop = asyncio.get_running_loop()
            loop.call_later(STRAY_DELAY_S, self._send_stray_bytes, writer)

    def _send_stray_bytes(self, writer):
        self._record.write(f"{self.id} sends stray bytes: {STRAY_BYTES!r}")
        writer.write(STRAY_BYTES)


async def play(record, directory, has_trouble, cleanup):
    store = standins.Store()
    await store.start()
    cleanup.callback(store.stop)
    replicas = [
        FaultyReplica(SERVICE, record, work_s=WORK_S, zone=zone)
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

    async def send(request_id):
        data = standins.render_request(
            f"/notices/{request_id}", request_id, "shop.example", DEADLINE_MS, b"order"
        )
        record.write(f"client sends {request_id}")
        answer = await standins.ask(gateway.port, data)
        record.write(f"client gets {answer and answer[0]} for {request_id}")

    tasks = []
    for number in range(int(WARM_UP_S * REQUESTS_PER_S)):
        tasks.append(asyncio.create_task(send(f"warm-{number}")))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    for replica in replicas:
        record.write(f"{replica.id}: {replica.answers} answers so far")
    await send(FIRST)
    await asyncio.sleep(PAUSE_S)
    await send(SECOND)
    await asyncio.sleep(1.0)
    runs = [replica.id for replica in replicas for run in replica.runs if run == SECOND]
    record.write(f"{SECOND} ran on {runs}")
    return len(runs) <= 1


# With TROUBLE=0 the case runs without its disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

standins.run_case(FOLDER, play, HAS_TROUBLE)
