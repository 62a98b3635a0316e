from corianderrill import message_age


def test_messages_with_a_constant_delay_have_age_zero():
    estimator = message_age.MessageAgeEstimator()
    ages = [estimator.estimate_age_s(100.0 + n, 5.0 + n) for n in range(10)]
    assert ages == [0.0] * 10


def test_messages_queued_while_the_receiver_was_paused_are_old():
    estimator = message_age.MessageAgeEstimator()
    estimator.estimate_age_s(100.0, 5.0)
    resumed_s = 65.0
    ages = [estimator.estimate_age_s(101.0 + n, resumed_s) for n in range(59)]
    assert all(abs(age - (59.0 - n)) < 0.02 for n, age in enumerate(ages)), ages
    assert abs(estimator.estimate_age_s(160.0, 65.0)) < 0.02


def test_clock_drift_does_not_accumulate_as_age():
    for clock_rate in (1 - 100e-6, 1 + 100e-6):
        estimator = message_age.MessageAgeEstimator()
        ages = [
            estimator.estimate_age_s(float(n), n * clock_rate)
            for n in range(1, 100_000, 7)
        ]
        assert max(ages) < 0.001
