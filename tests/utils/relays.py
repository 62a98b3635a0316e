"""Builders of hosts that relay sub-requests over real links, without servers."""

import dataclasses
import types

import eventlet
import msgspec

from corianderrill import attempts, directory, messages, ownership, peers, relay
from tests.utils import hosts, links

SEAT_PLAN = ownership.SeatPlan(("a",), 3)


@dataclasses.dataclass
class FakeMembership:
    """A membership whose usable members are set by the test."""

    records: list[messages.MemberRecord]
    revision: int = 0

    def list_usable(self) -> list[messages.MemberRecord]:
        return self.records


@dataclasses.dataclass
class RelayHost:
    """One host with its tasks and the sub-requests that were executed or cancelled.

    A sub-request ends once `execution_gate` is open.
    """

    link: peers.PeerLink
    membership: FakeMembership
    owner_task: relay.OwnerTask
    dispatcher: relay.OwnerDispatcher
    executed: list[attempts.SubRequest]
    cancelled: list[attempts.SubRequest]
    execution_gate: eventlet.event.Event
    is_trusted: bool = True

    def set_owners(self, owners) -> None:
        """Set the usable members, given as pairs of a seat number and a host."""
        self.membership.records = [
            msgspec.structs.replace(
                hosts.build_record(), member=owner.link.member, seat=seat
            )
            for seat, owner in owners
        ]
        self.membership.revision += 1

    def send(self, sub_request: attempts.SubRequest) -> list[attempts.AttemptResult]:
        """Send a sub-request; its result is appended to the returned list."""
        results = []
        self.dispatcher.send(sub_request, results.append)
        return results


def start_host(stack, number: int, keys: peers.PeerKeys) -> RelayHost:
    link = links.start_link(number, keys)
    servers = directory.Directory()
    servers.replace((hosts.build_backend_server(1),))
    replica_owners = ownership.Ownership(SEAT_PLAN)
    membership = FakeMembership([])
    executed, cancelled = [], []
    execution_gate = eventlet.event.Event()

    def execute(sub_request):
        executed.append(sub_request)
        execution_gate.wait()
        return attempts.Answered(sub_request.attempt_id, ())

    owner_task = relay.OwnerTask(
        link,
        servers,
        execute,
        cancelled.append,
        may_connect=lambda server: True,
        is_trusted=lambda: host.is_trusted,
    )
    heartbeat_task = types.SimpleNamespace(membership=membership)
    dispatcher = relay.OwnerDispatcher(
        link, heartbeat_task, replica_owners, servers, owner_task
    )
    host = RelayHost(
        link, membership, owner_task, dispatcher, executed, cancelled, execution_gate
    )
    owner_task.start()
    dispatcher.start()
    stack.callback(link.stop)
    stack.callback(owner_task.stop)
    stack.callback(dispatcher.stop)
    return host


def start_hosts(stack, count: int) -> list[RelayHost]:
    """Return connected hosts: the first without a seat, then owners by seat rank."""
    keys = links.build_keys(count)
    relay_hosts = [start_host(stack, number, keys[number]) for number in range(count)]
    for one in relay_hosts:
        for other in relay_hosts:
            one.link.connect(other.link.member, other.link.address)
    for one in relay_hosts:
        for other in relay_hosts:
            links.wait_until(
                lambda one=one, other=other: one.link.send(
                    other.link.member, messages.RelayCancel(())
                )
            )
    ranked = ownership.list_owner_seats(SEAT_PLAN, hosts.build_replica(), "a", 3)
    seats = [seat.number for seat in ranked]
    for host in relay_hosts:
        host.owner_task.may_connect = lambda server, host=host: (
            host is not relay_hosts[0]
        )
        host.set_owners(list(zip(seats, relay_hosts[1:], strict=False)))
    return relay_hosts
