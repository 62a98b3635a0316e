"""Decoding of the store's replies, whatever names its writers chose."""

import json

import hypothesis
import msgspec
import pytest
from hypothesis import strategies

from corianderrill.platform import decoding


class _Item(msgspec.Struct):
    key: str


class _Page(msgspec.Struct):
    items: list[_Item]


DECODER = msgspec.json.Decoder(_Page)


def decode_keys(data):
    return [item.key for item in decoding.decode_lenient(DECODER, data).items]


# Guards against hosts that stay at one version for good: one name that is no Unicode
# made each reply of the store unreadable as a whole.
@pytest.mark.parametrize(
    "name", ["\\udcff", "\\ud800", "\\ud800\\u0041", "\\udc00\\ud800", "\\ud800x"]
)
def test_name_that_is_no_unicode_spoils_its_item_alone(name):
    data = b'{"items":[{"key":"%b"},{"key":"servers/i-1"}]}' % name.encode()
    keys = decode_keys(data)
    assert keys[1] == "servers/i-1"
    assert "\ufffd" in keys[0]


def test_name_with_invalid_bytes_spoils_its_item_alone():
    keys = decode_keys(b'{"items":[{"key":"\xff\xed\xa0\x80"},{"key":"servers/i-1"}]}')
    assert keys[1] == "servers/i-1"


def test_escaped_backslash_before_a_name_is_kept():
    data = b'{"items":[{"key":"\\\\ud800"},{"key":"\\ud800"}]}'
    assert decode_keys(data) == ["\\ud800", "\ufffd"]


@hypothesis.given(strategies.lists(strategies.text(), max_size=5))
def test_valid_names_are_kept(names):
    document = {"items": [{"key": name} for name in names]}
    data = json.dumps(document).encode()
    assert decode_keys(data) == names
    broken = data[:-2] + (b"," if names else b"") + b'{"key":"\\ud800"}]}'
    assert decode_keys(broken) == [*names, "\ufffd"]


@hypothesis.given(strategies.binary(max_size=200))
def test_any_bytes_are_a_value_or_a_typed_error(data):
    try:
        decoding.decode_lenient(DECODER, data)
    except decoding.DecodingError:
        return
