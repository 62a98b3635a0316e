"""The lookup of routes, and the selection of the services of a request."""

import collections
import random

from corianderrill import names
from corianderrill.gateway import routes, targets
from tests.utils import gateway_builders as builders


def test_longest_matching_prefix_wins():
    short = builders.build_route(prefix="/a/", name="short")
    long = builders.build_route(prefix="/a/b/", name="long")
    configuration = builders.build_configuration(short, long)
    assert configuration.find_route(builders.HOST, "/a/b/c") is long
    assert configuration.find_route(builders.HOST, "/a/c/b/") is short


def test_prefix_ends_at_a_slash():
    configuration = builders.build_configuration(builders.build_route(prefix="/a/"))
    assert configuration.find_route(builders.HOST, "/ab") is None
    assert configuration.find_route(builders.HOST, "/a") is None
    assert configuration.find_route(builders.HOST, "/a/") is not None


def test_host_matches_without_case_and_port():
    configuration = builders.build_configuration(builders.build_route())
    assert configuration.find_route(f"{builders.HOST.upper()}:80", "/a/x") is not None
    assert configuration.find_route("other.example", "/a/x") is None


def test_path_is_matched_without_percent_decoding():
    configuration = builders.build_configuration(builders.build_route(prefix="/a/"))
    assert configuration.find_route(builders.HOST, "/%61/x") is None


def test_root_prefix_matches_every_path():
    configuration = builders.build_configuration(builders.build_route(prefix="/"))
    assert configuration.find_route(builders.HOST, "/any/path") is not None


def test_split_meets_its_weights_over_one_hundred_requests():
    shares = (
        routes.WeightedService(names.ServiceName("one"), 0.7),
        routes.WeightedService(names.ServiceName("two"), 0.3),
    )
    route = builders.build_route(routes.WeightedSplit(shares))
    selector = targets.TargetSelector(random.Random(1))
    counts = collections.Counter(selector.select_services(route)[0] for _ in range(100))
    assert abs(counts["one"] - 70) <= 2


def test_changed_weights_apply_to_the_next_requests():
    selector = targets.TargetSelector(random.Random(1))
    one, two = names.ServiceName("one"), names.ServiceName("two")
    before = builders.build_route(
        routes.WeightedSplit(
            (routes.WeightedService(one, 0.9), routes.WeightedService(two, 0.1))
        )
    )
    after = builders.build_route(
        routes.WeightedSplit(
            (routes.WeightedService(one, 0.2), routes.WeightedService(two, 0.8))
        )
    )
    for _ in range(50):
        selector.select_services(before)
    counts = collections.Counter(selector.select_services(after)[0] for _ in range(100))
    assert abs(counts[two] - 80) <= 3


def test_scatter_gather_selects_every_shard():
    shards = (names.ServiceName("one"), names.ServiceName("two"))
    route = builders.build_route(routes.ScatterGather(shards, 5, 0.9))
    selector = targets.TargetSelector(random.Random(1))
    assert selector.select_services(route) == shards
