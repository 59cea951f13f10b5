"""The address of the change log moves and its dials fail or hang; forced by the order of the steps."""

import resource

import pytest
from change_log_answers import CHUNKED, HALF, HEAD, ONE, TWO
from hypothesis import given
from hypothesis import strategies as st
from scripted import MILLI, SECOND, Handed, HeldDials

from gaproute.decisions.chance import Chance
from gaproute.discovery.changelog import watcher as watching
from gaproute.discovery.changelog.watcher import ChangeLogWatcher
from gaproute.loop import Loop, connect
from gaproute.standins.platform import ScriptedChangeLog, event, sse


@pytest.fixture
def other(follow):
    """(a follower that has heard 1, an address that refuses, another log that goes on)."""
    made = follow(lambda last: sse(ONE) if last == 0 else b"")
    made.until(lambda: made.received)
    away, log = ScriptedChangeLog(made.loop), ScriptedChangeLog(made.loop, lambda last: sse(TWO))
    away.close()
    yield made, away.address, log
    log.close()


def test_an_address_that_moves_in_mid_dial_and_while_a_pause_runs_and_back_is_followed(other, monkeypatch):
    made, refuses, log = other
    dials = HeldDials()
    monkeypatch.setattr(watching, "connect", dials)
    made.follower.set_address(log.address)
    made.follower.set_address(refuses)
    made.follower.set_address(made.log.address)
    made.follower.set_address(log.address)
    assert dials.waiting == 1
    dials.passing = True
    made.follower.set_address(refuses)
    made.passes(watching.SILENCE_TIMEOUT)
    assert made.follower.stream is None
    assert made.follower.timer.call is not None
    made.follower.set_address(log.address)
    dials.let()
    made.passes(100 * MILLI)
    assert made.received == [1, 2]
    assert log.came == [1]
    made.follower.set_address(made.log.address)
    made.passes(100 * MILLI)
    assert made.log.came == [0, 2]
    assert not any(stream.open for stream in log.streams)


def test_no_descriptor_for_a_dial_that_is_given_up_leaves_one_connection(other):
    made, refuses, log = other
    _, most = limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, most))
    try:
        made.follower.set_address(refuses)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    made.follower.set_address(log.address)
    made.passes(200 * MILLI)
    assert made.received == [1, 2]
    assert log.came == [1]


def test_no_descriptor_is_asked_again(other):
    made, _, log = other
    _, most = limits = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (3, most))
    try:
        made.follower.set_address(log.address)
        made.passes(SECOND)
    finally:
        resource.setrlimit(resource.RLIMIT_NOFILE, limits)
    made.passes(watching.MAX_BACKOFF)
    assert made.received == [1, 2]


def test_an_error_when_a_connection_comes_up_is_asked_again(other, monkeypatch):
    made, _, log = other
    made.loop.on_error = lambda error: None
    with monkeypatch.context() as patch:
        patch.setattr(watching, "Stream", None)
        made.follower.set_address(log.address)
        made.passes(100 * MILLI)
    made.passes(watching.SILENCE_TIMEOUT)
    assert made.received == [1, 2]


def test_three_dials_into_nothing_after_a_silence_leave_the_news_within_four_seconds(follow, monkeypatch):
    made = follow(lambda last: b":\n\n" if len(made.log.came) == 1 else sse(TWO), last=1)
    made.passes(SECOND)
    made.log.streams[0].write(b":\n\n")
    made.passes(10 * MILLI)
    dials = []

    def dial(loop, where, within, done):
        dials.append(where)
        if len(dials) > 3:
            return connect(loop, where, within, done)
        return loop.call_later(within, done, None, TimeoutError()).cancel

    monkeypatch.setattr(watching, "connect", dial)
    made.passes(4 * SECOND - 20 * MILLI)
    assert made.received == [2]
    assert len(dials) == 4


class Fakes:
    """Stands for the follower's `connect` and `Stream`: its steps without sockets."""

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

    def step(self, follower, step):
        match step:
            case bytes() if self.on_bytes:
                self.on_bytes(step)
            case "end" if self.on_bytes:
                self.on_end(None)
            case "up" | "down" if self.done:
                done, self.done = self.done, None
                done(None, OSError() if step == "down" else None)
            case int():
                follower.loop.clock.now += step
                follower.loop.turn()
            case tuple():
                follower.set_address(step[0])


STEPS = st.sampled_from(
    [
        "up",
        "up",
        "down",
        "end",
        HEAD,
        HEAD,
        b":\n\n",
        HALF,
        sse(ONE),
        sse(TWO),
        sse(event(9)),
        b"data: {\n\n",
        b"HTTP/1.1 500 No\r\n\r\n",
        b"0\r\n\r\n",
        CHUNKED,
        0,
        30 * MILLI,
        watching.CONNECT_TIMEOUT,
        watching.SILENCE_TIMEOUT,
        ("127.0.0.1:1",),
        ("127.0.0.1:2",),
    ]
)


@given(st.lists(STEPS, max_size=30))
def test_whatever_comes_a_timer_stands_that_asks_again(steps):
    fakes, clock = Fakes(), Handed()
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(watching, "connect", fakes.connect)
        patch.setattr(watching, "Stream", fakes.stream)
        loop = Loop(clock)
        made = ChangeLogWatcher(loop, "127.0.0.1:1", 0, lambda each: None, Chance(1))
        for step in steps:
            fakes.step(made, step)
            assert made.timer.call is not None
            assert made.timer.when <= clock.now + watching.SILENCE_TIMEOUT + SECOND
            assert fakes.on_bytes is None or fakes.done is None
        loop.close()
