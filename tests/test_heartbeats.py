import contextlib
import time

import pytest

from corianderrill import heartbeats, hostlist, messages, names, peers
from tests.utils import hosts, links

# The hosts' clock runs slower than real time by this factor. Tasks run late on a busy
# machine; at real speed, late replies would cause false suspicions and raise epochs.
CLOCK_SLOWDOWN = 5


def _read_slow_clock() -> float:
    return time.monotonic() / CLOCK_SLOWDOWN


@pytest.fixture
def stack():
    with contextlib.ExitStack() as stack:
        yield stack


def _start_host(stack, number: int, keys: peers.PeerKeys, seeds=()):
    link = links.start_link(number, keys)
    own = messages.MemberRecord(
        link.member,
        names.ZoneName("a"),
        link.address,
        messages.MemberState.ALIVE,
    )
    task = heartbeats.HeartbeatTask(own, link, seeds, clock=_read_slow_clock)
    task.start()
    stack.callback(link.stop)
    stack.callback(task.stop)
    return task


def _build_entry_host(task: heartbeats.HeartbeatTask) -> hostlist.EntryHost:
    own = task.membership.own_record
    return hostlist.EntryHost(
        own.member.host,
        own.member.incarnation,
        own.zone,
        hosts.build_address(1),
        own.peer_address,
    )


def _have_found_each_other(tasks) -> bool:
    return all(len(task.membership.list_usable()) == len(tasks) for task in tasks)


def test_listed_hosts_find_each_other_and_learn_that_one_is_leaving(stack):
    keys = links.build_keys(3)
    tasks = [_start_host(stack, number, keys[number]) for number in range(3)]
    for task in tasks:
        task.apply_host_list([_build_entry_host(each) for each in tasks])
    links.wait_until(lambda: _have_found_each_other(tasks))
    assert all(task.is_view_fresh() for task in tasks)
    assert all(
        record.epoch == 0 for task in tasks for record in task.membership.list_records()
    )
    tasks[0].leave()
    member = tasks[0].membership.own_record.member
    links.wait_until(
        lambda: all(
            task.membership.get_state(member) is messages.MemberState.LEAVING
            for task in tasks
        )
    )


def test_host_without_a_host_list_joins_through_one_seed(stack):
    keys = links.build_keys(3)
    first, second = (_start_host(stack, number, keys[number]) for number in range(2))
    for task in (first, second):
        task.apply_host_list([_build_entry_host(first), _build_entry_host(second)])
    links.wait_until(lambda: _have_found_each_other((first, second)))
    third = _start_host(stack, 2, keys[2], [first.membership.own_record.peer_address])
    links.wait_until(lambda: _have_found_each_other((first, second, third)))
