"""Sub-requests of a realistic size for the measures."""

from corianderrill import attempts, names

FLEET = names.FleetName("gantry")
SERVICE = names.ServiceId(FLEET, names.ServiceName("site-lookup"))
SHARD = names.ShardId(SERVICE, names.ShardName("07"))
SNAPSHOT = names.SnapshotId(FLEET, names.IndexVersion(1841))
REPLICA = names.ReplicaId(
    FLEET, names.HostName("site-lookup-07-b"), names.Incarnation("5f0c2c9a1d3e")
)


def build_sub_request(
    attempt_id: str, remaining_s: float = 0.2, replica: names.ReplicaId = REPLICA
) -> attempts.SubRequest:
    """Return a lookup of one notice."""
    return attempts.SubRequest(
        names.RequestId("b7c0c6de52d94ff0"),
        attempt_id,
        replica,
        SHARD,
        SNAPSHOT,
        attempts.FindRows({"council": "Toowoomba", "site": "14 Ruthven St"}, 50),
        remaining_s,
    )


def build_answer(attempt_id: str, rows: int = 2) -> attempts.Answered:
    """Return an answer with a few rows."""
    return attempts.Answered(
        attempt_id,
        tuple(
            attempts.ReplyRow(
                f"SLN-2024-{number:06}",
                {
                    "council": "Toowoomba",
                    "site": "14 Ruthven St",
                    "status": "live",
                    "expires": "2025-03-14",
                    "bays": 12,
                },
            )
            for number in range(rows)
        ),
        attempts.HeldVersions(1839, 1841),
        0.0041,
    )
