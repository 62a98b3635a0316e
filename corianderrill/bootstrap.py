"""The state that a host which starts while the platform is away takes from a peer.

It asks a peer for the host list and the catalogs until it has both; the configuration
has a spread of its own. What a peer gives is as old as the peer's own, and the
platform's word replaces it.
"""

import random
from collections.abc import Callable, Iterable

import eventlet
import msgspec

from corianderrill import catalog, findings, hostlist, messages, names, peers

ASK_INTERVAL_S = 0.5
SOURCE = "peer"


class BootstrapTask:
    """Asks peers while this host lacks state, and answers those that ask.

    `lacks_state` tells whether a host list or a catalog is missing; `take_hosts` and
    `take_snapshots` get what a peer gave. `list_members` returns the live peers.
    """

    def __init__(
        self,
        link: peers.PeerLink,
        catalogs: dict[names.FleetName, catalog.Catalog],
        get_hosts: Callable[[], hostlist.HostList],
        lacks_state: Callable[[], bool],
        take_hosts: Callable[[hostlist.HostList], None],
        list_members: Callable[[], Iterable[names.MemberId]],
        choices: random.Random,
    ):
        self._link = link
        self._catalogs = catalogs
        self._get_hosts = get_hosts
        self._lacks_state = lacks_state
        self._take_hosts = take_hosts
        self._list_members = list_members
        self._choices = choices
        self._task = None

    def start(self) -> None:
        """Answer peers, and ask them until there is state."""
        self._link.register(messages.StateQuestion, self._answer)
        self._link.register(messages.StateCopy, self._take)
        self._task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Ask no more."""
        if self._task is not None:
            self._task.kill()
            self._task = None

    def _run(self) -> None:
        while self._lacks_state():
            members = tuple(self._list_members())
            if members:
                member = self._choices.choice(members)
                self._link.send(member, messages.StateQuestion())
            eventlet.sleep(ASK_INTERVAL_S)

    def _answer(self, delivery: peers.Delivery) -> None:
        if self._lacks_state():
            return
        copy = messages.StateCopy(
            msgspec.json.encode(self._get_hosts()),
            tuple(
                catalog.encode_catalog(fleet, known.list_snapshots())
                for fleet, known in self._catalogs.items()
            ),
        )
        self._link.send(delivery.envelope.sender, copy)

    def _take(self, delivery: peers.Delivery) -> None:
        if not self._lacks_state():
            return
        copy = delivery.envelope.message
        decoded = hostlist.decode_host_list(copy.hosts)
        if isinstance(decoded, hostlist.Fetched):
            self._take_hosts(decoded.hosts)
        for value in copy.catalogs:
            snapshots = catalog.decode_catalog(value, SOURCE)
            if isinstance(snapshots, findings.Rejected):
                continue
            for snapshot in snapshots:
                catalog.add_to_catalogs(self._catalogs, snapshot)
