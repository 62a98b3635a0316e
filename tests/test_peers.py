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


def _start_connected_pair(stack) -> tuple[peers.PeerLink, peers.PeerLink, list]:
    keys = links.build_keys(2)
    sender, receiver = (links.start_link(n, keys[n]) for n in range(2))
    stack.callback(sender.stop)
    stack.callback(receiver.stop)
    deliveries = []
    receiver.register(messages.RelayCancel, deliveries.append)
    sender.connect(receiver.member, receiver.address)
    return sender, receiver, deliveries


def test_a_message_is_received_with_the_id_of_its_sender(stack):
    sender, receiver, deliveries = _start_connected_pair(stack)
    message = messages.RelayCancel(("r1",))
    links.wait_until(lambda: sender.send(receiver.member, message))
    links.wait_until(lambda: deliveries)
    assert deliveries[0].envelope.sender == sender.member
    assert deliveries[0].envelope.message == message


def test_a_client_key_that_is_not_allowed_is_refused_and_counted(stack):
    _sender, receiver, deliveries = _start_connected_pair(stack)
    public, secret = zmq.curve_keypair()
    keys = dataclasses.replace(
        receiver._keys, client_public=public, client_secret=secret
    )
    link_with_unknown_client_key = links.start_link(9, keys)
    stack.callback(link_with_unknown_client_key.stop)
    link_with_unknown_client_key.connect(receiver.member, receiver.address)
    links.wait_until(lambda: receiver.counters.refused[peers.RefusalCause.KEY])
    assert not link_with_unknown_client_key.send(
        receiver.member, messages.RelayCancel(("r1",))
    )
    assert not deliveries


def test_a_wrong_server_key_is_refused_and_counted(stack):
    _sender, receiver, deliveries = _start_connected_pair(stack)
    link_with_wrong_server_key = links.start_link(9, links.build_keys(1)[0])
    stack.callback(link_with_wrong_server_key.stop)
    link_with_wrong_server_key.connect(receiver.member, receiver.address)
    links.wait_until(lambda: receiver.counters.refused[peers.RefusalCause.HANDSHAKE])
    assert not link_with_wrong_server_key.send(
        receiver.member, messages.RelayCancel(("r1",))
    )
    assert not deliveries


def test_a_socket_without_curve_keys_is_refused(stack):
    _sender, receiver, deliveries = _start_connected_pair(stack)
    context = green_zmq.Context()
    stack.callback(context.term)
    socket_without_keys = context.socket(zmq.PUSH)
    stack.callback(socket_without_keys.close, linger=0)
    socket_without_keys.connect(f"tcp://{receiver.address}")
    socket_without_keys.send(b"anything", zmq.NOBLOCK)
    links.wait_until(lambda: receiver.counters.refused[peers.RefusalCause.HANDSHAKE])
    assert not deliveries
    assert not receiver.counters.received


def test_bad_frames_are_refused_by_cause_and_later_frames_are_received(stack):
    sender, receiver, deliveries = _start_connected_pair(stack)
    valid = messages.encode(hosts.build_envelope(messages.RelayCancel(("r1",))))
    for_old_incarnation = messages.encode(
        hosts.build_envelope(messages.RelayCancel(("r1",)), recipient="earlier")
    )
    unhandled = messages.encode(hosts.build_envelope(messages.ConfigurationPull((1,))))
    frames = (
        b"",
        b"\x01garbage",
        b"\x00" + valid[1:],
        for_old_incarnation,
        unhandled,
        valid,
    )
    socket = sender._peers[receiver.member].socket
    links.wait_until(lambda: sender.send(receiver.member, messages.RelayCancel(())))
    for frame in frames:
        socket.send(frame)
    links.wait_until(lambda: len(deliveries) == 2)
    assert dict(receiver.counters.refused) == {
        peers.RefusalCause.CODEC: 2,
        peers.RefusalCause.VERSION: 1,
        peers.RefusalCause.RECIPIENT: 1,
        peers.RefusalCause.NO_HANDLER: 1,
    }


def test_messages_are_received_after_a_handler_failed(stack):
    sender, receiver, deliveries = _start_connected_pair(stack)
    receiver.register(messages.ConfigurationPull, lambda delivery: 1 / 0)
    links.wait_until(
        lambda: sender.send(receiver.member, messages.ConfigurationPull((1,)))
    )
    assert sender.send(receiver.member, messages.RelayCancel(("r1",)))
    links.wait_until(lambda: deliveries)
    assert receiver.counters.handler_failures == 1


def test_sending_to_an_unreachable_peer_neither_blocks_nor_queues(stack):
    sender, receiver, deliveries = _start_connected_pair(stack)
    unreachable = hosts.build_member(5)
    assert not sender.send(unreachable, messages.RelayCancel(("r1",)))
    assert sender.counters.dropped[peers.DropCause.UNKNOWN_PEER] == 1
    closed_listener = eventlet.listen(("127.0.0.1", 0))
    address = dataclasses.replace(
        receiver.address, port=closed_listener.getsockname()[1]
    )
    closed_listener.close()
    sender.connect(unreachable, address)
    assert not sender.send(unreachable, messages.RelayCancel(("r1",)))
    assert sender.counters.dropped[peers.DropCause.WOULD_BLOCK] == 1


def test_a_paused_peer_fills_only_its_own_send_queue(stack):
    sender, receiver, deliveries = _start_connected_pair(stack)
    paused = links.start_link(3, dataclasses.replace(receiver._keys))
    stack.callback(paused.stop)
    paused._tasks[-1].kill()  # The task that receives messages.
    sender.connect(paused.member, paused.address)
    large_message = messages.RelayCancel(("x" * 100_000,))
    links.wait_until(lambda: sender.send(paused.member, large_message))
    max_queued_frames = 2 * (
        peers.MAX_SEND_QUEUE_FRAMES + peers.MAX_RECEIVE_QUEUE_FRAMES
    )
    while sender.send(paused.member, large_message):
        assert sender.counters.sent < max_queued_frames
        eventlet.sleep(0)
    assert sender.counters.dropped[peers.DropCause.WOULD_BLOCK]
    links.wait_until(
        lambda: sender.send(receiver.member, messages.RelayCancel(("r1",)))
    )
    links.wait_until(lambda: deliveries)


def test_a_new_incarnation_on_the_same_address_refuses_messages_for_the_old_one(stack):
    sender, receiver, deliveries = _start_connected_pair(stack)
    old_member = receiver.member
    links.wait_until(lambda: sender.send(old_member, messages.RelayCancel(("r1",))))
    links.wait_until(lambda: deliveries)
    receiver.stop()
    restarted = links.start_link(1, receiver._keys, "b", receiver.address.port)
    stack.callback(restarted.stop)
    deliveries_to_restarted = []
    restarted.register(messages.RelayCancel, deliveries_to_restarted.append)
    links.wait_until(
        lambda: (
            sender.send(old_member, messages.RelayCancel(("r2",)))
            and restarted.counters.refused[peers.RefusalCause.RECIPIENT]
        )
    )
    assert not deliveries_to_restarted
