"""Division of a replica's connections, so that their cap is never exceeded.

In mode `owner` the cap is divided among a fixed set of numbered seats: a host that
holds a seat may open the seat's connections (see `ownership` and `seats`). The sum
over all seats is at most the cap, whichever hosts hold them, so the cap is kept while
ownership moves, hosts are replaced and the views of the hosts differ.
"""

import dataclasses

# Requests sent ahead while every slot is busy, so that a free slot has work at once;
# each needs a connection of its own.
PREFETCHED_REQUESTS = 1
# Connections for cancellation and status.
CONTROL_CONNECTIONS = 1


@dataclasses.dataclass(frozen=True, slots=True)
class ConnectionShares:
    """Number of seats that may connect to a replica, and of connections of each."""

    seats: int
    connections_per_seat: int


def divide_connections(cap: int, slots: int) -> ConnectionShares:
    """Divide the connection cap of a replica with `slots` slots among seats.

    If the cap allows it, each seat has enough connections to keep all slots busy.
    """
    wanted_connections = slots + PREFETCHED_REQUESTS + CONTROL_CONNECTIONS
    seats = max(1, cap // wanted_connections)
    return ConnectionShares(seats, cap // seats)


def connections_per_host(cap: int, max_hosts: int) -> int:
    """Return how many connections each host may open in mode `alone`, possibly 0.

    The cap holds while at most `max_hosts` processes run, paused ones included.
    """
    return cap // max_hosts
