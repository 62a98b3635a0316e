import contextlib
import dataclasses

import eventlet
import pytest
import zmq
from eventlet.green import zmq as green_zmq

from corianderrill import messages, peers
from tests.utils import hosts, links


@pytest.fixture
def stack():
    with contextlib.ExitStack() as stack:
        yield stack


def _start_pair(stack) -> tuple[peers.PeerLink, peers.PeerLink, list]:
    keys = links.build_keys(2)
    sender, receiver = (links.start_link(n, keys[n]) for n in range(2))
    stack.callback(sender.stop)
    stack.callback(receiver.stop)
    got = []
    receiver.register(messages.RelayCancel, got.append)
    sender.connect(receiver.member, receiver.address)
    return sender, receiver, got


def test_a_message_arrives_with_its_sender(stack):
    sender, receiver, got = _start_pair(stack)
    message = messages.RelayCancel(("r1",))
    links.wait_until(lambda: sender.send(receiver.member, message))
    links.wait_until(lambda: got)
    assert got[0].envelope.sender == sender.member
    assert got[0].envelope.message == message


def test_a_key_that_is_not_allowed_is_refused_and_counted(stack):
    _sender, receiver, got = _start_pair(stack)
    public, secret = zmq.curve_keypair()
    keys = dataclasses.replace(
        receiver._keys, client_public=public, client_secret=secret
    )
    stranger = links.start_link(9, keys)
    stack.callback(stranger.stop)
    stranger.connect(receiver.member, receiver.address)
    links.wait_until(lambda: receiver.counters.refused[peers.RefusalCause.KEY])
    assert not stranger.send(receiver.member, messages.RelayCancel(("r1",)))
    assert not got


def test_a_wrong_deployment_key_is_refused_and_counted(stack):
    _sender, receiver, got = _start_pair(stack)
    stranger = links.start_link(9, links.build_keys(1)[0])
    stack.callback(stranger.stop)
    stranger.connect(receiver.member, receiver.address)
    links.wait_until(lambda: receiver.counters.refused[peers.RefusalCause.HANDSHAKE])
    assert not stranger.send(receiver.member, messages.RelayCancel(("r1",)))
    assert not got


def test_a_socket_without_keys_is_refused(stack):
    _sender, receiver, got = _start_pair(stack)
    context = green_zmq.Context()
    stack.callback(context.term)
    plain = context.socket(zmq.PUSH)
    stack.callback(plain.close, linger=0)
    plain.connect(f"tcp://{receiver.address}")
    plain.send(b"anything", zmq.NOBLOCK)
    links.wait_until(lambda: receiver.counters.refused[peers.RefusalCause.HANDSHAKE])
    assert not got
    assert not receiver.counters.received


def test_bad_frames_are_refused_by_cause_and_the_link_goes_on(stack):
    sender, receiver, got = _start_pair(stack)
    good = messages.encode(hosts.build_envelope(messages.RelayCancel(("r1",))))
    other = messages.encode(
        hosts.build_envelope(messages.RelayCancel(("r1",)), recipient="earlier")
    )
    unhandled = messages.encode(hosts.build_envelope(messages.ConfigurationPull((1,))))
    frames = (b"", b"\x01garbage", b"\x00" + good[1:], other, unhandled, good)
    socket = sender._peers[receiver.member].socket
    links.wait_until(lambda: sender.send(receiver.member, messages.RelayCancel(())))
    for frame in frames:
        socket.send(frame)
    links.wait_until(lambda: len(got) == 2)
    assert dict(receiver.counters.refused) == {
        peers.RefusalCause.CODEC: 2,
        peers.RefusalCause.VERSION: 1,
        peers.RefusalCause.RECIPIENT: 1,
        peers.RefusalCause.NO_HANDLER: 1,
    }


def test_a_failing_handler_does_not_stop_the_link(stack):
    sender, receiver, got = _start_pair(stack)
    receiver.register(messages.ConfigurationPull, lambda delivery: 1 / 0)
    links.wait_until(
        lambda: sender.send(receiver.member, messages.ConfigurationPull((1,)))
    )
    assert sender.send(receiver.member, messages.RelayCancel(("r1",)))
    links.wait_until(lambda: got)
    assert receiver.counters.handler_failures == 1


def test_sending_to_an_absent_peer_neither_waits_nor_queues(stack):
    sender, receiver, got = _start_pair(stack)
    absent = hosts.build_member(5)
    assert not sender.send(absent, messages.RelayCancel(("r1",)))
    assert sender.counters.dropped[peers.DropCause.UNKNOWN_PEER] == 1
    free = eventlet.listen(("127.0.0.1", 0))
    address = dataclasses.replace(receiver.address, port=free.getsockname()[1])
    free.close()
    sender.connect(absent, address)
    assert not sender.send(absent, messages.RelayCancel(("r1",)))
    assert sender.counters.dropped[peers.DropCause.WOULD_BLOCK] == 1


def test_a_paused_peer_fills_only_its_own_queue(stack):
    sender, receiver, got = _start_pair(stack)
    paused = links.start_link(3, dataclasses.replace(receiver._keys))
    stack.callback(paused.stop)
    paused._tasks[-1].kill()
    sender.connect(paused.member, paused.address)
    large = messages.RelayCancel(("x" * 100_000,))
    links.wait_until(lambda: sender.send(paused.member, large))
    limit = 2 * (peers.MAX_SEND_QUEUE_FRAMES + peers.MAX_RECEIVE_QUEUE_FRAMES)
    while sender.send(paused.member, large):
        assert sender.counters.sent < limit
        eventlet.sleep(0)
    assert sender.counters.dropped[peers.DropCause.WOULD_BLOCK]
    links.wait_until(
        lambda: sender.send(receiver.member, messages.RelayCancel(("r1",)))
    )
    links.wait_until(lambda: got)


def test_a_replaced_host_on_the_same_address_gets_nothing_meant_for_the_old(stack):
    sender, receiver, got = _start_pair(stack)
    old = receiver.member
    links.wait_until(lambda: sender.send(old, messages.RelayCancel(("r1",))))
    links.wait_until(lambda: got)
    receiver.stop()
    replaced = links.start_link(1, receiver._keys, "b", receiver.address.port)
    stack.callback(replaced.stop)
    heard = []
    replaced.register(messages.RelayCancel, heard.append)
    links.wait_until(
        lambda: (
            sender.send(old, messages.RelayCancel(("r2",)))
            and replaced.counters.refused[peers.RefusalCause.RECIPIENT]
        )
    )
    assert not heard
