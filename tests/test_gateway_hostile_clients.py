"""Hostile clients against one gateway process: it lives, in bounds, and still answers.

Guards against hosts that run out of memory or descriptors, or answer nobody, by what
few clients send. The bounds are the limits of the settings.
"""

import pytest

from tests.utils import crowds

pytestmark = pytest.mark.runs_alone

# Of a body, in the tests whose crowd could fill the memory with bodies.
LARGE_BODY_BYTES = 4 * 1_048_576
LARGE_ANSWER_BYTES = 3 * 1_048_576
ONE_BYTE_CHUNK = b"1\r\na\r\n"
ONE_BYTE_CLIENTS = 12
BODY_BYTES = 1_048_576
PIPELINED_REQUESTS = 8
DRIP_PAUSE_S = 0.02
DRIP_BYTES = 200
SILENT_CLIENTS = 56

FLOODS = {
    "request-line": (b"GET /single/", b"a"),
    "many-header-lines": (crowds.HEAD, b"X-Filler: a\r\n"),
    "long-header-lines": (crowds.HEAD, b"X-Filler: " + b"a" * 50_000 + b"\r\n"),
    "header-without-end": (crowds.HEAD + b"X-Filler: ", b"a"),
    "empty-lines": (b"", b"\r\n"),
    "chunk-extension": (crowds.CHUNKED_HEAD + b"5;extension=", b"a"),
    "chunk-extensions": (crowds.CHUNKED_HEAD, b"1;extension=aaaaaaaaaaa\r\na\r\n"),
    "chunk-size": (crowds.CHUNKED_HEAD, b"0"),
    "trailer-without-end": (crowds.CHUNKED_HEAD + b"0\r\nX-Filler: ", b"a"),
    "trailers": (crowds.CHUNKED_HEAD + b"0\r\n", b"X-Filler: a\r\n"),
}


@pytest.fixture
def scene(tmp_path):
    running = crowds.Scene(tmp_path)
    try:
        yield running
    finally:
        running.stop()


@pytest.mark.parametrize(("opening", "line"), FLOODS.values(), ids=FLOODS)
def test_flood_without_end_is_bounded(scene, opening, line):
    scene.start()
    crowd = scene.gather_crowd()
    crowd.send(opening, crowds.repeat(line), crowds.FLOOD_BYTES)
    scene.check()


def test_flood_on_the_address_for_other_hosts_is_bounded(scene):
    scene.start()
    ip, _, _ = scene.rig.gateway_address.partition(":")
    crowd = scene.gather_crowd(f"{ip}:{scene.port_for_hosts}")
    opening, line = FLOODS["chunk-extension"]
    crowd.send(opening, crowds.repeat(line), crowds.FLOOD_BYTES)
    scene.check()


@pytest.mark.parametrize(
    "chunks", [BODY_BYTES - 1, 3 * BODY_BYTES], ids=["up-to-the-limit", "beyond-it"]
)
def test_chunks_of_one_byte_are_bounded(scene, chunks):
    scene.start(max_body_bytes=BODY_BYTES)
    crowd = scene.gather_crowd(size=ONE_BYTE_CLIENTS)
    total_bytes = chunks * len(ONE_BYTE_CHUNK)
    crowd.send(crowds.CHUNKED_HEAD, crowds.repeat(ONE_BYTE_CHUNK), total_bytes)
    scene.check()


def test_pipelined_requests_whose_answers_are_not_read_are_bounded(scene):
    scene.start()
    scene.rig.single_server.records = (b"a" * LARGE_ANSWER_BYTES,)
    crowd = scene.gather_crowd(receive_buffer_bytes=4_096)
    request = crowds.POST_HEAD + b"Content-Length: 1\r\n\r\na"
    crowd.send(PIPELINED_REQUESTS * request)
    scene.rig.wait_until(lambda: scene.rig.single_server.requests.count("crowd"))
    scene.wait_for_quiet()
    scene.rig.single_server.records = ()
    scene.check()


def test_slow_drip_of_a_head_is_bounded(scene):
    scene.start()
    crowd = scene.gather_crowd()
    crowd.send(crowds.HEAD + b"X-Filler: ", b"a", DRIP_BYTES, DRIP_PAUSE_S)
    scene.check()


@pytest.mark.parametrize("framing", ["length", "chunked"])
def test_slow_drips_of_large_bodies_are_bounded_over_all_connections(scene, framing):
    scene.start(max_body_bytes=LARGE_BODY_BYTES)
    crowd = scene.gather_crowd()
    quick_bytes = LARGE_BODY_BYTES - DRIP_BYTES
    head = {
        "length": f"Content-Length: {LARGE_BODY_BYTES}\r\n\r\n".encode(),
        "chunked": b"Transfer-Encoding: chunked\r\n\r\n%x\r\n" % LARGE_BODY_BYTES,
    }
    opening = crowds.POST_HEAD + head[framing] + b"a" * quick_bytes
    crowd.send(opening, b"a", DRIP_BYTES - 1, DRIP_PAUSE_S)
    scene.check()


def test_connections_that_send_nothing_do_not_use_up_the_descriptors(scene):
    scene.start()
    scene.gather_crowd(size=SILENT_CLIENTS)
    scene.check()
