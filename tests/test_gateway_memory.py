"""Memory of finished requests: it is given back without the garbage collector."""

import gc
import weakref

import pytest

from corianderrill.gateway import request_outcomes
from tests.utils import virtual_servers

REQUESTS = 1_000


@pytest.fixture
def without_collector():
    gc.collect()
    gc.disable()
    yield
    gc.enable()


# Guards against hosts that fill their memory in calm: a request and its attempts refer
# to each other, and with them the bodies stayed until the garbage collector ran.
def test_finished_requests_do_not_wait_for_the_garbage_collector(without_collector):
    site = virtual_servers.Site(shards=6)
    for server in site.servers[:4]:
        server.slow = [(0.0, 99.0, 8.0)]
    references = []

    def ask():
        references.append(weakref.ref(site.ask()))

    for number in range(REQUESTS):
        site.loop.call_later(0.02 * number, ask)
    site.loop.run_until(0.02 * REQUESTS + 3.0)
    assert len(site.ended) == REQUESTS
    for work in site.coordinators:
        work.release()
    site.coordinators.clear()
    alive = [reference for reference in references if reference() is not None]
    assert len(alive) <= 10


def test_released_request_still_takes_late_replies():
    site = virtual_servers.Site(shards=2)
    site.servers[0].slow = [(0.0, 99.0, 30.0)]
    site.loop.run_until(0.01)
    work = site.ask()
    while work.outcome is None:
        site.loop.run_until(site.loop.now() + 0.01)
    work.release()
    site.loop.run_until(site.loop.now() + 3.0)
    assert work.outcome is not request_outcomes.Outcome.NOT_EXECUTED
