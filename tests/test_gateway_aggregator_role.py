"""How a host takes an aggregator slot, keeps it and loses it."""

import random

import pytest

from corianderrill import names
from corianderrill.gateway import aggregator_role, aggregators, retry_budget
from corianderrill.platform import documents, store
from tests.utils import fake_stores
from tests.utils import gateway_builders as builders

ADDRESS = names.Address("10.0.0.1", 7420)
MANY_HOSTS = 64.0


class Log:
    def __init__(self):
        self.changes = []

    def record(self, record):
        self.changes.append(record.change)


def build_role(client=None, host_count=MANY_HOSTS, address=ADDRESS, confirmed=True):
    view = builders.build_view()
    if confirmed:
        view.confirmed_at = 1.0
    return aggregator_role.AggregatorRole(
        client or fake_stores.LeaseClient(),
        builders.build_aggregator_directory(),
        view,
        builders.ZONE,
        address,
        2.0,
        Log(),
        random.Random(1),
        retry_budget.build_retry_budget(0.2, 200, -60.0),
        host_count,
        clock=lambda: 100.0,
        sleep=lambda _seconds: None,
    )


def test_host_takes_a_vacant_slot_under_a_lease():
    role = build_role()
    role._step()
    key = documents.format_aggregator_key(role.held.key)
    value, lease = role.client.keys[key]
    assert documents.decode_aggregator(key, value) == role.held
    assert lease in role.client.leases
    assert role.held.address == ADDRESS


@pytest.mark.parametrize(
    "unfit", [{"host_count": 9.0}, {"address": None}, {"confirmed": False}], ids=str
)
def test_host_takes_no_slot_on_a_small_site_or_without_a_port_or_view(unfit):
    role = build_role(**unfit)
    role._step()
    assert role.held is None
    assert not role.client.leases


def test_slot_that_is_taken_in_the_store_is_left_to_its_holder():
    client = fake_stores.LeaseClient()
    first, second, third = (build_role(client) for _ in range(3))
    for role in (first, second, third):
        role._step()
    assert {first.held.key.slot, second.held.key.slot} == {0, 1}
    assert third.held is None


def test_host_whose_lease_has_ended_no_longer_holds_the_slot():
    role = build_role()
    role._step()
    role.client.leases.clear()
    role._step()
    assert role.held is None
    assert role.log.changes == ["taken", "lost"]


def test_host_that_cannot_renew_the_lease_gives_up_the_slot_when_it_may_have_ended():
    role = build_role()
    role._step()
    error = store.StoreError(store.FailureKind.UNREACHABLE, "down")
    role.clock = lambda: 100.0 + aggregator_role.LEASE_TTL_S - 0.1
    role._handle_failure(error)
    assert role.held is not None
    role.clock = lambda: 100.0 + aggregator_role.LEASE_TTL_S
    role._handle_failure(error)
    assert role.held is None
    assert role.log.changes == ["taken", "renewal-failed", "lost"]


def test_host_that_shuts_down_ends_its_lease_and_takes_no_slot_again():
    role = build_role()
    role._step()
    role.retire()
    assert not role.client.leases
    assert not role.client.keys
    role._step()
    assert role.held is None


def test_shutdown_with_the_store_down_leaves_the_lease_to_end():
    role = build_role()
    role._step()
    role.client.is_down = True
    role.retire()
    assert role.held is None


def test_slot_with_an_invalid_key_or_value_is_an_error():
    with pytest.raises(documents.DocumentError):
        documents.parse_aggregator_key("aggregators/zone-a/x")
    with pytest.raises(documents.DocumentError):
        documents.decode_aggregator("aggregators/zone-a/0", b"{nonsense")
    key = aggregators.SlotKey(builders.ZONE, aggregators.Slot(1))
    text = documents.format_aggregator_key(key)
    assert documents.parse_aggregator_key(text) == key
