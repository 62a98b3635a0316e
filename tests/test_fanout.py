from corianderrill import attempts, fanout, outcomes
from tests.utils import fanout_builders as build


def start(steering, **shape):
    fan_out = build.make_fan_out(steering, **shape)
    return fan_out, build.list_sent(fan_out.start(0.0))


def test_every_shard_is_asked_once_and_answers_finish_it():
    fan_out, sent = start(build.ScriptedSteering())
    assert len({sub_request.shard for sub_request in sent}) == 2
    for sub_request in sent:
        assert fan_out.handle_result(build.answer(sub_request), 0.1) == []
    assert fan_out.is_finished
    assert fan_out.measure_coverage() == outcomes.Coverage(2, 2)


def test_a_hedge_goes_to_another_replica_and_the_loser_is_cancelled():
    steering = build.ScriptedSteering(hedge_s=0.05)
    fan_out, sent = start(steering, shards=1)
    assert fan_out.next_timer_at() == 0.05
    (hedge,) = build.list_sent(fan_out.handle_timers(0.05))
    assert hedge.replica != sent[0].replica
    fan_out.handle_result(build.answer(hedge), 0.06)
    assert fan_out.is_finished
    assert steering.cancelled == [sent[0].attempt_id]


def test_a_late_answer_after_its_hedge_won_is_dropped_and_counted():
    fan_out, sent = start(build.ScriptedSteering(hedge_s=0.05), shards=1)
    (hedge,) = build.list_sent(fan_out.handle_timers(0.05))
    fan_out.handle_result(build.answer(hedge), 0.06)
    fan_out.handle_result(build.answer(sent[0]), 0.07)
    fan_out.handle_result(build.answer(hedge), 0.08)
    assert fan_out.dropped_results == 2
    assert fan_out.measure_coverage().answered == 1


def test_no_hedge_is_sent_past_the_budget():
    fan_out, _ = start(build.ScriptedSteering(hedge_s=0.05, extra=0), shards=1)
    assert fan_out.handle_timers(0.05) == []


def test_a_request_that_is_not_idempotent_is_never_hedged():
    steering = build.ScriptedSteering(hedge_s=0.05, lost_s=0.1)
    fan_out, _ = start(steering, shards=1, idempotent=False)
    assert fan_out.next_timer_at() == build.DEADLINE_S
    assert fan_out.handle_timers(0.2) == []


def test_a_request_that_is_not_idempotent_is_not_sent_again_after_a_failure():
    fan_out, sent = start(build.ScriptedSteering(), shards=1, idempotent=False)
    assert fan_out.handle_result(build.fail(sent[0]), 0.1) == []
    assert fan_out.is_finished
    assert not fan_out.nothing_ran


def test_a_request_that_is_not_idempotent_goes_on_after_a_refusal():
    fan_out, sent = start(build.ScriptedSteering(), shards=1, idempotent=False)
    refusal = build.refuse(sent[0], attempts.RefusalKind.DRAINING)
    (second,) = build.list_sent(fan_out.handle_result(refusal, 0.1))
    assert second.replica != sent[0].replica
    assert fan_out.spec.idempotent is False


def test_refusals_alone_prove_that_nothing_ran():
    fan_out, sent = start(build.ScriptedSteering(replicas=1, extra=0), shards=1)
    fan_out.handle_result(build.refuse(sent[0], attempts.RefusalKind.SHED), 0.1)
    fan_out.handle_timers(build.DEADLINE_S)
    assert fan_out.is_finished
    assert fan_out.nothing_ran


def test_an_attempt_on_its_way_at_the_deadline_may_have_run():
    fan_out, _ = start(build.ScriptedSteering(), shards=1)
    fan_out.handle_timers(build.DEADLINE_S)
    assert fan_out.is_finished
    assert not fan_out.nothing_ran
    (missing,) = fan_out.measure_coverage().missing
    assert missing.reason is outcomes.MissingReason.DEADLINE


def test_a_shard_whose_replicas_all_lack_the_snapshot_is_missing_at_once():
    fan_out, sent = start(build.ScriptedSteering(replicas=2), shards=1)
    lacks = attempts.RefusalKind.NO_SNAPSHOT
    (second,) = build.list_sent(
        fan_out.handle_result(build.refuse(sent[0], lacks), 0.01)
    )
    fan_out.handle_result(build.refuse(second, lacks), 0.02)
    assert fan_out.is_finished
    assert fan_out.is_missing_snapshot


def test_rows_outside_the_range_of_their_shard_never_reach_the_answer():
    fan_out, sent = start(build.ScriptedSteering(replicas=1, extra=0))
    # CRC-32 puts "key-0" into one of the two halves: one shard must refuse it.
    for sub_request in sent:
        fan_out.handle_result(build.answer(sub_request, "key-0"), 0.1)
    fan_out.handle_timers(build.DEADLINE_S)
    assert fan_out.measure_coverage().answered == 1


def test_a_hedge_that_the_budget_denied_is_asked_for_again():
    steering = build.ScriptedSteering(hedge_s=0.05, extra=0)
    fan_out, _ = start(steering, shards=1)
    assert fan_out.handle_timers(0.05) == []
    steering.extra = 1
    assert fan_out.next_timer_at() == 0.05 + fanout.BUDGET_RECHECK_DELAY_S
    assert len(build.list_sent(fan_out.handle_timers(fan_out.next_timer_at()))) == 1


def test_a_hedge_that_the_budget_denied_is_dropped_once_all_is_slow():
    steering = build.ScriptedSteering(hedge_s=0.05, extra=0)
    fan_out, _ = start(steering, shards=1)
    fan_out.handle_timers(0.05)
    steering.extra, steering.hedge_s = 1, None
    assert fan_out.handle_timers(0.08) == []
    assert fan_out.next_timer_at() == build.DEADLINE_S


def test_a_lost_attempt_is_replaced_once_the_budget_allows():
    steering = build.ScriptedSteering(lost_s=0.1, extra=0)
    fan_out, sent = start(steering, shards=1)
    assert fan_out.handle_timers(0.1) == []
    steering.extra = 1
    (second,) = build.list_sent(fan_out.handle_timers(fan_out.next_timer_at()))
    assert second.replica != sent[0].replica


def test_a_shard_without_any_replica_is_missing_at_once():
    fan_out, sent = start(build.ScriptedSteering(replicas=0), shards=1)
    assert sent == []
    assert fan_out.is_finished
    (missing,) = fan_out.measure_coverage().missing
    assert missing.reason is outcomes.MissingReason.NO_REPLICA
    assert fan_out.nothing_ran
