"""The quota leases of a host, and what it admits under them."""

import hypothesis
from hypothesis import strategies

from corianderrill.gateway import quota_allowances, quota_terms
from tests.utils import quota_builders as builders

NOW = 100.0
TERMS = builders.build_terms()


def admit(allowance, count, now, terms=TERMS):
    return sum(allowance.try_admit(terms, now) for _ in range(count))


@hypothesis.settings(max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(strategies.floats(0.0, 3.0), max_size=80),
    strategies.integers(0, 9),
)
def test_no_window_has_more_requests_than_the_lease_allows(pauses_s, units):
    allowance = quota_allowances.Allowance()
    now, admitted = NOW, []
    for pause_s in pauses_s:
        now += pause_s
        allowance.add(units, TERMS.leased, now)
        if allowance.try_admit(TERMS, now):
            admitted.append(now)
    for end in admitted:
        in_window = [at for at in admitted if end - TERMS.window_s <= at <= end]
        assert len(in_window) <= units


# Guards against a host that was frozen and goes on with a lease that has ended.
def test_lease_ends_a_fixed_time_after_the_message_was_sent():
    allowance = quota_allowances.Allowance()
    allowance.add(3, TERMS.leased, NOW)
    assert admit(allowance, 5, NOW + quota_terms.LEASE_S - 0.01) == 3
    allowance = quota_allowances.Allowance()
    allowance.add(3, TERMS.leased, NOW)
    assert admit(allowance, 5, NOW + quota_terms.LEASE_S) == 0


def test_new_lease_does_not_allow_the_same_requests_twice():
    allowance = quota_allowances.Allowance()
    allowance.add(3, TERMS.leased, NOW)
    assert admit(allowance, 5, NOW) == 3
    allowance.add(4, TERMS.leased, NOW + 1.0)
    assert admit(allowance, 5, NOW + 1.0) == 1


def test_smaller_lease_does_not_end_a_larger_one():
    allowance = quota_allowances.Allowance()
    allowance.add(5, TERMS.leased, NOW)
    allowance.add(1, TERMS.leased, NOW + 1.0)
    assert allowance.count_units(TERMS, NOW + 2.0) == 5
    assert allowance.count_units(TERMS, NOW + quota_terms.LEASE_S) == 1


def test_lower_limit_shrinks_a_lease_at_once():
    high, low = builders.build_terms(200.0, 100.0), builders.build_terms(1.0, 0.0)
    allowance = quota_allowances.Allowance()
    allowance.add(high.leased, high.leased, NOW)
    assert allowance.count_units(low, NOW) == low.leased
    assert allowance.count_units(high, NOW) == high.leased


def test_request_that_was_not_sent_frees_its_unit():
    allowance = quota_allowances.Allowance()
    allowance.add(1, TERMS.leased, NOW)
    assert admit(allowance, 2, NOW) == 1
    allowance.give_back(NOW)
    assert admit(allowance, 2, NOW + 0.1) == 1


def test_only_a_used_lease_is_renewed_and_before_it_ends():
    allowances = quota_allowances.QuotaAllowances()
    allowance = allowances.get(builders.WORKSPACE)
    allowance.add(2, TERMS.leased, NOW)
    late = NOW + quota_terms.LEASE_S - 1.0
    assert allowances.list_due(late) == []
    admit(allowance, 1, NOW)
    assert allowances.list_due(NOW + 1.0) == []
    assert allowances.list_due(late) == [builders.WORKSPACE]
    assert allowances.list_due(NOW + quota_terms.LEASE_S) == []
