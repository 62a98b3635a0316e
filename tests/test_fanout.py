from corianderrill import attempts, fanout, outcomes
from tests.utils import fanout_builders as build


def start_fan_out(policy, **options):
    fan_out = build.make_fan_out(policy, **options)
    return fan_out, build.list_sent(fan_out.start(0.0))


def test_each_shard_is_queried_once_and_answers_finish_the_fan_out():
    fan_out, sent = start_fan_out(build.ScriptedPolicy())
    assert len({sub_request.shard for sub_request in sent}) == 2
    for sub_request in sent:
        assert fan_out.handle_result(build.make_answer(sub_request), 0.1) == []
    assert fan_out.is_finished
    assert fan_out.compute_coverage() == outcomes.Coverage(2, 2)


def test_a_hedge_goes_to_another_replica_and_the_slower_attempt_is_cancelled():
    policy = build.ScriptedPolicy(hedge_after_s=0.05)
    fan_out, sent = start_fan_out(policy, shard_count=1)
    assert fan_out.next_timer_at() == 0.05
    (hedge,) = build.list_sent(fan_out.handle_timers(0.05))
    assert hedge.replica != sent[0].replica
    fan_out.handle_result(build.make_answer(hedge), 0.06)
    assert fan_out.is_finished
    assert policy.cancelled == [sent[0].attempt_id]


def test_an_answer_after_that_of_the_hedge_is_dropped_and_counted():
    fan_out, sent = start_fan_out(
        build.ScriptedPolicy(hedge_after_s=0.05), shard_count=1
    )
    (hedge,) = build.list_sent(fan_out.handle_timers(0.05))
    fan_out.handle_result(build.make_answer(hedge), 0.06)
    fan_out.handle_result(build.make_answer(sent[0]), 0.07)
    fan_out.handle_result(build.make_answer(hedge), 0.08)
    assert fan_out.dropped_results == 2
    assert fan_out.compute_coverage().answered == 1


def test_no_hedge_is_sent_if_the_budget_is_spent():
    fan_out, _ = start_fan_out(
        build.ScriptedPolicy(hedge_after_s=0.05, budget=0), shard_count=1
    )
    assert fan_out.handle_timers(0.05) == []


def test_a_request_that_is_not_idempotent_is_never_hedged():
    policy = build.ScriptedPolicy(hedge_after_s=0.05, timeout_s=0.1)
    fan_out, _ = start_fan_out(policy, shard_count=1, idempotent=False)
    assert fan_out.next_timer_at() == build.DEADLINE_S
    assert fan_out.handle_timers(0.2) == []


def test_a_request_that_is_not_idempotent_is_not_retried_after_a_failure():
    fan_out, sent = start_fan_out(
        build.ScriptedPolicy(), shard_count=1, idempotent=False
    )
    assert fan_out.handle_result(build.make_failure(sent[0]), 0.1) == []
    assert fan_out.is_finished
    assert not fan_out.nothing_ran


def test_a_request_that_is_not_idempotent_is_retried_after_a_refusal():
    fan_out, sent = start_fan_out(
        build.ScriptedPolicy(), shard_count=1, idempotent=False
    )
    refusal = build.make_refusal(sent[0], attempts.RefusalKind.DRAINING)
    (second,) = build.list_sent(fan_out.handle_result(refusal, 0.1))
    assert second.replica != sent[0].replica
    assert fan_out.spec.idempotent is False


def test_nothing_ran_if_every_attempt_was_refused():
    fan_out, sent = start_fan_out(
        build.ScriptedPolicy(replica_count=1, budget=0), shard_count=1
    )
    fan_out.handle_result(build.make_refusal(sent[0], attempts.RefusalKind.SHED), 0.1)
    fan_out.handle_timers(build.DEADLINE_S)
    assert fan_out.is_finished
    assert fan_out.nothing_ran


def test_an_attempt_in_flight_at_the_deadline_may_have_run():
    fan_out, _ = start_fan_out(build.ScriptedPolicy(), shard_count=1)
    fan_out.handle_timers(build.DEADLINE_S)
    assert fan_out.is_finished
    assert not fan_out.nothing_ran
    (missing,) = fan_out.compute_coverage().missing
    assert missing.reason is outcomes.MissingReason.DEADLINE


def test_a_shard_whose_replicas_all_lack_the_snapshot_is_missing_at_once():
    fan_out, sent = start_fan_out(build.ScriptedPolicy(replica_count=2), shard_count=1)
    no_snapshot = attempts.RefusalKind.NO_SNAPSHOT
    (second,) = build.list_sent(
        fan_out.handle_result(build.make_refusal(sent[0], no_snapshot), 0.01)
    )
    fan_out.handle_result(build.make_refusal(second, no_snapshot), 0.02)
    assert fan_out.is_finished
    assert fan_out.has_shard_without_snapshot


def test_a_reply_with_a_key_outside_the_range_of_its_shard_is_not_used():
    fan_out, sent = start_fan_out(build.ScriptedPolicy(replica_count=1, budget=0))
    # CRC-32 maps "key-0" into the range of one of the two shards: the reply of the
    # other shard is rejected.
    for sub_request in sent:
        fan_out.handle_result(build.make_answer(sub_request, "key-0"), 0.1)
    fan_out.handle_timers(build.DEADLINE_S)
    assert fan_out.compute_coverage().answered == 1


def test_a_hedge_that_the_budget_denied_is_tried_again():
    policy = build.ScriptedPolicy(hedge_after_s=0.05, budget=0)
    fan_out, _ = start_fan_out(policy, shard_count=1)
    assert fan_out.handle_timers(0.05) == []
    policy.budget = 1
    assert fan_out.next_timer_at() == 0.05 + fanout.BUDGET_RECHECK_DELAY_S
    assert len(build.list_sent(fan_out.handle_timers(fan_out.next_timer_at()))) == 1


def test_a_denied_hedge_is_not_sent_later_if_the_policy_has_stopped_hedging():
    policy = build.ScriptedPolicy(hedge_after_s=0.05, budget=0)
    fan_out, _ = start_fan_out(policy, shard_count=1)
    fan_out.handle_timers(0.05)
    policy.budget, policy.hedge_after_s = 1, None
    assert fan_out.handle_timers(0.08) == []
    assert fan_out.next_timer_at() == build.DEADLINE_S


def test_a_timed_out_attempt_is_replaced_once_the_budget_allows():
    policy = build.ScriptedPolicy(timeout_s=0.1, budget=0)
    fan_out, sent = start_fan_out(policy, shard_count=1)
    assert fan_out.handle_timers(0.1) == []
    policy.budget = 1
    (second,) = build.list_sent(fan_out.handle_timers(fan_out.next_timer_at()))
    assert second.replica != sent[0].replica


def test_a_shard_without_replicas_is_missing_at_once():
    fan_out, sent = start_fan_out(build.ScriptedPolicy(replica_count=0), shard_count=1)
    assert sent == []
    assert fan_out.is_finished
    (missing,) = fan_out.compute_coverage().missing
    assert missing.reason is outcomes.MissingReason.NO_REPLICA
    assert fan_out.nothing_ran
