from corianderrill.gateway import latency


def test_initial_estimates_are_shares_of_the_goal():
    estimator = latency.LatencyEstimator(goal_s=0.1)
    assert 0 < estimator.expected_latency_s < estimator.hedge_delay_s < 0.1


def test_hedge_delay_exceeds_the_latency_of_most_replies():
    estimator = latency.LatencyEstimator(goal_s=0.1)
    for index in range(100):
        estimator.record(0.010 + 0.0002 * index)
    estimator.refresh(1.0)
    assert 0.019 < estimator.expected_latency_s < 0.021
    assert 0.027 < estimator.hedge_delay_s < 0.030


def test_hedge_delay_is_bounded_by_the_median_when_many_replies_are_slow():
    estimator = latency.LatencyEstimator(goal_s=0.1)
    for index in range(100):
        estimator.record(0.2 if index % 4 == 0 else 0.010)
    estimator.refresh(1.0)
    assert estimator.hedge_delay_s == latency.MAX_HEDGE_DELAY_MEDIANS * 0.010


def test_estimates_change_at_most_once_per_refresh_interval():
    estimator = latency.LatencyEstimator(goal_s=0.1)
    for _ in range(50):
        estimator.record(0.010)
    estimator.refresh(1.0)
    for _ in range(200):
        estimator.record(0.050)
    estimator.refresh(1.0 + latency.REFRESH_INTERVAL_S / 2)
    assert estimator.expected_latency_s == 0.010
    estimator.refresh(1.1 + latency.REFRESH_INTERVAL_S)
    assert estimator.expected_latency_s == 0.050
