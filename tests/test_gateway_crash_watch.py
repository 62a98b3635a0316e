"""Whether a replica ended under a request, or only its connection did."""

import socket

import eventlet
import pytest

from corianderrill import names
from corianderrill.gateway import connections, crash_watch, event_log, quarantine
from corianderrill.platform import requests
from tests.utils import fake_stores
from tests.utils import gateway_builders as builders

TIMEOUT_S = 5.0
ENDED = crash_watch.Liveness.ENDED
LISTENING = crash_watch.Liveness.LISTENING
UNKNOWN = crash_watch.Liveness.UNKNOWN


def build_request(request_id="q-1", target="/a/x", headers=(), body=b"", method="GET"):
    named = [("Host", builders.HOST), ("X-Request-Id", request_id), *headers]
    return requests.build_inbound_request(method, target, named, body, 1.0, 0.0)


class Watch:
    """A watch whose checks of addresses are answered by the test."""

    def __init__(self):
        self.reports = []
        self.log = fake_stores.RecordingLog()
        view = builders.build_view()
        view.confirmed_at = 10.0
        view.apply_registration(builders.build_registration(), 2, 0.0)
        (self.replica,) = view.list_ready("shard-1")
        self.watch = builders.build_crash_watch(
            view,
            self.log,
            lambda: 10.0,
            lambda address, report: self.reports.append(report),
        )

    def break_off(
        self,
        request=None,
        failure=connections.Failure.RESET,
        sent=True,
        has_reply=lambda: False,
    ):
        exchange = connections.FailedExchange(failure, sent)
        self.watch.record_break(
            self.replica, exchange, request or build_request(), has_reply
        )

    def conclude(self, liveness):
        self.reports.pop()(liveness)

    def assess(self, request=None):
        return self.watch.assess(request or build_request("q-2"))


@pytest.mark.parametrize(
    ("liveness", "verdict"),
    [
        (ENDED, quarantine.Verdict.SUSPECTED),
        (LISTENING, quarantine.Verdict.CLEAR),
        (UNKNOWN, quarantine.Verdict.CLEAR),
    ],
)
def test_request_is_suspected_only_if_the_replica_listens_no_more(liveness, verdict):
    watch = Watch()
    watch.break_off()
    watch.conclude(liveness)
    assert watch.assess() is verdict
    assert len(watch.log.list_of(event_log.ReplicaCrashed)) == (liveness is ENDED)


@pytest.mark.parametrize(
    ("failure", "sent"),
    [
        (connections.Failure.UNREACHABLE, False),
        (connections.Failure.RESET, False),
        (connections.Failure.MALFORMED, True),
        (connections.Failure.TOO_LARGE, True),
    ],
)
def test_request_that_was_not_sent_or_got_bytes_is_not_looked_into(failure, sent):
    watch = Watch()
    watch.break_off(failure=failure, sent=sent)
    assert watch.reports == []


def test_replica_is_checked_once_for_all_requests_that_it_ran():
    watch = Watch()
    watch.break_off(build_request("q-1", "/a/x"))
    watch.break_off(build_request("q-2", "/a/y"))
    assert len(watch.reports) == 1
    watch.conclude(ENDED)
    for target in ("/a/x", "/a/y"):
        request = build_request("q-3", target)
        assert watch.assess(request) is quarantine.Verdict.SUSPECTED


# Guards against suspecting a query whose other shards replied.
def test_request_that_got_a_reply_meanwhile_is_not_suspected():
    watch = Watch()
    watch.break_off(has_reply=lambda: True)
    watch.conclude(ENDED)
    assert watch.assess() is quarantine.Verdict.CLEAR


def test_reply_clears_the_request():
    watch = Watch()
    watch.break_off()
    watch.conclude(ENDED)
    watch.watch.record_reply(build_request("q-9"))
    assert watch.assess() is quarantine.Verdict.CLEAR
    assert len(watch.log.list_of(event_log.SuspicionCleared)) == 1


@pytest.mark.parametrize(
    "other",
    [
        {"target": "/a/y"},
        {"body": b"b"},
        {"method": "POST"},
        {"target": "/a/x?page=2"},
        {"headers": [("Authorization", "Bearer b")]},
    ],
    ids=str,
)
def test_other_requests_and_callers_have_other_fingerprints(other):
    fingerprint = build_request().fingerprint
    assert build_request(**other).fingerprint != fingerprint


def test_repetition_has_the_same_fingerprint():
    fingerprint = build_request("q-1").fingerprint
    repeated = build_request("q-2", headers=[("X-Deadline-Ms", "7")])
    assert repeated.fingerprint == fingerprint


def check(address):
    reports = []
    crash_watch.check_liveness(address, reports.append)
    with eventlet.Timeout(TIMEOUT_S):
        while not reports:
            eventlet.sleep(0.01)
    return reports[0]


def test_address_is_checked_by_a_connection():
    listener = eventlet.listen(("127.0.0.1", 0))
    address = names.Address(*listener.getsockname())
    assert check(address) is LISTENING
    listener.close()
    assert check(address) is ENDED


def test_address_that_does_not_answer_is_no_proof(monkeypatch):
    monkeypatch.setattr(crash_watch, "CONNECT_TIMEOUT_S", 0.05)
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    address = names.Address(*listener.getsockname())
    # The queue of new connections is full, so further ones are not answered.
    filling = [socket.socket() for _ in range(4)]
    for sock in filling:
        sock.setblocking(False)
        sock.connect_ex(tuple(listener.getsockname()))
    assert check(address) is UNKNOWN
    for sock in (*filling, listener):
        sock.close()
