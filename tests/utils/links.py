"""Builders of peer links between hosts on the loopback address."""

import time

import eventlet
import zmq

from corianderrill import names, peers
from tests.utils import hosts

MAX_WAIT_S = 10.0


def build_keys(count: int) -> list[peers.PeerKeys]:
    """Return keys for each host of a deployment, with one client key pair per host."""
    server_public, server_secret = zmq.curve_keypair()
    pairs = [zmq.curve_keypair() for _ in range(count)]
    allowed = frozenset(public for public, _ in pairs)
    return [
        peers.PeerKeys(server_public, server_secret, public, secret, allowed)
        for public, secret in pairs
    ]


def start_link(
    number: int, keys: peers.PeerKeys, incarnation: str = "a", port: int = 0
) -> peers.PeerLink:
    link = peers.PeerLink(
        hosts.build_member(number, incarnation), names.Address("127.0.0.1", port), keys
    )
    link.start()
    return link


def wait_until(condition) -> None:
    """Return when the condition is true; fail after `MAX_WAIT_S`."""
    deadline = time.monotonic() + MAX_WAIT_S
    while not condition():
        assert time.monotonic() < deadline, "condition did not become true"
        eventlet.sleep(0.005)
