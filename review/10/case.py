"""A replica works on a request that isn't idempotent, fails, and answers 503.

The answer has no `X-Not-Executed`. One of seven replicas fails a part of its requests.
"""

import itertools
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness2"))
import rig

REPLICAS = 7
# Nine of twenty requests of one replica.
FAILED = (0, 2, 4, 7, 9, 11, 14, 16, 18)
ROUND = 20
REQUESTS = 200
PROMISES = (408, 421, 429, 503)


async def case(r):
    numbers = itertools.count()

    async def behave(replica, request, writer):
        request_id = request.get("x-request-id")
        await replica.run(request_id)
        fails = replica is r.replicas[0] and next(numbers) % ROUND in FAILED
        status = 503 if fails and rig.HAS_TROUBLE else 200
        await replica.reply(writer, status, request_id, body=request.body)

    for _ in range(REPLICAS):
        r.register(await r.add_replica("desk", work_s=0.01, behave=behave))
    route = rig.build_route("desk", "unsafe", service="desk")
    r.publish(rig.build_configuration(1, [route], ["desk"]))
    gateway = r.add_gateway("front-1")
    gateway.start()
    await gateway.wait_ready()
    client = rig.Client(r.record, gateway)
    broken = 0
    for _ in range(REQUESTS):
        request_id, answer = await client.send("/desk/renewal", "POST", b"renew")
        has_run = any(request_id in (i for _, i in x.ran) for x in r.replicas)
        if answer is not None and answer.status in PROMISES and has_run:
            broken += 1
            r.record.write(f"REFUSED: {request_id} has {answer.status}, and has run")
    r.record.write(f"{broken} requests were refused that had run")
    return broken > 0


rig.run(pathlib.Path(__file__).parent, case)
