import io

import hypothesis
import msgspec
import pytest
import yaml
from hypothesis import strategies

from corianderrill import (
    catalog,
    configuration,
    deadlines,
    documents,
    entry,
    findings,
    hostlist,
    messages,
    outcomes,
    plan,
    replies,
    settings,
    status,
    templates,
)
from corianderrill.standins import examples
from tests.utils import configuration_builders, domain_builders, hosts
from tests.utils import settings as settings_builders

fixed = hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
DEEP = 200_000
scalars = (
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**70), 2**70)
    | strategies.floats(allow_nan=False, allow_infinity=False)
    | strategies.text(max_size=20)
)
values = strategies.recursive(
    scalars,
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(strategies.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=10,
)


def list_paths(value, path=()):
    yield path
    if isinstance(value, dict):
        for key, part in value.items():
            yield from list_paths(part, (*path, key))


def replace(value, path, part):
    """Return a copy of a nested dictionary with one part replaced."""
    if not path:
        return part
    return {**value, path[0]: replace(value[path[0]], path[1:], part)}


def mutate(valid):
    """Return documents that differ from a valid one in one or two parts."""
    place = strategies.sampled_from(list(list_paths(valid)))
    once = strategies.builds(
        lambda path, part: replace(valid, path, part), place, values
    )
    rename = strategies.builds(
        lambda key, part: {**valid, key: part}, strategies.text(max_size=8), values
    )
    return once | rename


def spoil(frame):
    """Return frames of which one byte differs, or that are cut or extended."""
    position = strategies.integers(0, len(frame) - 1)
    changed = strategies.builds(
        lambda at, byte: frame[:at] + bytes((byte,)) + frame[at + 1 :],
        position,
        strategies.integers(0, 255),
    )
    cut = position.map(lambda at: frame[:at])
    return changed | cut | strategies.binary(max_size=64).map(lambda tail: frame + tail)


def check_places(result, text):
    lines = text.count("\n") + 2
    if isinstance(result, findings.Rejected):
        assert result.findings
        assert all(0 <= finding.place.line <= lines for finding in result.findings)
        assert len(str(result)) < 1_000 * documents.FINDINGS_AT_MOST


@fixed
@hypothesis.given(
    strategies.text(alphabet=" \n:-[]{}'\"#&*!|>%@,?~a1.\x00\ud800", max_size=80)
)
def test_any_text_is_read_or_refused_with_places(text):
    result = documents.parse(text, "f", settings.Settings)
    assert isinstance(result, findings.Rejected)
    check_places(result, text)


@fixed
@hypothesis.given(mutate(settings_builders.MINIMAL))
def test_settings_that_differ_in_a_part_are_read_or_refused(document):
    text = yaml.safe_dump(document, sort_keys=False, allow_unicode=True)
    result = settings.load(text, "s")
    assert isinstance(result, settings.Settings | findings.Rejected)
    check_places(result, text)


@fixed
@hypothesis.given(
    mutate(msgspec.to_builtins(examples.EXPIRES_ON))
    | mutate(msgspec.to_builtins(examples.BOOK))
)
def test_template_that_differs_in_a_part_is_read_or_refused(document):
    text = yaml.safe_dump(document, sort_keys=False, allow_unicode=True)
    result = documents.parse(text, "t", templates.Template)
    check_places(result, text)


def build_application():
    items = [
        configuration_builders.build_item(number, content)
        for number, content in enumerate(
            (*examples.TEMPLATES, *examples.list_parameter_sets()), start=1
        )
    ]
    held = configuration.Configuration()
    held.apply(items)
    held.confirm(0.0)

    def answer(request):
        planned = plan.make_plan(request, held.pin(), 0.0, settings.Deadlines())
        if isinstance(planned, outcomes.NotRun):
            return planned
        assert isinstance(planned.deadline, deadlines.Deadline)
        return outcomes.Unknown("planned")

    return entry.EntryApplication(answer, lambda: True, 65_536)


APPLICATION = build_application()
REQUEST = {
    "workspace": "gantry/morning",
    "template": "expires-on",
    "arguments": {"date": "2026-12-04"},
    "request_id": "r1",
    "deadline_ms": 100.0,
    "minimum_coverage": 0.5,
    "not_older_than": 1,
}


def post(body, length=None):
    """Return the HTTP status, headers and body of the answer to a request."""
    started = []
    environ = {
        "REQUEST_METHOD": "POST",
        "PATH_INFO": entry.QUERY_PATH,
        "CONTENT_LENGTH": str(len(body)) if length is None else length,
        "wsgi.input": io.BytesIO(body),
    }
    reply = APPLICATION(environ, lambda line, headers: started.append((line, headers)))
    [(line, headers)] = started
    return int(line.split()[0]), dict(headers), b"".join(reply)


def check_answer(code, headers, body):
    header = headers[status.OUTCOME_HEADER]
    answer = msgspec.json.decode(body, type=entry.AnswerView)
    assert answer.outcome == header
    if header == "not-run":
        assert code in (400, 404)
        assert answer.detail
    else:
        assert (code, answer.detail) == (502, "planned")
    assert len(body) < 100_000
    assert all("\n" not in value and "\r" not in value for value in headers.values())


@fixed
@hypothesis.given(mutate(REQUEST))
def test_request_that_differs_in_a_part_is_planned_or_refused(document):
    check_answer(*post(msgspec.json.encode(document)))


@fixed
@hypothesis.given(spoil(msgspec.json.encode(REQUEST)))
def test_spoiled_request_is_planned_or_refused(body):
    check_answer(*post(body))


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("request_id", "r1\r\nForged: yes"),
        ("request_id", "päring"),
        ("request_id", "r" * 129),
        ("deadline_ms", 0),
        ("deadline_ms", -1),
        ("minimum_coverage", -0.1),
        ("minimum_coverage", 1.1),
        ("not_older_than", -1),
    ],
)
def test_value_out_of_bounds_is_refused_by_its_key(key, value):
    code, headers, body = post(msgspec.json.encode({**REQUEST, key: value}))
    assert code == 400
    assert "Forged" not in str(headers)
    assert key.encode() in body


@pytest.mark.parametrize("length", ["", "x", "-1", "+1", "1_0", "²", "9" * 5_000])
def test_odd_length_of_a_request_is_refused(length):
    assert post(b"{}", length)[0] == 400


@pytest.mark.parametrize("opening", [b"[", b'{"a":', b'{"arguments":{"a":['])
def test_deeply_nested_request_is_refused(opening):
    body = (opening * DEEP)[:65_000]
    assert post(body)[0] == 400


FRAME = messages.encode(
    hosts.build_envelope(
        messages.Probe(3, hosts.build_record(), (hosts.build_record(2),))
    )
)


@fixed
@hypothesis.given(spoil(FRAME) | strategies.binary(max_size=200))
def test_spoiled_frame_is_decoded_or_refused(frame):
    decoded = messages.decode(frame)
    assert isinstance(decoded, messages.Decoded | messages.Refused)


@pytest.mark.parametrize("opening", [b"\x91", b"\x81\xa1a", b"\xdd\xff\xff\xff\xff"])
def test_deeply_nested_frame_is_refused(opening):
    version = bytes((messages.PROTOCOL_VERSION,))
    for head in (version, FRAME[:1] + FRAME[1:-1]):
        refused = messages.decode(head + opening * DEEP)
        assert isinstance(refused, messages.Refused)


NESTED = b"[" * DEEP
EXPECTED = domain_builders.build_expected_reply()


def nest_in(encoded, key):
    """Return JSON with an unknown key whose value nests deeply."""
    return b'{"' + key + b'":' + NESTED + b"]" * DEEP + b"," + encoded[1:]


def test_deeply_nested_reply_of_a_backend_server_is_invalid():
    received = domain_builders.build_http_reply(EXPECTED)
    rows = b'{"rows":[{"key":"k","fields":{"a":' + NESTED
    refusal = domain_builders.build_refusal_reply(503).body
    for code, body in (
        (200, nest_in(received.body, b"odd")),
        (200, rows),
        (503, nest_in(refusal, b"odd")),
    ):
        checked = replies.check_reply(EXPECTED, replies.HttpReply(code, body))
        assert isinstance(checked, replies.InvalidReply)


@fixed
@hypothesis.given(spoil(domain_builders.build_http_reply(EXPECTED).body))
def test_spoiled_reply_of_a_backend_server_is_checked(body):
    checked = replies.check_reply(EXPECTED, replies.HttpReply(200, body))
    assert isinstance(checked, replies.ValidReply | replies.InvalidReply)


def test_deeply_nested_value_of_the_platform_is_an_alarm_or_refused():
    [alarm] = configuration.decode_items([("k", nest_in(b"{}", b"odd"))])
    assert isinstance(alarm, configuration.Alarm)
    assert isinstance(catalog.decode_catalog(nest_in(b"{}", b"odd")), findings.Rejected)
    read = hostlist.decode_host_list(nest_in(b"{}", b"odd"))
    assert isinstance(read, hostlist.FetchFailed)
