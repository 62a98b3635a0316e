"""How the connections of a replica are divided so that their cap is never passed.

In mode `owner` the cap is divided among a fixed set of numbered seats (see
`ownership` and `seats`). The sum over all seats is at most the cap whoever sits on
them, so it holds while ownership moves, hosts are replaced and views differ.
"""

import dataclasses

# Requests on their way while every slot is busy, so that no slot waits for them.
PREFETCHED_REQUESTS = 1
# One connection beside those that carry requests, for cancellation and status.
CONTROL_CONNECTIONS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShares:
    """How many seats may connect to a replica, and how many connections each has."""

    seats: int
    connections: int


def divide_connections(cap: int, slots: int) -> ConnectionShares:
    """Divide a replica's cap so that each seat alone can fill all its slots."""
    wanted = slots + PREFETCHED_REQUESTS + CONTROL_CONNECTIONS
    seats = max(1, cap // wanted)
    return ConnectionShares(seats, cap // seats)


def connections_per_host(cap: int, hosts_at_most: int) -> int:
    """Return the connections of each host in mode `alone`; 0 means none.

    Holds while no more than `hosts_at_most` processes run, paused ones included.
    """
    return cap // hosts_at_most
