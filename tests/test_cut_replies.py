"""Replies that break off within their head, at each byte: none of them is whole.

Guards against a success with an empty body, and against headers that are cut short: the
standard library takes the end of the connection for the end of the headers.
"""

import contextlib
import dataclasses

import eventlet
import msgspec
import pytest

from corianderrill import attempts, backends, hostlist, keyvalue, names
from corianderrill.gateway import view
from corianderrill.platform import store
from tests.utils import hosts, scripted_servers

AT_ONCE_S = 2.0
ERA = view.StoreEra(12)
LEASE = store.Lease(store.LeaseId(7), ERA)
KEY = store.Key("aggregators/zone-a/0")


def build_reply(status, body=b"", more=b""):
    length = b"Content-Length: %d\r\n" % len(body)
    return b"HTTP/1.1 " + status + b"\r\n" + more + length + b"\r\n" + body


def list_cuts(reply):
    """Return the reply cut at each byte of its head, and right behind the head."""
    head_bytes = reply.index(b"\r\n\r\n") + 4
    is_whole = head_bytes == len(reply)
    return [reply[:count] for count in range(head_bytes + (not is_whole))]


@contextlib.contextmanager
def serve(replies):
    """Yield the address of a server that sends each reply and closes its connection."""
    scripts = [scripted_servers.script_reply_and_close(reply) for reply in replies]
    with scripted_servers.serve(*scripts) as pool:
        yield pool.address


def list_answers(reply, call):
    """Return what a call of a store client returns for each cut of a reply."""
    cuts = list_cuts(reply)
    answers = []
    with serve(cuts) as address, eventlet.Timeout(AT_ONCE_S * 10):
        client = store.StoreClient(address)
        for cut in cuts:
            with contextlib.suppress(store.StoreError):
                answers.append((cut, call(client)))
    return answers


STORE_ERA = b"Store-Era: 12\r\n"
ITEM = b'{"key":"k","revision":3,"value":"YQ==","lease":7}'
STORE_CALLS = {
    "keep-lease": (b"200 OK", b"{}", lambda c: c.keep_lease(LEASE)),
    "keep-lost-lease": (b"404 Not Found", b"", lambda c: c.keep_lease(LEASE)),
    "remove-key": (b"200 OK", b"{}", lambda c: c.remove_key(KEY, 3)),
    "remove-changed-key": (b"412 No", b"{}", lambda c: c.remove_key(KEY, 3)),
    "read-no-key": (b"404 Not Found", b"", lambda c: c.read_key(KEY)),
    "read-key": (b"200 OK", ITEM, lambda c: c.read_key(KEY)),
    "grant-lease": (b"200 OK", b'{"lease":7}', lambda c: c.grant_lease(5.0)),
    "write-key": (b"200 OK", b'{"revision":4}', lambda c: c.write_key(KEY, b"", LEASE)),
    "replace-key": (b"412 No", b"{}", lambda c: c.replace_key(KEY, b"a", 3)),
    "range": (b"200 OK", b'{"at":1,"items":[]}', lambda c: c.probe_revision()),
    "watch": (b"200 OK", b'{"at":1,"events":[]}', lambda c: c.watch("", 1, 0.1, 2.1)),
}


@pytest.mark.parametrize(
    ("status", "body", "call"), STORE_CALLS.values(), ids=STORE_CALLS
)
def test_reply_of_the_store_that_is_cut_in_its_head_is_a_failure(status, body, call):
    assert list_answers(build_reply(status, body, STORE_ERA), call) == []


# The body may be empty, and the headers in another order.
@pytest.mark.parametrize("status", [b"200 OK", b"204 No Content"])
def test_empty_reply_of_the_store_that_is_cut_in_its_head_is_a_failure(status):
    reply = b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n" + STORE_ERA + b"\r\n"
    assert list_answers(reply, lambda c: c.keep_lease(LEASE)) == []


def test_whole_empty_reply_of_the_store_is_a_success():
    reply = build_reply(b"200 OK", b"", STORE_ERA)
    with serve([reply]) as address:
        assert store.StoreClient(address).keep_lease(LEASE)


def test_health_check_that_is_cut_in_its_head_is_no_report():
    report = b'{"load":0.0,"healthy":true,"draining":false,"held":[1,2]}'
    cuts = list_cuts(build_reply(b"200 OK", report))
    with serve(cuts) as address:
        server = dataclasses.replace(hosts.build_backend_server(), address=address)
        checks = backends.BackendPools(lambda _: 1)
        assert {checks.fetch_status(server, AT_ONCE_S) for _ in cuts} == {None}


def test_sub_request_whose_reply_is_cut_in_its_head_has_failed():
    cuts = list_cuts(build_reply(b"200 OK", b'{"rows":[]}'))
    with serve(cuts) as address:
        server = dataclasses.replace(hosts.build_backend_server(), address=address)
        pools = backends.BackendPools(lambda _: 1)
        results = [pools.execute(server, hosts.build_sub_request()) for _ in cuts]
    assert {type(result) for result in results} == {attempts.Failed}
    assert {r.kind for r in results} == {attempts.FailureKind.CONNECTION}


def test_host_list_that_is_cut_in_its_head_is_not_taken():
    cuts = list_cuts(build_reply(b"304 Not Modified"))
    with serve(cuts) as address:
        client = hostlist.HostListClient(f"http://{address}/hosts")
        fetched = [client.fetch(0.0) for _ in cuts]
    assert {type(each) for each in fetched} == {hostlist.FetchFailed}


def test_call_of_the_key_value_service_that_is_cut_in_its_head_has_no_answer():
    answer = msgspec.json.encode(keyvalue.Absent(names.Revision(3)))
    cuts = list_cuts(build_reply(b"200 OK", answer))
    with serve(cuts) as address:
        transport = keyvalue.HttpTransport(address)
        results = [transport.exchange(keyvalue.Get("k"), AT_ONCE_S) for _ in cuts]
    assert {type(result) for result in results} == {keyvalue.Unreachable}
