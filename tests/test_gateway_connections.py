"""Replies as broken servers send them, and connections that outlive a request."""

import eventlet
import pytest

from corianderrill import names
from corianderrill.gateway import connections, pools
from tests.utils import scripted_servers as servers

SETTLE_S = 0.05


def test_reply_is_whole_and_its_connection_is_used_again():
    with servers.serve(servers.answer(servers.REPLY, servers.REPLY)) as pool:
        for _ in range(2):
            reply = servers.send(pool).wait()
            assert (reply.status, reply.body) == (200, b"ok")
        assert pool.opened_count == 1


def test_chunked_reply_is_joined():
    reply = (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n"
    )
    with servers.serve(servers.answer(reply)) as pool:
        assert servers.send(pool).wait().body == b"abcde"


def test_reply_without_a_length_ends_with_its_connection():
    script = servers.answer_and_close(b"HTTP/1.1 200 OK\r\n\r\nall of it")
    with servers.serve(script) as pool:
        assert servers.send(pool).wait().body == b"all of it"


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\n\r\nall of it",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nal",
        b"",
    ],
)
def test_reply_that_is_reset_is_not_whole(reply):
    with servers.serve(servers.answer_and_close(reply, reset=True)) as pool:
        ended = servers.send(pool).wait()
        assert isinstance(ended, connections.FailedExchange)
        assert ended.sent


@pytest.mark.parametrize(
    "reply",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nal",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
        b"HTTP/1.1 200",
    ],
)
def test_reply_that_ends_early_is_not_whole(reply):
    with servers.serve(servers.answer_and_close(reply)) as pool:
        ended = servers.send(pool).wait()
        assert ended == connections.FailedExchange(
            connections.Failure.CLOSED, sent=True
        )


def test_bytes_that_are_no_reply_are_malformed():
    with servers.serve(servers.answer(b"\x00\x01 nonsense\r\n\r\n")) as pool:
        ended = servers.send(pool).wait()
        assert ended == connections.FailedExchange(
            connections.Failure.MALFORMED, sent=True
        )


def test_second_reply_with_the_first_ends_the_connection():
    scripts = (servers.answer(servers.REPLY * 2), servers.answer(servers.REPLY))
    with servers.serve(*scripts) as pool:
        assert servers.send(pool).wait().body == b"ok"
        assert servers.send(pool).wait().body == b"ok"
        assert pool.opened_count == 2


def test_reply_that_comes_late_on_an_idle_connection_ends_it():
    def script(connection):
        servers.read_request(connection)
        connection.sendall(servers.REPLY)
        eventlet.sleep(SETTLE_S)
        connection.sendall(servers.REPLY)

    with servers.serve(script, servers.answer(servers.REPLY)) as pool:
        servers.send(pool).wait()
        eventlet.sleep(3 * SETTLE_S)
        servers.send(pool).wait()
        assert pool.opened_count == 2


def test_connection_closed_while_idle_is_not_used_again():
    scripts = (
        servers.answer_and_close(servers.REPLY),
        servers.answer(servers.REPLY),
    )
    with servers.serve(*scripts) as pool:
        servers.send(pool).wait()
        eventlet.sleep(SETTLE_S)
        assert servers.send(pool).wait().status == 200


def test_connection_whose_reply_says_close_is_not_used_again():
    reply = servers.REPLY.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    with servers.serve(servers.answer(reply), servers.answer(reply)) as pool:
        servers.send(pool).wait()
        servers.send(pool).wait()
        assert pool.opened_count == 2


def test_idle_connection_is_used_for_less_time_than_its_server_keeps_it():
    reply = servers.REPLY.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=1\r\n\r\n")
    with servers.serve(servers.answer(reply, reply), servers.answer(reply)) as pool:
        servers.send(pool).wait()
        eventlet.sleep(1.0 - connections.IDLE_TIMEOUT_MARGIN_S + SETTLE_S)
        servers.send(pool).wait()
        assert pool.opened_count == 2


def test_request_that_may_run_once_takes_no_connection_that_idled_long():
    reply = servers.REPLY.replace(b"\r\n\r\n", b"\r\nKeep-Alive: timeout=1\r\n\r\n")
    with servers.serve(servers.answer(reply, reply), servers.answer(reply)) as pool:
        servers.send(pool).wait()
        eventlet.sleep((1.0 - connections.IDLE_TIMEOUT_MARGIN_S) / 2)
        servers.send(pool, idempotent=False).wait()
        assert pool.opened_count == 2


def test_interim_reply_is_passed_over():
    reply = b"HTTP/1.1 100 Continue\r\n\r\n" + servers.REPLY
    with servers.serve(servers.answer(reply)) as pool:
        assert servers.send(pool).wait().status == 200


def test_closed_port_is_unreachable_and_nothing_was_sent():
    with servers.serve() as pool:
        address = pool.address
    sender = servers.send(pools.ConnectionPool(address, 2))
    ended = sender.wait()
    assert ended == connections.FailedExchange(
        connections.Failure.UNREACHABLE, sent=False
    )
    assert not sender.was_sent


def test_request_over_the_connections_allowed_waits_its_turn():
    def slow(connection):
        while servers.read_request(connection):
            eventlet.sleep(SETTLE_S)
            connection.sendall(servers.REPLY)

    with servers.serve(slow, slow) as pool:
        senders = [servers.send(pool) for _ in range(6)]
        assert [sender.wait().status for sender in senders] == [200] * 6
        assert pool.opened_count == 2


def test_discarded_request_closes_its_connection():
    closed = eventlet.event.Event()

    def script(connection):
        servers.read_request(connection)
        closed.send(connection.recv(1))

    with servers.serve(script) as pool:
        sender = servers.send(pool)
        eventlet.sleep(SETTLE_S)
        sender.connection.abort(sender)
        with eventlet.Timeout(servers.TIMEOUT_S):
            assert closed.wait() == b""


def test_request_that_waits_can_be_withdrawn():
    def hold(connection):
        servers.read_request(connection)

    with servers.serve(hold, hold) as pool:
        for _ in range(2):
            servers.send(pool)
        waiting = servers.send(pool)
        pool.cancel_queued(waiting)
        assert waiting.connection is None
        assert not waiting.was_sent


def test_pools_of_addresses_no_longer_in_use_close_their_idle_connections():
    found_pools = pools.PoolManager(host_count=9)
    with servers.serve(servers.answer(servers.REPLY)) as found:
        pool = found_pools.get(found.address, 26, True)
        servers.send(pool).wait()
        found_pools.retain({names.Address("127.0.0.1", 1)})
        assert found_pools.get(found.address, 26, True) is not pool


def read_parts(hosts, cap):
    found = pools.PoolManager(hosts)
    return [
        found.get(names.Address("127.0.0.1", 1), cap, is_near).max_connections
        for is_near in (True, False)
    ]


def test_few_hosts_take_several_connections_to_each_replica():
    assert read_parts(hosts=9, cap=26) == [3, 3]


def test_many_hosts_take_few_connections_to_replicas_of_other_zones():
    assert read_parts(hosts=73, cap=68) == [3, 1]


def test_replica_with_a_small_cap_can_still_be_asked():
    assert read_parts(hosts=73, cap=4) == [2, 1]


def test_scarce_connections_to_other_zones_are_given_back(monkeypatch):
    monkeypatch.setattr(pools, "OTHER_ZONE_MAX_IDLE_S", SETTLE_S)
    found_pools = pools.PoolManager(host_count=73)
    with servers.serve(servers.answer(servers.REPLY)) as found:
        pool = found_pools.get(found.address, 68, False)
        servers.send(pool).wait()
        assert len(pool._idle) == 1
        eventlet.sleep(2 * SETTLE_S)
        found_pools.close_expired()
        assert not pool._idle
