"""The address of the change log changes and connection attempts fail or hang, in a forced order of steps."""

import resource

import pytest
from change_log_answers import CHUNKED_HEAD, COMPLETE_LIST_1, DRAIN_EVENT_2, HALF_EVENT_2, HEAD
from hypothesis import given
from hypothesis import strategies as st
from scripted import MILLI, SECOND, Handed, HeldDials

from gaproute.decisions.chance import RandomGenerator
from gaproute.discovery.changelog import watcher as watcher_module
from gaproute.discovery.changelog.watcher import ChangeLogWatcher
from gaproute.loop import Loop, connect
from gaproute.standins.platform import ScriptedChangeLog, event, sse


@pytest.fixture
def moved_log(follow):
    """(a watcher that has received event 1, an address that refuses, another log with later events)."""
    followed_log = follow(lambda last: sse(COMPLETE_LIST_1) if last == 0 else b"")
    followed_log.until(lambda: followed_log.received)
    closed_log, other_log = (
        ScriptedChangeLog(followed_log.loop),
        ScriptedChangeLog(followed_log.loop, lambda last: sse(DRAIN_EVENT_2)),
    )
    closed_log.close()
    yield followed_log, closed_log.address, other_log
    other_log.close()


def test_address_changes_during_a_connection_attempt_and_a_pause_take_effect(moved_log, monkeypatch):
    followed_log, refusing_address, other_log = moved_log
    held_dials = HeldDials()
    monkeypatch.setattr(watcher_module, "connect", held_dials)
    followed_log.follower.set_address(other_log.address)
    followed_log.follower.set_address(refusing_address)
    followed_log.follower.set_address(followed_log.log.address)
    followed_log.follower.set_address(other_log.address)
    assert held_dials.waiting == 1
    held_dials.passing = True
    followed_log.follower.set_address(refusing_address)
    followed_log.passes(watcher_module.SILENCE_TIMEOUT)
    assert followed_log.follower.stream is None
    assert followed_log.follower.timer.call is not None
    followed_log.follower.set_address(other_log.address)
    held_dials.let()
    followed_log.passes(100 * MILLI)
    assert followed_log.received == [1, 2]
    assert other_log.came == [1]
    followed_log.follower.set_address(followed_log.log.address)
    followed_log.passes(100 * MILLI)
    assert followed_log.log.came == [0, 2]
    assert not any(stream.open for stream in other_log.streams)


def test_one_connection_results_if_an_attempt_without_a_descriptor_is_replaced(moved_log):
    followed_log, refusing_address, other_log = moved_log
    _, hard_limit = limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard_limit))
    try:
        followed_log.follower.set_address(refusing_address)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    followed_log.follower.set_address(other_log.address)
    followed_log.passes(200 * MILLI)
    assert followed_log.received == [1, 2]
    assert other_log.came == [1]


def test_connecting_is_retried_after_a_lack_of_descriptors(moved_log):
    followed_log, _, other_log = moved_log
    _, hard_limit = limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, hard_limit))
    try:
        followed_log.follower.set_address(other_log.address)
        followed_log.passes(SECOND)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    followed_log.passes(watcher_module.MAX_BACKOFF)
    assert followed_log.received == [1, 2]


def test_connecting_is_retried_after_an_error_in_opening_the_stream(moved_log, monkeypatch):
    followed_log, _, other_log = moved_log
    followed_log.loop.on_error = lambda error: None
    with monkeypatch.context() as patch:
        patch.setattr(watcher_module, "Stream", None)
        followed_log.follower.set_address(other_log.address)
        followed_log.passes(100 * MILLI)
    followed_log.passes(watcher_module.SILENCE_TIMEOUT)
    assert followed_log.received == [1, 2]


def test_an_event_arrives_within_four_seconds_after_a_silence_and_three_failed_attempts(follow, monkeypatch):
    followed_log = follow(
        lambda last: b":\n\n" if len(followed_log.log.came) == 1 else sse(DRAIN_EVENT_2), last=1
    )
    followed_log.passes(SECOND)
    followed_log.log.streams[0].write(b":\n\n")
    followed_log.passes(10 * MILLI)
    attempts = []

    def connect_after_three_timeouts(loop, where, within, done):
        attempts.append(where)
        if len(attempts) > 3:
            return connect(loop, where, within, done)
        return loop.call_later(within, done, None, TimeoutError()).cancel

    monkeypatch.setattr(watcher_module, "connect", connect_after_three_timeouts)
    followed_log.passes(4 * SECOND - 20 * MILLI)
    assert followed_log.received == [2]
    assert len(attempts) == 4


class FakeConnections:
    """Replaces `connect` and `Stream` of the watcher, so that its steps run without sockets."""

    def __init__(self):
        self.done = self.on_bytes = self.on_end = None

    def connect(self, loop, where, within, done):
        self.done, self.on_bytes = done, None
        return lambda: setattr(self, "done", None)

    def stream(self, loop, sock, on_bytes, on_end):
        self.on_bytes, self.on_end = on_bytes, on_end
        return self

    def write(self, data):
        pass

    def abort(self):
        self.on_bytes = None

    def apply(self, watcher, step):
        match step:
            case bytes() if self.on_bytes:
                self.on_bytes(step)
            case "end" if self.on_bytes:
                self.on_end(None)
            case "up" | "down" if self.done:
                done, self.done = self.done, None
                done(None, OSError() if step == "down" else None)
            case int():
                watcher.loop.clock.now += step
                watcher.loop.turn()
            case tuple():
                watcher.set_address(step[0])


STEPS = st.sampled_from(
    [
        "up",
        "up",
        "down",
        "end",
        HEAD,
        HEAD,
        b":\n\n",
        HALF_EVENT_2,
        sse(COMPLETE_LIST_1),
        sse(DRAIN_EVENT_2),
        sse(event(9)),
        b"data: {\n\n",
        b"HTTP/1.1 500 No\r\n\r\n",
        b"0\r\n\r\n",
        CHUNKED_HEAD,
        0,
        30 * MILLI,
        watcher_module.CONNECT_TIMEOUT,
        watcher_module.SILENCE_TIMEOUT,
        ("127.0.0.1:1",),
        ("127.0.0.1:2",),
    ]
)


@given(st.lists(STEPS, max_size=30))
def test_a_timer_that_reconnects_is_always_set(steps):
    fakes, clock = FakeConnections(), Handed()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(watcher_module, "connect", fakes.connect)
        patch.setattr(watcher_module, "Stream", fakes.stream)
        loop = Loop(clock)
        watcher = ChangeLogWatcher(loop, "127.0.0.1:1", 0, lambda event: None, RandomGenerator(1))
        for step in steps:
            fakes.apply(watcher, step)
            assert watcher.timer.call is not None
            assert watcher.timer.when <= clock.now + watcher_module.SILENCE_TIMEOUT + SECOND
            assert fakes.on_bytes is None or fakes.done is None
        loop.close()
