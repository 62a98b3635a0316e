"""Histories of a soak: a sound one, which tests change to what a check must find."""

from benchmarks.gateways import checks, findings, records, servers

BEGAN_AT = 1000.0
HOST = records.HostName("front-0")
SHARDS = tuple(records.ServiceName(f"shard-{number}") for number in range(2))
DESKS = tuple(records.ServiceName(f"desk-{number}") for number in range(3))
SETTING = findings.Setting(SHARDS, repeat_fixed=10)


def build_history():
    """Return a history with one query and one booking, both as they should be."""
    history = records.History(BEGAN_AT)
    history.published.append(records.Published(1, BEGAN_AT - 10, DESKS[0]))
    history.started.append(records.Started(HOST, BEGAN_AT - 10))
    history.faults_end_at = BEGAN_AT + 10
    history.ended_at = BEGAN_AT + 30
    add_query(history)
    add_booking(history)
    return history


def build_asked(kind, request, at):
    return records.Asked(
        records.RequestId(request),
        kind,
        HOST,
        began_at=at,
        sent_at=at,
        ended_at=at + 0.05,
        ending=records.Ending.ANSWERED,
        status=200,
    )


def add_query(history, request="query", at=BEGAN_AT + 1):
    asked = build_asked(records.Kind.QUERY, request, at)
    runs = [
        add_run(history, request, service, f"i-{service}", at + 0.01)
        for service in SHARDS
    ]
    pieces = [
        run.body[start : start + servers.RECORD_BYTES]
        for run in runs
        for start in range(0, len(run.body), servers.RECORD_BYTES)
    ]
    asked.signatures = tuple(run.signature for run in runs)
    asked.body = b"".join(sorted(pieces, reverse=True)[: checks.TOP])
    history.asked.append(asked)
    return asked


def add_booking(history, request="booking", at=BEGAN_AT + 1, service=DESKS[0]):
    asked = build_asked(records.Kind.BOOKING, request, at)
    run = add_run(history, request, service, f"i-{service}", at + 0.01)
    asked.signatures = (run.signature,)
    asked.body = run.body
    history.asked.append(asked)
    return asked


def add_run(history, request, service, replica, at):
    run = records.Arrival(
        records.RequestId(request),
        service,
        records.InstanceId(replica),
        at,
        signature=f"{replica}.{request}.{len(history.arrivals)}",
        status=200,
        body=servers.build_part(service, request),
    )
    history.arrivals.append(run)
    return run


def disturb(history, since, until, host=HOST):
    history.disturbed.append(records.Disturbed(since, until, host))
