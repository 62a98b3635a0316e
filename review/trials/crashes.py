"""A trial, no case: requests that crash the replicas that run them, which then reset
their connections ("crash") or fall silent ("dark").

Usage: python3 review/trials/crashes.py crash|dark safe|unsafe
"""

import asyncio
import collections
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

DARK = sys.argv[1] == "dark"
KIND = sys.argv[2]
# Of one request, after it has crashed three replicas (news of issue 28).
MAX_LATE = 3
CONTACT_S = standins.BOUNDS["contact_ms"] / 1000
crashes = []
arrivals = []


class R(standins.Replica):
    down_until = 0
    store = None

    async def answer(self, line, headers, body, writer):
        now = time.monotonic()
        if now < self.down_until:
            await asyncio.sleep(100)
        if body == b"poison":
            arrivals.append(now)
            crashes.append((now, self.id))
            self.down_until = now + 3.0
            if not DARK:
                self._server.close()
                for t in list(self._tasks):
                    if t is not asyncio.current_task():
                        t.cancel()
                asyncio.get_running_loop().call_later(
                    3.0, lambda: asyncio.ensure_future(self.back())
                )
                writer.transport.abort()
                raise ConnectionError
            asyncio.get_running_loop().call_later(3.0, self.reborn)
            await asyncio.sleep(100)
        await super().answer(line, headers, body, writer)

    def reborn(self):
        for t in list(self._tasks):
            t.cancel()
        self._born = int(time.time() * 1000)
        self._seq_no = 0
        self.register(self.store)

    async def back(self):
        await self.start2()
        self.reborn()

    async def start2(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)


async def play(record, directory, t, cleanup):
    store = standins.Store()
    await store.start()
    cleanup.callback(store.stop)
    for z in ("zone-a", "zone-b", "zone-c"):
        r = R("office-desk", record, zone=z)
        r.store = store
        await r.start()
        cleanup.callback(r.stop)
        r.register(store)
    store.put(
        "op/config",
        standins.build_configuration(
            7,
            [standins.build_route("n", "/n/", {"service": "office-desk"}, KIND, 2500)],
            ["office-desk"],
        ),
    )
    g = standins.Gateway("front-1", store, directory)
    cleanup.push_async_callback(g.stop)
    await g.start()
    sound = collections.Counter()
    pois = collections.Counter()

    async def send(i, b):
        a = await standins.ask(
            g.port,
            standins.render_request(
                "/n/1" if b == b"poison" else f"/n/s{i}",
                f"r{i}{len(b)}",
                "shop.example",
                2500,
                b,
            ),
        )
        (pois if b == b"poison" else sound)[a and a[0]] += 1

    ts = []
    for i in range(600):
        ts.append(asyncio.create_task(send(i, b"ok")))
        if i % 40 == 20:
            ts.append(asyncio.create_task(send(i, b"poison")))
        await asyncio.sleep(0.05)
    await asyncio.gather(*ts)
    third = sorted(arrivals)[2] if len(arrivals) > 2 else None
    late = sum(a > third + CONTACT_S for a in arrivals) if third else 0
    print(
        "dark" if DARK else "crash",
        KIND,
        "arrivals",
        len(arrivals),
        "later than contact_ms after the third",
        late,
        "sound",
        sound,
        "poison",
        pois,
    )
    return late <= MAX_LATE


standins.run_case(FOLDER, play, True)
