"""The reply to a watch is lost that tells of a leaving replica; the route moves."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness3"))
import rig as rigs

STALE_S = 5.0
CONTACT_S = rigs.BOUNDS["contact_ms"] / 1000
APPLY_S = rigs.BOUNDS["config_apply_ms"] / 1000
DRAIN_S = rigs.BOUNDS["drain_ms"] / 1000
HEARTBEAT_S = 1.2
# The change follows the loss after this time.
CHANGE_AFTER_S = 1.0
WATCHED_S = 12.0
GAP_S = 0.05


def run(rig):
    rig.store.stale_s = STALE_S
    leaving, _staying = [rig.add_replica("desk-old") for _ in range(2)]
    rig.add_replica("desk-new")
    services = ["desk-old", "desk-new"]
    terms = {"type": "unsafe", "timeout_ms": 1000}
    first = [rigs.build_route("fetch", "/fetch/", "desk-old", **terms)]
    rig.publish(rigs.build_configuration(3, first, services))
    gateway = rig.add_gateway()
    gateway.start()
    gateway.wait_ready()
    rig.check_calm(gateway, "POST", "/fetch/calm")
    time.sleep(STALE_S + CONTACT_S)

    # A replica reports that it leaves, and the store tells the host that watches.
    rig.store.loses_next_watch = rigs.is_trouble()
    leaving_at = leaving.register(rig.store, "draining")
    rig.record.write(f"{leaving.id} reported draining")
    time.sleep(CHANGE_AFTER_S)
    if rigs.is_trouble() and rig.store.lost_at is None:
        raise rigs.CannotRunError("no watch was open")

    second = [rigs.build_route("fetch", "/fetch/", "desk-new", **terms)]
    acknowledged_at = rig.publish(rigs.build_configuration(8, second, services))
    # The host is in touch again from here on.
    in_touch_at = (rig.store.lost_at or leaving_at) + CONTACT_S
    sent_at = {}
    while time.monotonic() < acknowledged_at + WATCHED_S:
        request_id = rigs.new_id()
        sent_at[request_id] = time.monotonic()
        rig.ask(gateway, rigs.build_request("POST", "/fetch/a", request_id, 1000, b"x"))
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
                f" acknowledged, was run by desk-old"
            )
        if run.replica is leaving and run.at > leaving_at + DRAIN_S:
            breaches.append(
                f"DRAIN: id {run.id} reached {leaving.id}"
                f" {run.at - leaving_at:.2f} s after the acknowledgement"
            )
    for rule in ("CONFIG", "DRAIN"):
        count = sum(line.startswith(rule) for line in breaches)
        rig.record.write(f"{rule} was broken by {count} requests")
        print(f"{rule} was broken by {count} requests")
    return [line for line in breaches if line.startswith("CONFIG")]


rigs.run_case(__file__, run)
