"""An entry of a replica that the store writes late undoes its `draining`.

A replica's write gets no response and is executed 5.95 s later. In between the replica
has written four times, the last two times `draining`. Its `seq_no` tells that the late
entry is the oldest of them.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
import rig

BEAT_S = 1.2
DRAIN_S = 3.0
# After the write without a response.
DRAINING_AT_S = 4.05
LATE_WRITE_AT_S = 5.95
CLIENTS = 6
# The first beat after the write without a response; another one comes at 5.9 s.
FIRST_BEAT_AT_S = 1.1


async def case(r):
    leaving, staying = [await r.add_replica("desk") for _ in range(2)]
    for replica in (leaving, staying):
        r.register(replica)
    route = rig.build_route("desk", "safe", service="desk")
    r.publish(rig.build_configuration(1, [route], ["desk"]))
    gateways = [r.add_gateway(f"front-{n}") for n in (1, 2)]
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()

    async def ask(number):
        client = rig.Client(r.record, gateways[number % 2])
        while True:
            await client.send("/desk/x")
            await asyncio.sleep(0.05)

    asking = [asyncio.create_task(ask(n)) for n in range(CLIENTS)]
    await asyncio.sleep(1.0)
    lost_at = time.monotonic()
    late_entry = leaving.build_entry()
    r.record.write(f"{leaving.id} writes seq_no {late_entry['seq_no']}: no response")

    def write_beats():
        state = "draining" if time.monotonic() >= lost_at + DRAINING_AT_S else "ready"
        r.register(staying)
        r.register(leaving, state)

    def write_draining():
        r.register(leaving, "draining")

    def write_late():
        if rig.HAS_TROUBLE:
            r.record.write("the write without a response is executed")
            r.register(leaving, entry=late_entry)

    events = [(FIRST_BEAT_AT_S + n * BEAT_S, write_beats) for n in range(9)]
    events += [(DRAINING_AT_S, write_draining), (LATE_WRITE_AT_S, write_late)]
    for at_s, act in sorted(events, key=lambda each: each[0]):
        await asyncio.sleep(lost_at + at_s - time.monotonic())
        act()
    for task in asking:
        task.cancel()
    acknowledged_at = lost_at + DRAINING_AT_S
    late = [
        (at, request_id)
        for at, request_id in leaving.arrived
        if at > acknowledged_at + DRAIN_S + 0.01
    ]
    for at, request_id in late:
        r.record.write(
            f"DRAIN: {request_id} reached {leaving.id} {at - acknowledged_at:.2f} s "
            "after the store had acknowledged `draining`"
        )
    r.record.write(f"{len(late)} requests reached the leaving replica too late")
    return bool(late)


rig.run(pathlib.Path(__file__).parent, case)
