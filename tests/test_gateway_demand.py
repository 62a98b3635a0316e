"""Shares of a limit, and the reports of demand that decide them.

Pattern: hosts publish and read each other's demand at different times, lose their lease
or their key, or cannot reach the store.
"""

import dataclasses
import math
import random

import pytest

from corianderrill import names
from corianderrill.gateway import (
    demand,
    demand_reporter,
    event_log,
    rate_limits,
    replicas,
    request_rates,
)
from corianderrill.platform import documents, store
from tests.utils import fake_stores
from tests.utils import gateway_builders as builders

SERVICE = names.ServiceName("shard-1")
LATER_S = 100.0
HOST_COUNT = 4.0


def build_report(host, per_s, zone="zone-a"):
    return demand.DemandReport(
        names.HostName(host),
        names.ZoneName(zone),
        {SERVICE: per_s},
        frozenset({replicas.InstanceId("i-9")}),
    )


def build_directories(*reports):
    """Return the directory of each host that reports, all with the same reports."""
    directories = []
    for own in reports:
        directory = builders.build_demand_directory(own.host, HOST_COUNT)
        directory.lease_until = math.inf
        for revision, report in enumerate(reports, 1):
            directory.apply(report.host, report, revision, 0.0)
        directories.append(directory)
    return directories


def compute_shares(directories, zone="zone-a", now=LATER_S):
    return [d.compute_share(SERVICE, names.ZoneName(zone), now) for d in directories]


def test_shares_follow_the_demand_and_add_up_to_one():
    directories = build_directories(
        build_report("a", 30.0), build_report("b", 10.0), build_report("c", 0.0)
    )
    shares = compute_shares(directories)
    assert sum(shares) == pytest.approx(1.0)
    assert shares[0] == pytest.approx(3 * shares[1])
    assert shares[2] > 0.0


def test_hosts_of_the_replicas_zone_get_the_larger_part():
    directories = build_directories(
        build_report("a", 10.0), build_report("b", 10.0, "zone-b")
    )
    near, far = compute_shares(directories, "zone-a")
    assert near == pytest.approx(0.8)
    assert near + far == pytest.approx(1.0)


def test_host_that_published_just_now_takes_at_most_an_even_share():
    (directory,) = build_directories(build_report("a", 30.0))
    assert compute_shares([directory], now=0.5) == [1.0 / HOST_COUNT]
    assert compute_shares([directory]) == [1.0]


def test_host_without_a_published_report_takes_less_than_an_even_share():
    directory = builders.build_demand_directory("a", HOST_COUNT)
    assert compute_shares([directory]) == [1.0 / HOST_COUNT]
    directory.apply(names.HostName("b"), build_report("b", 10.0), 3, 0.0)
    assert compute_shares([directory]) == [0.5 / HOST_COUNT]


def test_host_whose_lease_may_have_ended_takes_at_most_an_even_share():
    directories = build_directories(build_report("a", 30.0), build_report("b", 10.0))
    for directory in directories:
        directory.lease_until = 50.0
    assert compute_shares(directories) == [1.0 / HOST_COUNT, 1.0 / HOST_COUNT]


def test_older_report_does_not_replace_a_newer_one():
    directory = builders.build_demand_directory("a")
    host = names.HostName("b")
    assert directory.apply(host, build_report("b", 10.0), 5, 0.0)
    assert not directory.apply(host, build_report("b", 99.0), 4, 0.0)
    assert not directory.apply(host, None, 5, 0.0)
    assert directory.list_hosts() == {"b"}


def test_report_is_decoded_as_it_was_encoded():
    report = build_report("a", 12.5)
    key = documents.format_demand_key(report.host)
    assert documents.decode_demand(key, documents.encode_demand(report)) == report


@pytest.mark.parametrize(
    "value",
    [
        b"{nonsense",
        b"{}",
        b'{"zone": "zone-a"}',
        b'{"zone": "zone-a", "requests_per_s": {"shard-1": -1.0}}',
        b'{"zone": "zone-a", "requests_per_s": {"shard-1": "many"}}',
    ],
)
def test_invalid_report_is_an_error(value):
    with pytest.raises(documents.DocumentError):
        documents.decode_demand("demand/a", value)


class Reporting:
    """A reporter with its clock, and a replica that names a limit."""

    def __init__(self):
        self.now = 10.0
        self.client = fake_stores.LeaseClient()
        self.log = fake_stores.RecordingLog()
        view = builders.build_view()
        view.apply_registration(builders.build_registration(), 2, 0.0)
        (self.replica,) = view.list_ready(SERVICE)
        self.limits = builders.build_rate_limits(self.log, "a")
        self.directory = self.limits.directory
        self.rates = request_rates.RequestRates(0.0)
        self.reporter = demand_reporter.DemandReporter(
            self.client,
            view,
            self.limits,
            self.rates,
            builders.ZONE,
            self.log,
            random.Random(1),
            lambda: self.now,
        )

    def name_limit(self, per_s=10.0):
        self.limits.record_reply(
            self.replica, builders.build_limited_reply(per_s), self.now
        )

    def run(self, seconds, per_s=0.0):
        """Step for some seconds, with so many requests a second."""
        for _ in range(int(4 * seconds)):
            for _ in range(int(per_s / 4)):
                self.rates.record((SERVICE,), self.now)
            self.reporter.step()
            self.now += 0.25

    def list_outcomes(self):
        return [r.outcome for r in self.log.list_of(event_log.DemandReported)]


def test_nothing_is_written_without_limits():
    reporting = Reporting()
    reporting.run(10, per_s=20)
    assert reporting.client.write_count == 0
    assert not reporting.client.leases


def test_demand_is_published_at_once_and_again_only_when_it_changes():
    reporting = Reporting()
    reporting.run(8, per_s=20)
    reporting.name_limit()
    reporting.run(0.5, per_s=20)
    assert reporting.client.write_count == 1
    reporting.run(20, per_s=20)
    assert reporting.client.write_count == 1
    reporting.run(10, per_s=80)
    assert 2 <= reporting.client.write_count <= 6
    own = reporting.directory.get_own()
    assert own.requests_per_s[SERVICE] == pytest.approx(80.0, rel=0.4)


def test_lease_is_renewed_while_it_is_needed_and_ended_afterwards():
    reporting = Reporting()
    reporting.name_limit()
    reporting.run(20, per_s=20)
    assert reporting.directory.lease_until > reporting.now
    reporting.limits.record_reply(
        reporting.replica, builders.build_limited_reply(None), reporting.now
    )
    reporting.run(rate_limits.LIFT_NEWS_S + demand_reporter.LINGER_S + 1.0)
    assert not reporting.client.keys
    assert reporting.directory.lease_until <= reporting.now
    assert reporting.list_outcomes()[-1] == "withdrawn"


def test_lease_counts_as_ended_when_the_store_stays_away():
    reporting = Reporting()
    reporting.name_limit()
    reporting.run(4, per_s=20)
    reporting.client.is_down = True
    reporting.run(demand_reporter.LEASE_TTL_S + 2.0, per_s=20)
    assert reporting.directory.lease_until <= reporting.now
    assert "renewal-failed" in reporting.list_outcomes()
    assert "lost" in reporting.list_outcomes()


def test_report_whose_lease_ended_is_published_under_a_new_one():
    reporting = Reporting()
    reporting.name_limit()
    reporting.run(4, per_s=20)
    reporting.client.leases.clear()
    reporting.client.keys.clear()
    reporting.run(6, per_s=20)
    assert reporting.client.keys
    assert reporting.directory.lease_until > reporting.now


def test_report_that_was_removed_from_the_store_is_published_again():
    reporting = Reporting()
    reporting.name_limit()
    reporting.run(4, per_s=20)
    reporting.directory.apply(names.HostName("a"), None, 1_000, reporting.now)
    write_count = reporting.client.write_count
    reporting.run(1, per_s=20)
    assert reporting.client.write_count == write_count + 1


def test_withdrawal_that_fails_is_logged():
    reporting = Reporting()
    reporting.name_limit()
    reporting.run(2, per_s=20)
    reporting.client.is_down = True
    reporting.reporter.withdraw()
    assert reporting.list_outcomes()[-1] == "lost"


def test_limit_that_another_host_saw_lifted_is_lifted_here_unless_just_named():
    reporting = Reporting()
    reporting.name_limit()
    news = demand.DemandReport(
        names.HostName("b"), builders.ZONE, {}, frozenset({reporting.replica.id})
    )
    reporting.limits.apply_report(news.host, news, 5, reporting.now + 0.5)
    assert reporting.replica.rate_limit_per_s is not None
    reporting.limits.apply_report(news.host, news, 6, reporting.now + 5.0)
    assert reporting.replica.rate_limit_per_s is None
    # What this host only heard is no news of its own.
    assert not reporting.limits.list_lifted(reporting.now + 5.0)


def test_end_of_a_limit_is_published_soon_and_for_a_while():
    reporting = Reporting()
    reporting.name_limit()
    reporting.run(4, per_s=20)
    reporting.name_limit(None)
    reporting.run(demand_reporter.MIN_WRITE_INTERVAL_S + 0.5)
    assert reporting.directory.get_own().lifted == {reporting.replica.id}
    reporting.run(rate_limits.LIFT_NEWS_S + 1.0)
    assert not reporting.limits.list_lifted(reporting.now)


# Guards against news that a limit has ended, told on after there is one again.
def test_limit_that_is_named_again_is_no_longer_told_as_ended():
    reporting = Reporting()
    reporting.name_limit()
    reporting.name_limit(None)
    assert reporting.limits.list_lifted(reporting.now)
    reporting.name_limit()
    assert not reporting.limits.list_lifted(reporting.now)


# Guards against a host that holds a new lease and takes its former share, though its
# report is no longer in the store.
def test_report_is_written_again_after_its_lease_was_lost_and_a_write_failed():
    reporting = Reporting()
    reporting.directory.host_count = HOST_COUNT
    reporting.run(8, per_s=20)
    reporting.name_limit()
    reporting.run(8, per_s=20)
    reporting.client.leases.clear()
    reporting.client.keys.clear()
    write_key = reporting.client.write_key
    reporting.client.write_key = fail_call
    reporting.run(4, per_s=20)
    assert reporting.client.leases
    assert compute_shares([reporting.directory], now=reporting.now)[0] < 1.0
    reporting.client.write_key = write_key
    reporting.run(2, per_s=20)
    assert reporting.client.keys


def fail_call(*arguments):
    raise store.StoreError(store.FailureKind.UNREACHABLE, "the reply was lost")


# Guards against hosts that hear too late, or for too long, that a replica is cold.
def test_cold_replica_is_published_while_it_is_cold():
    reporting = Reporting()
    reporting.name_limit()
    reporting.run(4, per_s=20)
    reporting.replica.warmup_limit_per_s = 5.0
    cold = dataclasses.replace(
        builders.build_limited_reply(10.0), warmup=builders.decode_warmup(b"8000")
    )
    reporting.limits.record_reply(reporting.replica, cold, reporting.now)
    reporting.run(demand_reporter.MIN_WRITE_INTERVAL_S + 0.5, per_s=20)
    own = reporting.directory.get_own()
    assert 5.0 < own.cold_s[reporting.replica.id] <= 8.0
    reporting.run(8.0, per_s=20)
    assert reporting.directory.get_own().cold_s == {}
