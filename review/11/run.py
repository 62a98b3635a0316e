"""The store gives one host no response for half a second; then the route moves."""

import os
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness3"))
import rig as rigs

IS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
STALE_S = 5.0
SILENCE_S = 0.5
# Into the silence.
LEAVE_AFTER_S = 0.1
CHANGE_AFTER_S = 1.0
CONTACT_S = rigs.BOUNDS["contact_ms"] / 1000
APPLY_S = rigs.BOUNDS["config_apply_ms"] / 1000
DRAIN_S = rigs.BOUNDS["drain_ms"] / 1000
WATCHED_S = 12.0
GAP_S = 0.05
PROBE_WITHIN_S = 5.0


def wait_for_probe(door):
    """Wait until a stale read has just been answered, so that none is due soon."""
    before = door.stale_read_at
    end = time.monotonic() + PROBE_WITHIN_S
    while door.stale_read_at == before:
        if time.monotonic() > end:
            raise rigs.CannotRunError("the host sends no probes")
        time.sleep(0.005)


def run(rig):
    rig.store.stale_s = STALE_S
    leaving, _staying = [rig.add_replica("desk-old") for _ in range(2)]
    rig.add_replica("desk-new")
    services = ["desk-old", "desk-new"]
    terms = {"type": "unsafe", "timeout_ms": 1000}
    first = [rigs.build_route("fetch", "/fetch/", "desk-old", **terms)]
    rig.publish(rigs.build_configuration(3, first, services))
    # One host of three is turned away: a share of 0.33.
    doors = [rig.store.open_door() for _ in rigs.ZONES]
    gateways = [
        rig.add_gateway(f"front-{zone}", store_address=door.address, zone=zone)
        for zone, door in zip(rigs.ZONES, doors, strict=True)
    ]
    for gateway in gateways:
        gateway.start()
    for gateway in gateways:
        gateway.wait_ready()
        rig.check_calm(gateway, "POST", "/fetch/calm")
    time.sleep(STALE_S + CONTACT_S)

    wait_for_probe(doors[0])
    began_at = time.monotonic()
    silent_until = began_at + SILENCE_S
    if IS_TROUBLE:
        silent_until = doors[0].fall_silent(SILENCE_S)
        rig.record.write(f"store: no response to {gateways[0].name}")
    time.sleep(LEAVE_AFTER_S)
    leaving_at = leaving.register(rig.store, "draining")
    rig.record.write(f"{leaving.id} reported draining")
    time.sleep(began_at + CHANGE_AFTER_S - time.monotonic())
    rig.record.write(f"lost responses: {doors[0].lost}")

    second = [rigs.build_route("fetch", "/fetch/", "desk-new", **terms)]
    acknowledged_at = rig.publish(rigs.build_configuration(8, second, services))
    # The hosts are in touch again from here on.
    in_touch_at = silent_until + CONTACT_S
    sent_at = {}
    count = 0
    while time.monotonic() < acknowledged_at + WATCHED_S:
        # Mostly to the host that was turned away.
        gateway = gateways[(count // 4) % 3 if count % 4 == 0 else 0]
        count += 1
        request_id = rigs.new_id()
        sent_at[request_id] = time.monotonic()
        raw = rigs.build_request("POST", "/fetch/a", request_id, 1000, b"x")
        rig.ask(gateway, raw)
        time.sleep(GAP_S)

    breaches = []
    for run in (run for replica in rig.replicas for run in replica.runs):
        at = sent_at.get(run.id)
        if at is None or at < in_touch_at:
            continue
        since_s = at - acknowledged_at
        if run.replica.service == "desk-old" and since_s > APPLY_S:
            breaches.append(
                f"CONFIG: id {run.id}, sent {since_s:.2f} s after version 8 was"
                f" acknowledged and {at - silent_until:.2f} s after the silence,"
                f" was run by desk-old"
            )
        if run.replica is leaving and run.at > leaving_at + DRAIN_S:
            breaches.append(
                f"DRAIN: id {run.id} reached {leaving.id}"
                f" {run.at - leaving_at:.2f} s after the acknowledgement"
            )
    for rule in ("CONFIG", "DRAIN"):
        broken_by = sum(line.startswith(rule) for line in breaches)
        rig.record.write(f"{rule} was broken by {broken_by} requests")
        print(f"{rule} was broken by {broken_by} requests")
    return [line for line in breaches if line.startswith("CONFIG")]


rigs.run_case(__file__, run)
