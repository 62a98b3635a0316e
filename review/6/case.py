"""Gateways are stopped and started in turn while clients use kept connections.

Each client keeps a connection to its gateway and sends a request every four seconds,
with many header lines, within the limits. Clients open a new connection only while the
gateway answers that it is ready.
"""

import asyncio
import itertools
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness2"))
import rig
import wire

ZONES = ("zone-a", "zone-b", "zone-c")
# `roll_term`: one machine at a time, with this pause.
GAP_S = 1.0
CLIENTS = 450
PERIOD_S = 4.0
REPLICAS = 4
RUN_S = 104.0
# Until the first stop: all clients have connected.
SETTLE_S = 5.0
# Of a stop and the start after it.
RESTART_S = 8.0
# SIGKILL follows, and requests count until a second after it.
GRACE_S = 6.0
RESTART_DELAY_S = 0.3
DEADLINE_MS = 2_000
# Below `max_header_bytes`, which is 16,384.
HEADER_LINES = "".join(f"X-Field-{n:03}: {n:08}\r\n" for n in range(400))


class Zone:
    """One gateway, and the clients that are connected to it."""

    def __init__(self, r, gateway, ran, until):
        self._r, self._gateway, self._ran, self._until = r, gateway, ran, until
        self._ready = asyncio.Event()
        self._stopped_at = -1000.0
        self.stops = self.sent = self.answered = 0
        self.lost = []

    async def run(self):
        self._ready.set()
        clients = [asyncio.create_task(self._run_client(n)) for n in range(CLIENTS)]
        await asyncio.gather(*clients)

    async def restart(self):
        self.stops += 1
        self._ready.clear()
        self._stopped_at = time.monotonic()
        self._r.record.write(f"platform: SIGTERM to {self._gateway.name}")
        self._gateway.signal(signal.SIGTERM)
        while self._gateway.process.poll() is None:
            await asyncio.sleep(0.02)
            if time.monotonic() > self._stopped_at + GRACE_S:
                self._gateway.signal(signal.SIGKILL)
        self._r.record.write(f"platform: {self._gateway.name} has ended")
        await asyncio.sleep(RESTART_DELAY_S)
        self._gateway.start()
        await self._gateway.wait_ready()
        self._ready.set()

    async def _run_client(self, client):
        rng = random.Random(client)
        due_at = time.monotonic() + PERIOD_S * client / CLIENTS
        number = 0
        while time.monotonic() < self._until:
            await self._ready.wait()
            try:
                reader, writer = await asyncio.open_connection(
                    "127.0.0.1", self._gateway.port
                )
            except OSError:
                await asyncio.sleep(0.1)
                continue
            # Clients that return at the same moment don't all send at once.
            due_at = max(due_at, time.monotonic() + PERIOD_S * rng.random())
            is_kept = True
            while is_kept and time.monotonic() < self._until:
                if await self._is_closed(reader, due_at):
                    break
                due_at = time.monotonic() + PERIOD_S * rng.uniform(0.95, 1.05)
                number += 1
                request_id = f"{self._gateway.port:04x}{client:06x}{number:06x}"
                is_kept = await self._send(reader, writer, request_id)
            writer.close()

    async def _is_closed(self, reader, until):
        """Wait until a time; return at once if the gateway closes the connection."""
        try:
            await asyncio.wait_for(reader.read(1), max(0.0, until - time.monotonic()))
        except TimeoutError:
            return False
        except OSError:
            pass
        return True

    async def _send(self, reader, writer, request_id):
        """Send a request; return whether the connection may be used again."""
        head = (
            f"POST /desk/renewal HTTP/1.1\r\nHost: {rig.HOST}\r\nX-Request-Id: "
            f"{request_id}\r\nX-Deadline-Ms: {DEADLINE_MS}\r\n{HEADER_LINES}"
            "Content-Length: 5\r\n\r\n"
        )
        sent_at = time.monotonic()
        self.sent += 1
        answer = None
        try:
            writer.write(head.encode() + b"renew")
            answer = await asyncio.wait_for(wire.read_response(reader), 10.0)
        except OSError:
            pass
        if answer is not None and answer.complete:
            self.answered += 1
            return answer.get("connection") != "close"
        took_s = time.monotonic() - sent_at
        # The record of the run may come a little after the end of the connection.
        await asyncio.sleep(0.2)
        after_s = sent_at - self._stopped_at
        if request_id in self._ran and after_s <= GRACE_S + 1.0:
            self.lost.append(request_id)
            self._r.record.write(
                f"LOST: {request_id}, sent to {self._gateway.name} {after_s:.3f} s after "
                f"its SIGTERM on a kept connection, was run by a replica "
                f"{self._ran[request_id] - sent_at:.3f} s later; the connection ended "
                f"without an answer after {took_s:.3f} s"
            )
        return False


async def case(r):
    ran = {}

    async def behave(replica, request, writer):
        request_id = request.get("x-request-id")
        ran[request_id] = time.monotonic()
        await asyncio.sleep(0.02)
        await replica.reply(writer, 200, request_id, body=request.body)

    for _ in range(REPLICAS):
        r.register(await r.add_replica("desk", behave=behave))
    route = rig.build_route("desk", "unsafe", service="desk", timeout_ms=DEADLINE_MS)
    r.publish(rig.build_configuration(1, [route], ["desk"]))
    gateways = [r.add_gateway(f"front-{zone}", zone) for zone in ZONES]
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    until = time.monotonic() + RUN_S
    zones = [Zone(r, gateway, ran, until) for gateway in gateways]

    async def restart_in_turn():
        await asyncio.sleep(SETTLE_S)
        for zone in itertools.cycle(zones):
            if not rig.HAS_TROUBLE or time.monotonic() > until - RESTART_S:
                return
            await zone.restart()
            await asyncio.sleep(GAP_S)

    await asyncio.gather(restart_in_turn(), *(zone.run() for zone in zones))
    lost = sum(len(zone.lost) for zone in zones)
    r.record.write(
        f"{sum(z.stops for z in zones)} stops; sent {sum(z.sent for z in zones)}, "
        f"answered {sum(z.answered for z in zones)}"
    )
    r.record.write(f"{lost} requests were run and have no answer")
    return lost > 0


rig.run(pathlib.Path(__file__).parent, case, timeout_s=116.0)
