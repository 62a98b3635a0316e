"""The order in which requests of several workspaces are sent to one replica."""

import collections
import dataclasses
import heapq
import itertools
import math
import random
import types

import pytest
from hypothesis import given
from hypothesis import strategies as st

from corianderrill.gateway import (
    delegation,
    routes,
    send_order,
    send_queue,
    workspace_ranks,
)
from tests.utils import gateway_builders as builders
from tests.utils import virtual_servers

GOAL_S = 0.2


@dataclasses.dataclass(frozen=True, eq=False)
class Queued:
    rank: send_order.Rank
    goal_at: float
    at: float = 0.0

    def get_urgency(self, now):
        return send_order.Urgency(now >= self.goal_at, self.goal_at, self.rank)


def build_rank(workspace, priority=0, weight=1.0):
    return send_order.Rank(priority, workspace, weight)


def build_queue(*requests):
    queue = send_queue.SendQueue()
    for request in requests:
        queue.add(request)
    return queue


def pop_all(queue, now=0.0):
    return [queue.pop(now) for _ in range(len(queue))]


def pop_workspaces(queue, count, now=0.0):
    return [queue.pop(now).rank.workspace for _ in range(count)]


def test_requests_that_can_meet_their_goal_go_before_those_of_a_higher_priority():
    late = Queued(build_rank("kami", 0), 0.5)
    in_time = Queued(build_rank("anu", 3), 1.5)
    assert pop_all(build_queue(late, in_time), 1.0) == [in_time, late]


def test_higher_priority_goes_before_an_earlier_goal():
    low = Queued(build_rank("kami", 2), 0.1)
    high = Queued(build_rank("anu", 1), 0.9)
    assert pop_all(build_queue(low, high)) == [high, low]


def test_requests_of_one_workspace_go_by_their_goals():
    rank = build_rank("kami")
    requests = [Queued(rank, goal_at) for goal_at in (0.3, 0.1, 0.2)]
    popped = pop_all(build_queue(*requests))
    assert [request.goal_at for request in popped] == [0.1, 0.2, 0.3]


def test_workspaces_of_equal_priority_take_turns():
    many = [Queued(build_rank("kami"), 0.1 + 0.01 * n) for n in range(6)]
    few = [Queued(build_rank("anu"), 0.5 + 0.01 * n) for n in range(3)]
    order = pop_workspaces(build_queue(*many, *few), 9)
    assert order[:6].count("anu") == 3
    assert order[6:] == ["kami"] * 3


def test_workspaces_share_a_replica_by_weight():
    heavy = [Queued(build_rank("kami", weight=30.0), 1.0) for _ in range(90)]
    light = [Queued(build_rank("anu", weight=10.0), 1.0) for _ in range(90)]
    counts = collections.Counter(pop_workspaces(build_queue(*light, *heavy), 80))
    assert counts["kami"] == pytest.approx(60, abs=2)


# Guards against a workspace that saves up a share while it sends nothing, and then
# keeps the others waiting.
def test_workspace_that_sent_nothing_has_no_claim_to_what_it_left():
    queue = build_queue(*(Queued(build_rank("kami"), 0.1) for _ in range(300)))
    pop_workspaces(queue, 100)
    for _ in range(100):
        queue.add(Queued(build_rank("anu"), 0.9))
    counts = collections.Counter(pop_workspaces(queue, 40))
    assert counts["kami"] == pytest.approx(20, abs=1)


@pytest.mark.parametrize("hindrance", ["priority", "lateness", "weight"])
def test_workspace_that_is_passed_over_gets_its_turn(hindrance):
    rank = build_rank(
        "anu",
        priority=9 if hindrance == "priority" else 0,
        weight=0.001 if hindrance == "weight" else 1.0,
    )
    goal_at = -1.0 if hindrance == "lateness" else 9.0
    queue = build_queue(*(Queued(rank, goal_at) for _ in range(2)))
    order = []
    for _ in range(60):
        while len(queue) < 20:
            queue.add(Queued(build_rank("kami", weight=100.0), 1.0))
        order += pop_workspaces(queue, 1)
    assert order.count("anu") == 2
    allowed = 2 * send_order.MAX_ROUNDS_PASSED_OVER
    assert order[:-1].index("anu") <= allowed
    # A turn for the one that waits costs the others an eighth at most.
    assert order.index("anu", order.index("anu") + 1) > allowed


RANKS = st.builds(
    build_rank,
    st.sampled_from(["kami", "anu", "tõde", ""]),
    st.integers(0, 3),
    st.sampled_from([0.01, 1.0, 50.0]),
)
REQUESTS = st.lists(st.builds(Queued, RANKS, st.floats(0.0, 2.0)), max_size=30)


@given(requests=REQUESTS, now=st.floats(0.0, 2.0))
def test_every_request_is_sent_once(requests, now):
    queue = build_queue(*requests)
    assert sorted(map(id, pop_all(queue, now))) == sorted(map(id, requests))


# Guards against a wait without end, whatever the others send.
@given(seed=st.integers(0, 2**32), workspaces=st.integers(2, 6))
def test_no_workspace_waits_for_more_than_its_rounds(seed, workspaces):
    rng = random.Random(seed)
    ranks = [
        build_rank(f"w-{n}", rng.randrange(3), rng.choice([0.01, 1.0, 40.0]))
        for n in range(workspaces)
    ]
    queue = build_queue()
    last = dict.fromkeys((rank.workspace for rank in ranks), 0)
    waiting = collections.Counter()
    for count in range(1, 400):
        for rank in ranks:
            while waiting[rank.workspace] < 2:
                queue.add(Queued(rank, 0.01 * count + rng.uniform(-0.5, 0.5)))
                waiting[rank.workspace] += 1
        chosen = queue.pop(0.01 * count).rank.workspace
        waiting[chosen] -= 1
        last[chosen] = count
        longest = count - min(last.values())
        assert longest <= (send_order.MAX_ROUNDS_PASSED_OVER + 1) * workspaces


@given(goals=st.lists(st.floats(0.0, 2.0), max_size=20), now=st.floats(0.0, 2.0))
def test_without_workspaces_the_goals_alone_decide(goals, now):
    requests = [Queued(send_order.NO_WORKSPACES, goal_at) for goal_at in goals]
    popped = pop_all(build_queue(*requests), now)
    assert popped == sorted(requests, key=lambda r: (now >= r.goal_at, r.goal_at))


# The load on a replica that this order answers: five workspaces that usually send 15
# requests a second each, of which one sends eight times as many; the replica runs two
# requests at once, of 20 ms each, so 100 a second. That is 180 for 100.
USUAL_PER_S = 15.0
HOT_FACTOR = 8.0
WORK_S = 0.02
SLOTS = 2
DURATION_S = 20.0


def simulate(ranks_by_workspace, per_s_by_workspace, duration_s=DURATION_S):
    """Return the waits of all requests by workspace; infinite if one was not sent."""
    rng = random.Random(4)
    arrivals = []
    for workspace, per_s in per_s_by_workspace.items():
        at = rng.expovariate(per_s)
        while at < duration_s:
            rank = ranks_by_workspace[workspace]
            arrivals.append((at, workspace, Queued(rank, at + GOAL_S, at)))
            at += rng.expovariate(per_s)
    arrivals.sort(key=lambda arrival: arrival[:2])
    queue = send_queue.SendQueue()
    names = {request: workspace for _, workspace, request in arrivals}
    waits = collections.defaultdict(list)
    ends = []
    numbers = itertools.count()
    while arrivals or ends:
        next_arrival = arrivals[0][0] if arrivals else math.inf
        if ends and ends[0][0] <= next_arrival:
            now = heapq.heappop(ends)[0]
        else:
            now, _, request = arrivals.pop(0)
            queue.add(request)
        while len(queue) and len(ends) < SLOTS and now < duration_s:
            request = queue.pop(now)
            waits[names[request]].append(now - request.at)
            heapq.heappush(ends, (now + WORK_S, next(numbers)))
    for request in pop_all(queue):
        waits[names[request]].append(math.inf)
    return waits


def list_load(hot_factor=HOT_FACTOR):
    load = {f"w-{n}": USUAL_PER_S for n in range(4)}
    return {**load, "hot": hot_factor * USUAL_PER_S}


def count_in_time(waits, workspaces):
    """Return the share of the requests that were sent before their goal."""
    their_waits = [*itertools.chain.from_iterable(waits[name] for name in workspaces)]
    return sum(wait < GOAL_S for wait in their_waits) / len(their_waits)


def test_hot_workspace_gets_what_the_others_leave():
    load = list_load()
    waits = simulate({name: build_rank(name) for name in load}, load)
    assert count_in_time(waits, load.keys() - {"hot"}) > 0.99
    served_per_s = sum(map(math.isfinite, waits["hot"])) / DURATION_S
    left_per_s = SLOTS / WORK_S - 4 * USUAL_PER_S
    assert served_per_s == pytest.approx(left_per_s, rel=0.1)


# Shows that the load of the test above is one that the goals alone don't answer.
def test_hot_workspace_delays_the_others_where_the_goals_alone_decide():
    load = list_load()
    waits = simulate(dict.fromkeys(load, send_order.NO_WORKSPACES), load)
    assert count_in_time(waits, load.keys() - {"hot"}) < 0.7


def test_idle_capacity_is_not_reserved():
    # The others send nothing: the hot workspace gets the whole replica.
    waits = simulate({"hot": build_rank("hot")}, {"hot": HOT_FACTOR * USUAL_PER_S})
    served_per_s = sum(map(math.isfinite, waits["hot"])) / DURATION_S
    assert served_per_s == pytest.approx(SLOTS / WORK_S, rel=0.03)


# The rank of a request.


# Guards against queries that wait for an aggregator without their workspace.
def test_delegated_query_has_the_rank_of_its_request():
    rank = build_rank("kami", 3, 2.0)
    owner = types.SimpleNamespace(
        goal_at=2.0,
        request=types.SimpleNamespace(rank=rank),
        route=builders.build_route(),
    )
    shared = types.SimpleNamespace(loop=virtual_servers.VirtualLoop())
    query = delegation.Delegation(owner, shared, delegation.Group(None, ()), 1)
    assert query.get_urgency(1.0) == send_order.Urgency(False, 2.0, rank)
    assert query.get_urgency(2.0).is_late


def compute_rank(name, *workspaces, route_priority=5):
    route = builders.build_route(priority=route_priority)
    by_key = {f"k-{workspace.name}": workspace for workspace in workspaces}
    configuration = builders.build_configuration(route, workspaces_by_key=by_key)
    return workspace_ranks.compute_rank(
        routes.SelectedRoute(configuration, route), name
    )


def test_priority_of_a_workspace_goes_before_that_of_its_route():
    kami = builders.build_workspace("kami", priority=2)
    assert compute_rank("kami", kami).priority == 2
    assert compute_rank("", kami).priority == 5


def test_weight_is_the_limit_or_the_mean_of_those_of_others():
    limited = [
        builders.build_workspace("kami", requests_per_s=30.0),
        builders.build_workspace("anu", requests_per_s=10.0),
    ]
    unlimited = builders.build_workspace("tõde")
    assert compute_rank("kami", *limited, unlimited).weight == 30.0
    assert compute_rank("tõde", *limited, unlimited).weight == 20.0
    assert compute_rank("", *limited, unlimited).weight == 20.0
    assert compute_rank("tõde", unlimited).weight == 1.0
