from corianderrill import message_age


def test_a_steady_delay_is_no_age():
    clock = message_age.MessageAgeEstimator()
    ages = [clock.estimate_age_s(100.0 + n, 5.0 + n) for n in range(10)]
    assert ages == [0.0] * 10


def test_messages_that_waited_for_a_paused_reader_are_old():
    clock = message_age.MessageAgeEstimator()
    clock.estimate_age_s(100.0, 5.0)
    resumed_s = 65.0
    ages = [clock.estimate_age_s(101.0 + n, resumed_s) for n in range(59)]
    assert all(abs(age - (59.0 - n)) < 0.02 for n, age in enumerate(ages)), ages
    assert abs(clock.estimate_age_s(160.0, 65.0)) < 0.02


def test_drift_of_either_clock_does_not_add_up_to_age():
    for rate in (1 - 100e-6, 1 + 100e-6):
        clock = message_age.MessageAgeEstimator()
        ages = [clock.estimate_age_s(float(n), n * rate) for n in range(1, 100_000, 7)]
        assert max(ages) < 0.001
