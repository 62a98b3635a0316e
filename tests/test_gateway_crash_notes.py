"""Notes of crashes in the platform's store, written by several hosts."""

import random

import eventlet
import pytest

from corianderrill import names
from corianderrill.gateway import crash_notes, event_log, quarantine
from corianderrill.platform import documents, store
from tests.utils import fake_stores
from tests.utils import gateway_builders as builders

F = quarantine.Fingerprint("f0")
KEY = "crashes/f0"


class Host:
    """The notes of one host, whose view of the store is current."""

    def __init__(self, fake_store):
        self.now = 100.0
        view = builders.build_view()
        view.confirmed_at = self.now
        self.quarantine = builders.build_quarantine()
        self.log = fake_stores.RecordingLog()
        self.notes = crash_notes.CrashNotes(
            store.StoreClient(fake_store.address),
            view,
            self.quarantine,
            self.log,
            random.Random(1),
            lambda: self.now,
        )

    def note(self, replica, arrival):
        crash = quarantine.Crash(replica, names.RequestId(arrival))
        self.quarantine.record_crash(F, crash, self.now)
        self.now += quarantine.PUBLISH_DELAY_S

    def list_outcomes(self):
        return [r.outcome for r in self.log.list_of(event_log.CrashNotesWritten)]


@pytest.fixture
def hosts(fake_store):
    return [Host(fake_store) for _ in range(3)]


def read_notes(fake_store):
    item = store.StoreClient(fake_store.address).read_key(KEY)
    return documents.decode_notes(KEY, item.value)


def test_hosts_that_note_crashes_at_the_same_time_lose_none(fake_store, hosts):
    for number, host in enumerate(hosts):
        host.note(f"i-{number}", f"q-{number}")
    for host in hosts:
        host.notes.step()
    assert len(read_notes(fake_store).crashes) == len(hosts)
    assert all(host.list_outcomes() == ["published"] for host in hosts)


def test_notes_are_written_once_the_store_is_back(fake_store, hosts, monkeypatch):
    monkeypatch.setattr(crash_notes, "RETRY_DELAY_S", 0.01)
    fake_store.is_down = True
    hosts[0].note("i-1", "q-1")
    hosts[0].notes.step()
    fake_store.is_down = False
    hosts[0].notes.step()
    assert len(read_notes(fake_store).crashes) == 1
    assert hosts[0].list_outcomes() == ["failed", "published"]


def test_notes_outlast_the_leases_of_the_host_that_wrote_them(fake_store, hosts):
    hosts[0].note("i-1", "q-1")
    hosts[0].notes.step()
    assert store.StoreClient(fake_store.address).read_key(KEY).lease == 0


def test_cleared_request_has_no_notes_any_more(fake_store, hosts):
    hosts[0].note("i-1", "q-1")
    hosts[0].notes.step()
    hosts[0].quarantine.clear(F)
    hosts[0].notes.step()
    assert KEY not in fake_store.list_keys()
    hosts[0].notes.step()
    assert hosts[0].list_outcomes() == ["published", "withdrawn"]


def quarantine_on_all(fake_store, hosts):
    for number in range(quarantine.MAX_CRASHES):
        hosts[0].note(f"i-{number}", f"q-{number}")
    hosts[0].notes.step()
    item = store.StoreClient(fake_store.address).read_key(KEY)
    notes = documents.decode_notes(KEY, item.value)
    for host in hosts[1:]:
        host.quarantine.apply_notes(F, notes, item.revision, host.now)


def let_time_pass(hosts, seconds):
    for host in hosts:
        host.now += seconds
        host.notes.view.confirmed_at = host.now


# Guards against one trial for each host.
def test_one_host_of_all_gets_a_trial(fake_store, hosts):
    quarantine_on_all(fake_store, hosts)
    assert not any(host.notes.claim_trial(F) for host in hosts)
    let_time_pass(hosts, quarantine.TRIAL_DELAYS_S[0])
    assert [host.notes.claim_trial(F) for host in hosts] == [True, False, False]
    assert read_notes(fake_store).trials == 1


@pytest.mark.parametrize("fault", ["store-down", "store-silent", "view-old"])
def test_host_without_a_store_gets_no_trial(fake_store, hosts, fault):
    quarantine_on_all(fake_store, hosts)
    let_time_pass(hosts, quarantine.TRIAL_DELAYS_S[0])
    match fault:
        case "store-down":
            fake_store.is_down = True
        case "store-silent":
            fake_store.fall_silent()
        case "view-old":
            hosts[0].notes.view.max_unconfirmed_s = 3.0
            hosts[0].now += 4.0
    with eventlet.Timeout(0.5):
        assert not hosts[0].notes.claim_trial(F)


def test_unreadable_notes_are_written_over(fake_store, hosts):
    fake_store.put(KEY, b"{nonsense")
    hosts[0].note("i-1", "q-1")
    hosts[0].notes.step()
    assert len(read_notes(fake_store).crashes) == 1


@pytest.mark.parametrize("value", [b"{}", b'{"crashes": [["a"]]}', b"\xff"])
def test_invalid_notes_are_an_error(value):
    with pytest.raises(documents.DocumentError):
        documents.decode_notes(KEY, value)


# Guards against notes of a request that was cleared while they were written.
def test_request_that_is_cleared_while_its_notes_are_written_keeps_none(
    fake_store, hosts
):
    replace_key = hosts[0].notes.client.replace_key

    def clear_and_replace(*arguments):
        hosts[0].quarantine.clear(F)
        return replace_key(*arguments)

    hosts[0].notes.client.replace_key = clear_and_replace
    hosts[0].note("i-1", "q-1")
    hosts[0].notes.step()
    assert KEY not in fake_store.list_keys()
    assert hosts[0].quarantine.is_empty()


def test_reply_outweighs_a_crash_that_another_host_noted_meanwhile(fake_store, hosts):
    first, second, _ = hosts
    first.note("i-1", "q-1")
    first.notes.step()
    second.note("i-2", "q-2")
    second.notes.step()
    first.quarantine.clear(F)
    first.notes.step()
    assert KEY not in fake_store.list_keys()


# Guards against using up a trial on a replica that is full or has been replaced.
def test_trial_that_no_replica_ran_is_left_for_the_next_arrival(fake_store, hosts):
    quarantine_on_all(fake_store, hosts)
    let_time_pass(hosts, quarantine.TRIAL_DELAYS_S[0])
    assert hosts[0].notes.claim_trial(F)
    hosts[0].quarantine.return_trial(F)
    assert not hosts[1].notes.claim_trial(F)
    assert hosts[0].notes.claim_trial(F)
    assert not hosts[0].notes.claim_trial(F)


# Guards against a trial that outlasts the quarantine it was claimed for.
def test_unused_trial_ends_with_the_quarantine(fake_store, hosts):
    quarantine_on_all(fake_store, hosts)
    let_time_pass(hosts, quarantine.TRIAL_DELAYS_S[0])
    assert hosts[0].notes.claim_trial(F)
    hosts[0].quarantine.return_trial(F)
    hosts[0].quarantine.clear(F)
    for number in range(quarantine.MAX_CRASHES):
        hosts[0].note(f"i-later-{number}", f"q-later-{number}")
    assert not hosts[0].notes.claim_trial(F)
