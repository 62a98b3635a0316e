"""Requests with one malformed header line, and a body that reads as a request."""

import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "harness3"))
import rig as rigs

SOUND_LINE = "X-Note: gate 4"
# A space before the colon, a name that is not ASCII, and no colon.
BAD_LINES = ("X-Note : gate 4", "X-N\xf6te: gate 4", "X-Note gate 4")


def run(rig):
    replica = rig.add_replica("desk")
    route = rigs.build_route("renew", "/renew/", "desk")
    rig.publish(rigs.build_configuration(3, [route], ["desk"]))
    gateway = rig.add_gateway()
    gateway.start()
    gateway.wait_ready()
    rig.check_calm(gateway, "POST", "/renew/calm")

    sent = {}
    for bad_line in BAD_LINES:
        line = bad_line if rigs.is_trouble() else SOUND_LINE
        inner = rigs.build_request(
            "POST", "/renew/inner", "f" + rigs.new_id(), body=b"x"
        )
        for body in (b"renew licence 4711", inner):
            request_id = rigs.new_id()
            sent[request_id] = body
            raw = rigs.build_request(
                "POST", "/renew/outer", request_id, body=body, more=(line,)
            )
            rig.ask(gateway, raw)

    calm = {run.id for run in replica.runs if run.body == b"calm"}
    breaches = []
    for run in replica.runs:
        if run.id in calm:
            continue
        if run.id not in sent:
            breaches.append(f"UNASKED: ran id {run.id}, which no client sent")
        elif run.body != sent[run.id]:
            breaches.append(
                f"UNASKED: ran id {run.id} with the body {run.body!r},"
                f" sent was {sent[run.id][:40]!r}"
            )
    return breaches


rigs.run_case(__file__, run)
