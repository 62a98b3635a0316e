from corianderrill.gateway import latency


def test_goal_stands_in_until_replies_were_seen():
    route = latency.LatencyEstimator(goal_s=0.1)
    assert 0 < route.expected_s < route.hedge_delay_s < 0.1


def test_hedge_is_due_after_most_replies():
    route = latency.LatencyEstimator(goal_s=0.1)
    for number in range(100):
        route.record(0.010 + 0.0002 * number)
    route.refresh(1.0)
    assert 0.019 < route.expected_s < 0.021
    assert 0.027 < route.hedge_delay_s < 0.030


def test_hedge_stays_near_the_median_where_many_replies_are_slow():
    route = latency.LatencyEstimator(goal_s=0.1)
    for number in range(100):
        route.record(0.2 if number % 4 == 0 else 0.010)
    route.refresh(1.0)
    assert route.hedge_delay_s == latency.HEDGE_MEDIANS_MOST * 0.010


def test_estimates_are_kept_between_refreshes():
    route = latency.LatencyEstimator(goal_s=0.1)
    for _ in range(50):
        route.record(0.010)
    route.refresh(1.0)
    for _ in range(200):
        route.record(0.050)
    route.refresh(1.0 + latency.REFRESH_S / 2)
    assert route.expected_s == 0.010
    route.refresh(1.1 + latency.REFRESH_S)
    assert route.expected_s == 0.050
