"""Following the store: when the next watch is sent."""

import random

import pytest

from corianderrill.gateway import store_watcher
from corianderrill.platform import store
from tests.utils import gateway_builders as builders

GATHER_S = 2.0


class Client:
    """Answers each watch with the next number of changes."""

    def __init__(self, *counts):
        self.counts = list(counts)

    def watch(self, prefix, after, wait_s):
        count = self.counts.pop(0)
        items = tuple(
            store.Item(store.Key(f"servers/i-{number}"), after + number + 1, None)
            for number in range(count)
        )
        return store.Batch(items, after + count)


class Pools:
    def retain(self, addresses):
        pass


class Log:
    def record(self, record):
        pass


def list_sleeps(monkeypatch, *counts):
    sleeps = []
    monkeypatch.setattr(store_watcher.eventlet, "sleep", sleeps.append)
    following = store_watcher.StoreWatcher(
        Client(*counts), builders.build_view(), Pools(), Log(), random.Random(1)
    )
    following.batch_delay_s = GATHER_S
    for _ in counts:
        following._watch_once()
    return sleeps


@pytest.mark.parametrize("count", [1, 20])
def test_few_changes_are_followed_by_a_time_to_gather_more(monkeypatch, count):
    assert list_sleeps(monkeypatch, count) == [GATHER_S]


def test_backlog_is_taken_in_without_waiting_between_its_parts(monkeypatch):
    assert list_sleeps(monkeypatch, 500, 500, 3) == [GATHER_S]


def test_watch_that_ends_without_news_is_sent_again_at_once(monkeypatch):
    assert list_sleeps(monkeypatch, 0, 0) == []
