"""Leases of a store that comes back from an older copy.

Pattern: leases that were granted since the copy are gone, and their ids are given out
again, so that a host may renew or end the lease of another one.
"""

import random

import pytest

from corianderrill import names
from corianderrill.gateway import aggregator_role, demand_reporter, retry_budget
from corianderrill.gateway import request_rates as rates
from corianderrill.platform import documents, store
from tests.utils import fake_stores
from tests.utils import gateway_builders as builders

ADDRESS = names.Address("10.0.0.1", 7420)
OTHER_KEY = "other/key"


class Clock:
    now = 100.0

    def __call__(self):
        return self.now


@pytest.fixture
def other(fake_store):
    """Return the client of another host."""
    return store.StoreClient(fake_store.address)


@pytest.fixture
def role(fake_store):
    view = builders.build_view()
    view.confirmed_at = 1.0
    return aggregator_role.AggregatorRole(
        store.StoreClient(fake_store.address),
        builders.build_aggregator_directory(),
        view,
        builders.ZONE,
        ADDRESS,
        2.0,
        fake_stores.RecordingLog(),
        random.Random(1),
        retry_budget.build_retry_budget(0.2, 200, -60.0),
        64.0,
        clock=Clock(),
        sleep=lambda _seconds: None,
    )


# Guards against a host that keeps its slot by renewing the lease of another one.
def test_slot_is_lost_when_its_lease_id_belongs_to_another_host(
    fake_store, role, other
):
    copy = fake_store.take_copy()
    role._step()
    assert role.held is not None
    fake_store.restore(copy)
    lease = other.grant_lease(6.0)
    other.create_key(documents.format_aggregator_key(role.held.key), b"{}", lease)
    role._step()
    assert role.held is None


def test_slot_that_the_copy_holds_is_kept(fake_store, role):
    role._step()
    held = role.held
    fake_store.restore(fake_store.take_copy())
    role._step()
    role._step()
    assert role.held == held
    changes = [record.change for record in role.log.records]
    assert changes == ["taken"]


def test_slot_that_the_copy_lacks_is_taken_anew_under_a_new_lease(fake_store, role):
    copy = fake_store.take_copy()
    role._step()
    key = documents.format_aggregator_key(role.held.key)
    fake_store.restore(copy)
    role._step()
    assert role.held is not None
    assert key in fake_store.list_keys()
    role._step()
    assert role.held is not None


# Guards against a host that ends the lease of another one.
@pytest.mark.parametrize("knows", [False, True])
def test_host_that_shuts_down_leaves_the_lease_of_another_host_alone(
    fake_store, role, other, knows
):
    copy = fake_store.take_copy()
    role._step()
    fake_store.restore(copy)
    other.create_key(OTHER_KEY, b"{}", other.grant_lease(6.0))
    if knows:
        role._step()
    role.retire()
    assert OTHER_KEY in fake_store.list_keys()


# Guards against a slot whose slack its former holder, which does not know yet that
# its lease is gone, and the new one spend in the same window.
def test_slack_of_a_slot_is_not_used_while_a_lost_lease_may_last(role):
    role.view.era_since = role.clock.now
    role._step()
    window_s = retry_budget.WINDOW_S + retry_budget.BUCKET_S
    earliest = role.clock.now + aggregator_role.LEASE_TTL_S + window_s
    assert role.retry_budget._slot_from >= earliest


@pytest.fixture
def reporter(fake_store):
    log = fake_stores.RecordingLog()
    limits = builders.build_rate_limits(log)
    view = builders.build_view()
    clock = Clock()
    built = demand_reporter.DemandReporter(
        store.StoreClient(fake_store.address),
        view,
        limits,
        rates.RequestRates(clock.now),
        builders.ZONE,
        log,
        random.Random(1),
        clock=clock,
    )
    view.apply_registration(builders.build_registration(), 2, 0.0)
    (replica,) = view.list_ready("shard-1")
    limits.record_reply(replica, builders.build_limited_reply(10.0), clock.now)
    built.step()
    clock.now += demand_reporter.MIN_WRITE_INTERVAL_S
    return built


def test_report_is_published_again_when_its_lease_id_belongs_to_another_host(
    fake_store, reporter, other
):
    copy = fake_store.take_copy()
    key = documents.format_demand_key(reporter.limits.directory.own_host)
    reporter.step()
    assert key in fake_store.list_keys()
    fake_store.restore(copy)
    other.create_key(OTHER_KEY, b"{}", other.grant_lease(6.0))
    for _ in range(2):
        reporter.clock.now += demand_reporter.RENEWAL_INTERVAL_S
        reporter.step()
    assert key in fake_store.list_keys()
    reporter.withdraw()
    assert key not in fake_store.list_keys()
    assert OTHER_KEY in fake_store.list_keys()
