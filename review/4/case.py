"""An entry of another writer ends the task that follows the store (CONFIG)."""

import asyncio
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402

OLD_SERVICE = "office-desk"
NEW_SERVICE = "reminder-mail"
DEADLINE_MS = 2500
NESTING = 2000
# `config_apply_ms` after the acknowledgement, and a margin.
APPLY_S = standins.BOUNDS["config_apply_ms"] / 1000 + 1.0
REQUESTS = 20


def build_unreadable_entry():
    """Return a value that is no entry: JSON that is nested and never closed."""
    return b'{"service": "office-desk", "notes": ' + b"[" * NESTING


async def play(record, directory, has_trouble, cleanup):
    store = standins.Store()
    await store.start()
    cleanup.callback(store.stop)
    for service in (OLD_SERVICE, NEW_SERVICE):
        for _ in range(3):
            replica = standins.Replica(service, record)
            await replica.start()
            cleanup.callback(replica.stop)
            replica.register(store)

    def put_configuration(version, service):
        route = standins.build_route(
            "notice-fetch", "/notices/", {"service": service}, "safe", DEADLINE_MS
        )
        services = [OLD_SERVICE, NEW_SERVICE]
        store.put("op/config", standins.build_configuration(version, [route], services))
        record.write(f"operator writes version {version}: /notices/ to {service}")

    put_configuration(7, OLD_SERVICE)
    gateways = []
    for number in range(2):
        gateway = standins.Gateway(f"front-{number}", store, directory)
        cleanup.push_async_callback(gateway.stop)
        await gateway.start()
        gateways.append(gateway)
    if has_trouble:
        store.put("servers/i-other", build_unreadable_entry())
        record.write("another writer writes servers/i-other")
    await asyncio.sleep(2.0)
    put_configuration(8, NEW_SERVICE)
    acknowledged_at = time.monotonic()
    await asyncio.sleep(APPLY_S)
    outdated = 0
    for number in range(REQUESTS):
        gateway = gateways[number % len(gateways)]
        request_id = f"fetch-{number}"
        data = standins.render_request(
            f"/notices/{number}", request_id, "shop.example", DEADLINE_MS
        )
        sent_s = time.monotonic() - acknowledged_at
        answer = await standins.ask(gateway.port, data)
        body = b"" if answer is None else answer[2]
        outdated += body.startswith(OLD_SERVICE.encode())
        is_ready = await gateway.is_ready()
        record.write(
            f"{request_id} sent to {gateway.name} {sent_s:.1f} s after version 8: "
            f"{answer and answer[0]}, body {body!r}; ready: {is_ready}"
        )
    record.write(f"{outdated} of {REQUESTS} requests ran on {OLD_SERVICE}")
    for gateway in gateways:
        tail = gateway.log.read_text(errors="replace").strip().splitlines()
        ends = [line for line in tail if "RecursionError" in line]
        record.write(f"{gateway.name} wrote: {ends[-1][:200] if ends else 'no error'}")
    return outdated == 0


# With TROUBLE=0 the case runs without its disruption.
HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

standins.run_case(FOLDER, play, HAS_TROUBLE)
