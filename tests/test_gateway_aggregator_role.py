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
OTHER_ZONE = names.ZoneName("zone-b")
OWN_KEY = aggregators.SlotKey(builders.ZONE, aggregators.Slot(0))


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


# Guards against a slot that stays vacant for seconds: a stale listing names the holder
# that has left, as the host knows by its watch.
@pytest.mark.parametrize(
    ("listed_at", "era"), [(9, 1), (99, 0)], ids=["older-revision", "earlier-era"]
)
def test_listing_from_before_the_slot_was_vacant_does_not_keep_it_vacant(
    listed_at, era
):
    client = fake_stores.LeaseClient()
    role = build_role(client)
    role.directory.enter_era(1)
    for slot in range(aggregators.SLOTS_PER_ZONE):
        key = aggregators.SlotKey(builders.ZONE, aggregators.Slot(slot))
        role.directory.apply(key, None, 12)
    listed = frozenset(
        documents.format_aggregator_key(aggregators.SlotKey(builders.ZONE, slot))
        for slot in range(aggregators.SLOTS_PER_ZONE)
    )
    client.list_keys = lambda prefix: store.KeyList(listed, listed_at, era)
    role._step()
    assert role.held is not None


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


# With quotas.


def build_quota_role(client=None, scope=aggregator_role.Scope.OWN_ZONE, **fields):
    role = build_role(client, **{"host_count": 9.0, **fields})
    role.has_quotas = lambda: True
    role.scope = scope
    role.zones = (builders.ZONE, OTHER_ZONE)
    return role


def hear_of(role, key, host="front-1", era=0):
    """Let a role know the holder of a slot that is in the store."""
    holder = aggregators.Aggregator(key, names.HostName(host), ADDRESS, 2.0, era)
    text = documents.format_aggregator_key(key)
    role.client.keys[text] = (documents.encode_aggregator(holder), None)
    role.directory.apply(key, holder, 10)


def test_host_of_a_small_site_takes_a_slot_if_a_workspace_has_a_quota():
    role = build_quota_role()
    assert role.wants_slot()
    role._step()
    assert role.held is not None
    assert not role.wants_slot()
    assert role.find_term(100.0).started_at == 100.0


def test_term_is_certain_until_the_lease_may_have_ended():
    role = build_quota_role()
    role._step()
    until = 100.0 + aggregator_role.LEASE_TTL_S
    assert role.find_term(until - 0.1) is not None
    assert role.find_term(until) is None
    role.has_quotas = lambda: False
    role.retire()
    assert role.find_term(100.0) is None


# Guards against 6 s without a quota lessor after each restart.
def test_process_that_starts_takes_over_the_slot_of_its_host():
    role = build_quota_role()
    hear_of(role, OWN_KEY)
    role._resume()
    assert role.held.key == OWN_KEY
    assert role.find_term(100.0).started_at == 100.0


@pytest.mark.parametrize("host", ["front-2", None])
def test_process_that_starts_takes_over_no_slot_of_another_host(host):
    role = build_quota_role()
    if host is not None:
        hear_of(role, OWN_KEY, host)
    role._resume()
    assert role.held is None


def test_process_that_starts_leaves_a_slot_that_was_written_again():
    role = build_quota_role()
    hear_of(role, OWN_KEY)
    role.directory.apply(OWN_KEY, role.directory.find_holder(OWN_KEY), 11)
    role._resume()
    assert role.held is None


def test_slot_is_not_taken_over_without_quotas():
    role = build_quota_role()
    role.has_quotas = lambda: False
    hear_of(role, OWN_KEY)
    role._resume()
    assert role.held is None


# Guards against two lessors: a host whose slot the restored store has forgotten does
# not know it at once.
@pytest.mark.parametrize("is_taken_over", [True, False])
def test_term_after_a_restore_starts_when_the_lost_leases_have_ended(is_taken_over):
    role = build_quota_role()
    role.client.era = 3
    role.view.era_since = 99.0
    if is_taken_over:
        hear_of(role, OWN_KEY, era=2)
        role._resume()
    else:
        role._step()
    assert role.held.era == 3
    started_at = role.find_term(100.0).started_at
    assert started_at == 99.0 + aggregator_role.LEASE_TTL_S


def build_orphan_role(**fields):
    role = build_quota_role(scope=aggregator_role.Scope.ORPHANED, **fields)
    times = [100.0]
    role.clock = lambda: times[0]
    return role, times


# Guards against workspaces without a quota lessor for as long as a zone is lost.
def test_slot_of_a_zone_without_hosts_goes_to_a_host_of_another_zone():
    role, times = build_orphan_role()
    for number in range(aggregators.SLOTS_PER_ZONE):
        hear_of(role, aggregators.SlotKey(builders.ZONE, number), "front-2")
    role._step()
    assert role.held is None
    times[0] += aggregator_role.ORPHAN_DELAY_S
    role._step()
    assert role.held.key.zone == OTHER_ZONE
    assert role.find_term(times[0]) is not None


def test_orphaned_slot_is_given_up_when_a_host_of_its_zone_wants_it():
    role, times = build_orphan_role()
    role._step()
    times[0] += aggregator_role.ORPHAN_DELAY_S
    role._step()
    zone = role.held.key.zone
    role.offer_slot(zone)
    times[0] += aggregator_role.MIN_ORPHAN_TERM_S
    role._renew_lease()
    role.offer_slot(names.ZoneName("zone-z"))
    role._step()
    assert role.held is not None
    key = documents.format_aggregator_key(role.held.key)
    role.offer_slot(zone)
    role._step()
    assert role.held is None
    assert key not in role.client.keys


def test_no_slot_is_orphaned_without_quotas():
    role, times = build_orphan_role(host_count=MANY_HOSTS)
    role.has_quotas = lambda: False
    for _ in range(3):
        role._step()
        times[0] += aggregator_role.ORPHAN_DELAY_S
    assert role.held is None


def test_holder_of_a_slot_on_a_small_site_takes_no_queries():
    directory = builders.build_aggregator_directory()
    directory.apply(
        OWN_KEY, aggregators.Aggregator(OWN_KEY, names.HostName("front-2"), ADDRESS), 1
    )
    rng = random.Random(1)
    assert directory.select(builders.ZONE, 0.0, rng) is not None
    directory.has_aggregators = False
    assert directory.select(builders.ZONE, 0.0, rng) is None
    assert directory.select_relay(builders.ZONE, 0.0, rng) is None
    assert directory.find_holder(OWN_KEY) is not None


# Guards against a second lessor of a slot that takes itself for the first.
def test_only_the_first_holder_of_a_slot_with_quotas_is_its_first_lessor():
    client = fake_stores.LeaseClient()
    first = build_quota_role(client)
    first._step()
    assert (first._term.is_first, first._term.is_marked) == (True, True)
    key = documents.format_aggregator_key(first.held.key)
    del client.keys[key]
    second = build_quota_role(client)
    second._step()
    assert second.held.key == first.held.key
    assert not second._term.is_first


# Guards against leases by a holder that no later holder would know of.
def test_slot_that_was_taken_without_quotas_is_marked_with_the_next_renewal():
    client = fake_stores.LeaseClient()
    role = build_role(client)
    role._step()
    assert not role._term.is_marked
    role.has_quotas = lambda: True
    role._step()
    assert role._term.is_marked
    mark = documents.format_lessor_mark_key(role.held.key)
    assert mark in client.keys
    assert not role._term.is_first


# Guards against trust in a store that has lost the mark with its newer copy.
def test_no_holder_takes_itself_for_the_first_after_a_restore():
    role = build_quota_role()
    role.client.era = 2
    role._step()
    assert role.held is not None
    assert not role._term.is_first


# Guards against a site without lessors for the length of a lease after a silent store.
def test_slot_with_quotas_is_kept_if_the_store_has_kept_its_lease():
    role, times = build_timed_quota_role()
    role._step()
    term = role.find_term(times[0])
    role.client.is_down = True
    times[0] += 2 * aggregator_role.LEASE_TTL_S
    role._handle_failure(store.StoreError(store.FailureKind.UNREACHABLE, "down"))
    assert role.find_term(times[0]) is None
    role.client.is_down = False
    role._step()
    assert role.find_term(times[0]) == term


def test_slot_with_quotas_is_taken_again_at_once_if_its_lease_has_ended():
    role, times = build_timed_quota_role()
    role._step()
    term = role.find_term(times[0])
    role.client.keys.pop(documents.format_aggregator_key(role.held.key))
    role.client.leases.clear()
    role._step()
    again = role.find_term(times[0])
    assert (again.key, again.is_first) == (term.key, False)
    assert again.id != term.id


def build_timed_quota_role():
    role = build_quota_role()
    times = [100.0]
    role.clock = lambda: times[0]
    return role, times


# Guards against seconds without a lessor in each step of a rolling restart.
def test_host_that_stops_stays_the_lessor_until_its_process_ends():
    role, times = build_timed_quota_role()
    role._step()
    role.retire()
    assert role.find_term(times[0]) is not None
    assert documents.format_aggregator_key(role.held.key) in role.client.keys
