"""Long-lived tasks that fail: they start again, and the process tells of it."""

import contextlib
import random

import eventlet
import pytest

from corianderrill import metrics
from corianderrill.gateway import event_log, listeners, supervisor
from tests.utils import fake_stores, gateway_rig

UNEXPECTED = RuntimeError("unexpected")


class FakeClock:
    def __init__(self):
        self.now = 0.0
        self.sleeps = []

    def sleep(self, delay_s):
        self.sleeps.append(delay_s)
        self.now += delay_s


def build_supervisor():
    clock = FakeClock()
    built = supervisor.Supervisor(
        fake_stores.RecordingLog(),
        metrics.Recorder(),
        random.Random(1),
        lambda: clock.now,
        clock.sleep,
    )
    return built, clock


def fail_times(count, error=UNEXPECTED):
    """Return a task that fails so often, and then returns."""
    left = [error] * count

    def task():
        if left:
            raise left.pop()

    return task


# Guards against a loop that one unexpected exception ends for good.
@pytest.mark.parametrize("error", [RecursionError("deep"), eventlet.Timeout()])
def test_task_that_fails_is_logged_with_its_trace_and_starts_again(error):
    built, _ = build_supervisor()
    built.run("watch", fail_times(2, error))
    first, second = built.log.list_of(event_log.InternalError)
    assert first.where == second.where == "watch"
    assert "raise left.pop()" in first.traceback
    assert type(error).__name__ in first.traceback


def test_delay_before_a_restart_grows_up_to_a_limit():
    built, clock = build_supervisor()
    built.run("watch", fail_times(12))
    assert clock.sleeps[0] <= 1.5 * supervisor.MIN_RESTART_DELAY_S
    assert sum(clock.sleeps[3:6]) > sum(clock.sleeps[:3])
    assert max(clock.sleeps) <= 1.5 * supervisor.MAX_RESTART_DELAY_S


def test_process_is_unhealthy_while_an_essential_task_fails_again_and_again():
    built, clock = build_supervisor()
    with contextlib.suppress(StopIteration):
        built.sleep = limit_sleeps(clock, 2)
        built.run("watch", fail_times(9), is_essential=True)
    assert not built.is_healthy()
    clock.now += supervisor.RECOVERED_AFTER_S + 1.0
    assert built.is_healthy()


def limit_sleeps(clock, count):
    """Return a sleep that raises StopIteration after so many calls."""
    left = iter(range(count))

    def sleep(delay_s):
        next(left)
        clock.sleep(delay_s)

    return sleep


def test_task_that_is_not_essential_does_not_make_the_process_unhealthy():
    built, clock = build_supervisor()
    built.sleep = limit_sleeps(clock, 5)
    with contextlib.suppress(StopIteration):
        built.run("metrics", fail_times(9))
    assert built.is_healthy()


# Guards against a process that takes no connection any more after one failed accept.
def test_listener_accepts_on_after_an_error(monkeypatch):
    log = fake_stores.RecordingLog()
    sock = eventlet.listen(("127.0.0.1", 0))
    monkeypatch.setattr(listeners, "RETRY_DELAY_S", 0.0)
    listener = listeners.Listener(FailingSocket(sock, 3), log)
    with contextlib.closing(eventlet.connect(sock.getsockname())):
        accepted, _ = listener.accept()
    accepted.close()
    sock.close()
    assert len(log.list_of(event_log.InternalError)) == 3


class FailingSocket:
    """A listening socket whose first calls fail for want of descriptors."""

    def __init__(self, sock, failures):
        self._sock = sock
        self._failures = failures

    def fileno(self):
        return self._sock.fileno()

    def accept(self):
        if self._failures:
            self._failures -= 1
            raise OSError(24, "Too many open files")
        return self._sock.accept()


# Guards against odd entries of another writer that end the thread which follows the
# store, or the process.
def test_entries_that_raise_do_not_stop_a_host_from_following_the_store(tmp_path):
    with gateway_rig.run(tmp_path) as rig:
        rig.store.put("servers/deep", b'{"a":' + b"[" * 100_000)
        rig.store.put("servers/port", b'{"address": "10.0.0.1:\xc2\xb2"}')
        rig.store.put("servers/large", b'{"born": 1' + b"0" * 400 + b"}")
        for prefix in ("aggregators/zone-a/", "demand/", "crashes/"):
            rig.store.put(f"{prefix}\u00b2", b'{"a":' + b"[" * 100_000)
        rig.publish_configuration(version=2, single={"prefix": "/moved/"})
        rig.wait_until(lambda: rig.send_request("/moved/x")[0].status == 200)
        rig.terminate()
        assert "internal-error" not in rig.read_output()
