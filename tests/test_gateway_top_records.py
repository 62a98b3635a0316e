import hypothesis
from hypothesis import strategies

from corianderrill.gateway import top_records

RECORDS = strategies.binary(min_size=16, max_size=16)


@hypothesis.given(
    bodies=strategies.lists(strategies.lists(RECORDS, max_size=8), max_size=5),
    top=strategies.integers(1, 20),
)
def test_greatest_records_of_all_parts_come_first(bodies, top):
    joined = [b"".join(records) for records in bodies]
    ordered = sorted((r for records in bodies for r in records), reverse=True)
    assert top_records.merge_top_records(joined, top) == b"".join(ordered[:top])


def test_remainder_shorter_than_a_record_is_left_out():
    record = bytes(range(16))
    assert top_records.merge_top_records([record + b"rest"], 5) == record


def test_equal_records_all_count():
    record = b"x" * 16
    assert top_records.merge_top_records([record, record], 5) == record * 2
