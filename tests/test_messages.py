import hypothesis
import msgspec
from hypothesis import strategies

from corianderrill import attempts, messages
from tests.utils import configuration_builders, hosts


def _build_frame() -> bytes:
    probe = messages.Probe(3, hosts.build_record(), (hosts.build_record(2),))
    return messages.encode(hosts.build_envelope(probe))


def test_every_message_is_unchanged_by_encoding_and_decoding():
    record = hosts.build_record()
    samples = (
        messages.Probe(1, record, (hosts.build_record(2),)),
        messages.ProbeReply(1, record),
        messages.RelayBatch((hosts.build_sub_request(),)),
        messages.RelayReply(
            (
                attempts.Answered("r1", (attempts.ReplyRow("k", {"n": 1}),)),
                attempts.Refused("r2", attempts.RefusalKind.TOO_LATE),
                attempts.Failed("r3", attempts.FailureKind.TIMEOUT),
            )
        ),
        messages.RelayCancel(("r1", "r2")),
        messages.ConfigurationDigest(1.5, 2**64 - 1),
        messages.ConfigurationState(1.5, 4, None, (1, 2)),
        messages.ConfigurationPull((4, 31)),
        messages.ConfigurationItems(
            (
                configuration_builders.build_item(
                    4, configuration_builders.build_template()
                ),
                configuration_builders.build_item(
                    5, configuration_builders.build_parameter_set()
                ),
                configuration_builders.build_item(6, key="k"),
            )
        ),
        messages.ConfigurationQuestion(1, "k"),
        messages.ConfigurationAnswer(1, 4),
        messages.StateQuestion(),
        messages.StateCopy(b"{}", (b"{}", b"[]")),
        messages.ReplicaNews(
            (messages.ReplicaReport(hosts.build_replica(), 0.5, True, False, 1, 4),)
        ),
    )
    assert {type(sample) for sample in samples} == set(messages.Message.__args__)
    for sample in samples:
        envelope = hosts.build_envelope(sample)
        assert messages.decode(messages.encode(envelope)) == messages.Decoded(envelope)


def test_an_unsupported_protocol_version_is_refused_before_its_envelope_is_decoded():
    for version in (0, messages.PROTOCOL_VERSION + 1, 255):
        frame = bytes((version,)) + _build_frame()[1:]
        refused = messages.decode(frame)
        assert refused.reason is messages.DecodeFailure.VERSION


def test_an_oversized_frame_is_refused():
    frame = _build_frame() + bytes(messages.MAX_FRAME_BYTES)
    assert messages.decode(frame).reason is messages.DecodeFailure.OVERSIZED


def test_a_frame_truncated_at_any_length_is_refused():
    frame = _build_frame()
    for length in range(len(frame)):
        refused = messages.decode(frame[:length])
        assert refused.reason is messages.DecodeFailure.CODEC


def test_a_deeply_nested_frame_is_refused():
    frame = bytes((messages.PROTOCOL_VERSION,)) + b"\x91" * 100_000
    assert messages.decode(frame).reason is messages.DecodeFailure.CODEC


@hypothesis.given(strategies.binary(max_size=200))
@hypothesis.settings(derandomize=True)
def test_random_bytes_after_the_version_are_refused_without_an_exception(payload):
    frame = bytes((messages.PROTOCOL_VERSION,)) + payload
    assert isinstance(messages.decode(frame), messages.Refused)


def test_an_unknown_message_type_is_refused():
    frame = _build_frame().replace(b"Probe", b"Crobe")
    refused = messages.decode(frame)
    assert refused.reason is messages.DecodeFailure.CODEC
    assert isinstance(refused, messages.Refused)


def test_bytes_after_the_envelope_are_refused():
    frame = _build_frame() + msgspec.msgpack.encode("more")
    assert messages.decode(frame).reason is messages.DecodeFailure.CODEC
