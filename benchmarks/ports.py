"""Free ports of the loopback for processes that are started side by side."""

import random
import socket

from corianderrill import names

LOOPBACK = "127.0.0.1"
# Below those that the kernel gives to outgoing connections, so that none of these
# takes one before its process listens.
PORTS = (12_000, 32_000)

_given: set[names.Address] = set()
# Runs beside each other must not try the same ports.
_rng = random.SystemRandom()


def find_free_addresses(count: int) -> list[names.Address]:
    """Return addresses on which nothing listens now; each is given once.

    Listeners may share a port, so that one given twice would go unnoticed.
    """
    found: list[names.Address] = []
    while len(found) < count:
        address = names.Address(LOOPBACK, _rng.randrange(*PORTS))
        if address not in _given and is_free(address):
            _given.add(address)
            found.append(address)
    return found


def is_free(address: names.Address) -> bool:
    """Tell whether a server could listen on an address now."""
    with socket.socket() as probe:
        try:
            probe.bind((address.ip, address.port))
        except OSError:
            return False
    return True
