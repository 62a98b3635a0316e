import hypothesis
from hypothesis import strategies

from corianderrill.gateway import top_records

RECORDS = strategies.binary(min_size=16, max_size=16)


@hypothesis.given(
    record_lists=strategies.lists(strategies.lists(RECORDS, max_size=8), max_size=5),
    limit=strategies.integers(1, 20),
)
def test_merge_returns_the_greatest_records_of_all_parts(record_lists, limit):
    bodies = [b"".join(records) for records in record_lists]
    expected = sorted((r for records in record_lists for r in records), reverse=True)
    assert top_records.merge_top_records(bodies, limit) == b"".join(expected[:limit])


def test_trailing_fragment_of_a_record_is_ignored():
    record = bytes(range(16))
    assert top_records.merge_top_records([record + b"rest"], 5) == record


def test_equal_records_are_all_kept():
    record = b"x" * 16
    assert top_records.merge_top_records([record, record], 5) == record * 2
