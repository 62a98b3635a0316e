"""Builders of entry hosts, backend servers and members."""

from corianderrill import attempts, hostlist, messages, names


def build_member(number: int = 1, incarnation: str = "a") -> names.MemberId:
    return names.MemberId(
        names.HostName(f"entry-{number}"), names.Incarnation(incarnation)
    )


def build_address(number: int = 1) -> names.Address:
    return names.Address(f"10.0.{number // 250}.{number % 250 + 1}", 7000)


def build_record(
    number: int = 1,
    state: messages.MemberState = messages.MemberState.ALIVE,
    epoch: int = 0,
    zone: str = "a",
    incarnation: str = "a",
) -> messages.MemberRecord:
    return messages.MemberRecord(
        build_member(number, incarnation),
        names.ZoneName(zone),
        build_address(number),
        state,
        epoch,
    )


def build_entry_host(
    number: int = 1, zone: str = "a", incarnation: str = "a"
) -> hostlist.EntryHost:
    return hostlist.EntryHost(
        names.HostName(f"entry-{number}"),
        names.Incarnation(incarnation),
        names.ZoneName(zone),
        names.Address(build_address(number).ip, 8000),
        build_address(number),
    )


def build_replica(number: int = 1) -> names.ReplicaId:
    return names.ReplicaId(
        names.FleetName("gantry"),
        names.HostName(f"server-{number}"),
        names.Incarnation("a"),
    )


def build_backend_server(
    number: int = 1, zone: str = "a", connection_cap: int = 25, slots: int = 2
) -> hostlist.BackendServer:
    return hostlist.BackendServer(
        names.FleetName("gantry"),
        names.HostName(f"server-{number}"),
        names.Incarnation("a"),
        names.ZoneName(zone),
        names.Address("10.1.0.1", 9000 + number),
        names.ServiceName("site-lookup"),
        (names.ShardName("1"),),
        slots=slots,
        connection_cap=connection_cap,
        connect_cost_s=0.006,
    )


def build_shard(name: str = "1") -> names.ShardId:
    service = names.ServiceId(
        names.FleetName("gantry"), names.ServiceName("site-lookup")
    )
    return names.ShardId(service, names.ShardName(name))


def build_sub_request(
    attempt_id: str = "r1",
    remaining_s: float = 0.2,
    idempotent: bool = True,
    replica: int = 1,
) -> attempts.SubRequest:
    return attempts.SubRequest(
        names.RequestId("request"),
        attempt_id,
        build_replica(replica),
        build_shard(),
        names.SnapshotId(names.FleetName("gantry"), names.IndexVersion(7)),
        attempts.FindRows({"key": "a"}),
        remaining_s,
        idempotent,
    )


def build_envelope(
    message: messages.Message, sender: int = 1, recipient: str = "", sent_s: float = 1.0
) -> messages.Envelope:
    return messages.Envelope(
        build_member(sender),
        names.Incarnation(recipient),
        messages.Stamp(1, 2),
        sent_s,
        message,
    )
