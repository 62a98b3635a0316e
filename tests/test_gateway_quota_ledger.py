"""What a quota lessor grants: tokens, leases, and what goes back."""

import hypothesis
import pytest
from hypothesis import strategies

from corianderrill import names
from corianderrill.gateway import quota_ledger, quota_placement, quota_terms
from tests.utils import quota_builders as builders
from tests.utils import virtual_quotas

LATE_S = 1000.0
LEASE_FROM_S = quota_terms.LEASE_S + virtual_quotas.BOUNDS.window_s


def build_ledger(started_at=0.0):
    return quota_ledger.QuotaLedger(quota_ledger.Term("t-1"), started_at)


def ask(ledger, wanted, now, host="h-1", process="1", sequence=None, **fields):
    terms = fields.pop("terms", builders.build_terms())
    return ledger.answer(
        builders.WORKSPACE,
        terms,
        builders.build_lessee(host, process),
        int(now * 1000) if sequence is None else sequence,
        quota_ledger.Ask(wanted, **fields),
        now,
    )


# Guards against a new lessor that grants what its predecessor has granted before.
def test_new_ledger_starts_with_one_token_and_without_leases():
    ledger = build_ledger()
    answer = ask(ledger, 5, 0.0)
    assert (answer.granted, answer.units) == (1, 0)
    assert ask(ledger, 1, LEASE_FROM_S - 0.1).units == 0
    assert ask(ledger, 1, LEASE_FROM_S).units > 0


def test_bucket_holds_no_more_than_its_capacity():
    terms = builders.build_terms()
    granted = ask(build_ledger(), 1_000, LATE_S).granted
    most = terms.capacity + quota_ledger.OVERDRAFT_SHARE * terms.leased
    assert terms.burst <= granted <= most


def test_share_of_a_host_follows_its_demand():
    ledger = build_ledger()
    now = LATE_S
    for second in range(60):
        now = LATE_S + second
        many = ask(ledger, 6, now, "h-1")
        few = ask(ledger, 2, now, "h-2", sequence=second)
    assert many.units > 2 * few.units > 0


# Guards against a process that uses its lease again after each restart.
def test_lease_of_a_former_process_counts_until_a_window_after_its_end():
    ledger = build_ledger()
    terms = builders.build_terms()
    units = 0
    for process in range(40):
        answer = ask(ledger, 0, LATE_S, process=str(process), used=50)
        units += answer.units
    assert 0 < units <= terms.leased
    later = LATE_S + quota_terms.LEASE_S + terms.window_s
    assert ask(ledger, 0, later - 0.1, "h-2", used=50).units <= terms.leased - units
    assert ask(ledger, 0, later + 0.1, "h-3", used=500).units > 0


def test_tokens_go_back_once_and_only_if_they_were_granted():
    ledger = build_ledger()
    assert ask(ledger, 3, 10.0, sequence=1).granted == 3
    account = ledger.list_accounts()[builders.WORKSPACE]
    before = account.tokens
    ask(ledger, 0, 10.0, sequence=2, returned=2)
    assert account.tokens == before + 2
    ask(ledger, 0, 10.0, sequence=2, returned=2)
    assert account.tokens == before + 2
    ask(ledger, 0, 10.0, sequence=3, returned=50)
    assert account.tokens == before + 3


def test_lower_limit_shrinks_the_bucket_and_the_leases():
    ledger = build_ledger()
    high, low = builders.build_terms(200.0, 100.0), builders.build_terms(2.0, 1.0)
    assert ask(ledger, 0, LATE_S, used=500, terms=high).units > low.leased
    granted = ask(ledger, 500, LATE_S, "h-2", terms=low).granted
    assert granted <= low.capacity + quota_ledger.OVERDRAFT_SHARE * low.leased
    account = ledger.list_accounts()[builders.WORKSPACE]
    assert account.count_leased(low, LATE_S) <= low.leased


# Guards against callers that were refused together and come back together.
def test_denied_requests_come_back_one_after_the_other():
    ledger = build_ledger()
    ask(ledger, 1_000, LATE_S)
    ledger = build_ledger(LATE_S)
    ask(ledger, 1, LATE_S)
    delays = [ask(ledger, 1, LATE_S).retry_after_s for _ in range(10)]
    assert delays == sorted(delays)
    gaps = [later - earlier for earlier, later in zip(delays, delays[1:], strict=False)]
    terms = builders.build_terms()
    assert gaps == pytest.approx([1.0 / terms.refill_per_s] * 9)
    for _ in range(200):
        last = ask(ledger, 1, LATE_S).retry_after_s
    assert last <= quota_ledger.MAX_RETRY_DELAY_S


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 4.0),
            strategies.integers(0, 6),
            strategies.integers(0, 60),
            strategies.integers(0, 60),
        ),
        max_size=60,
    ),
    strategies.floats(0.2, 300.0),
    strategies.floats(0.0, 300.0),
)
def test_sum_of_the_leases_stays_within_its_share(asks, per_s, burst):
    terms = builders.build_terms(per_s, burst)
    ledger = build_ledger()
    now = LATE_S
    for sequence, (pause_s, host, wanted, used) in enumerate(asks):
        now += pause_s
        ask(
            *(ledger, wanted, now, f"h-{host}"),
            sequence=sequence,
            used=used,
            terms=terms,
        )
        account = ledger.list_accounts()[builders.WORKSPACE]
        assert account.count_leased(terms, now) <= terms.leased


def test_all_hosts_choose_the_same_slot_and_all_slots_are_chosen():
    zones = list(virtual_quotas.ZONES)
    first = quota_placement.QuotaPlacement(zones)
    second = quota_placement.QuotaPlacement(reversed(zones))
    workspaces = [names.WorkspaceName(f"w-{number}") for number in range(300)]
    slots = [first.find_slot(workspace) for workspace in workspaces]
    assert slots == [second.find_slot(workspace) for workspace in workspaces]
    assert len(set(slots)) == 6


# Guards against hosts without leases in the first 15 s of a site.
def test_first_lessor_of_a_slot_grants_leases_at_once():
    ledger = quota_ledger.QuotaLedger(quota_ledger.Term("t-1"), 0.0, has_former=False)
    assert ask(ledger, 1, 0.0).units > 0


# Guards against leases of which a later lessor could not know.
def test_no_lease_is_granted_before_the_slot_is_marked():
    ledger = quota_ledger.QuotaLedger(
        quota_ledger.Term("t-1"), 0.0, has_former=False, is_marked=False
    )
    assert ask(ledger, 1, LEASE_FROM_S).units == 0
    ledger.is_marked = True
    assert ask(ledger, 1, LEASE_FROM_S).units > 0
