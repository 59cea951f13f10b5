"""The loop: timers, coroutines, turns, signals."""

import os
import signal

import pytest
from streams import pair

from gaproute.loop import Loop, Promise, SteppedClock

MILLI, SECOND = 1_000_000, 1_000_000_000


@pytest.fixture
def loop():
    made = Loop(SteppedClock(now=7 * SECOND))
    made.on_error = lambda error: None
    yield made
    made.close()


def test_timers_fire_in_their_order_at_exactly_their_time(loop):
    fired = []
    for span in (30, 10, 20):
        loop.after(span * MILLI, lambda span=span: fired.append((span, loop.now() - 7 * SECOND)))
    loop.run(until=loop.sleep(50 * MILLI))
    assert fired == [(10, 10 * MILLI), (20, 20 * MILLI), (30, 30 * MILLI)]


def test_a_cancelled_timer_does_not_fire_and_many_are_cleared_away(loop):
    fired = []
    for timer in [loop.after(SECOND, fired.append, number) for number in range(5000)]:
        timer.cancel()
    loop.after(SECOND, fired.append, "fired")
    assert len(loop.timers) < 3000
    loop.run(until=loop.sleep(2 * SECOND))
    assert fired == ["fired"]


def test_a_coroutine_is_resumed_with_values_and_errors_and_returns(loop):
    def inner(promise):
        try:
            yield promise
        except KeyError:
            return "caught"

    def outer():
        yield loop.sleep(MILLI)
        failing = Promise()
        loop.after(MILLI, failing.fail, KeyError())
        return (yield from inner(failing)), loop.now()

    assert loop.run(until=loop.spawn(outer()).done) == ("caught", 7 * SECOND + 2 * MILLI)


def test_a_cancelled_coroutine_runs_its_finally_and_is_not_resumed(loop):
    said = []

    def routine():
        try:
            yield loop.sleep(SECOND)
            said.append("resumed")
        finally:
            said.append("closed")

    spawned = loop.spawn(routine())
    loop.turn()
    spawned.cancel()
    loop.run(until=loop.sleep(2 * SECOND))
    assert said == ["closed"]


def test_an_error_in_one_callback_leaves_the_others_alone(loop):
    fired = []
    loop.after(MILLI, lambda: 1 / 0)
    loop.after(MILLI, fired.append, "next")
    loop.run(until=loop.sleep(2 * MILLI))
    assert fired == ["next"]
    assert isinstance(loop.errors[0], ZeroDivisionError)


def test_after_a_stop_news_and_bytes_come_before_overdue_timers():
    clock = SteppedClock()
    loop, order = Loop(clock), []
    stream, there = pair(loop, lambda data: order.append(("bytes", loop.read_delay)))
    loop.on_late_turn.append(lambda: order.append("news"))
    loop.after(10 * MILLI, order.append, "timer")
    there.send(b"x")
    clock.now += 2 * SECOND  # as if the process had been stopped
    loop.turn()
    assert order == ["news", ("bytes", 2 * SECOND - 10 * MILLI), "timer"]
    assert loop.late_turns == 1
    loop.close()


def test_a_timer_set_again_for_at_once_leaves_bytes_and_others_their_turn(loop):
    got, left = [], [100]

    def again():
        left[0] -= 1
        if left[0]:
            loop.after(0, again)

    stream, there = pair(loop, got.append)
    loop.after(0, again)
    loop.after(0, there.send, b"x")
    loop.turn()
    loop.turn()
    assert got == [b"x"]
    assert left == [98]


def test_a_turn_in_time_is_not_late(loop):
    loop.on_late_turn.append(lambda: pytest.fail("a late turn was reported"))
    loop.after(10 * MILLI, lambda: None)
    loop.run(until=loop.sleep(20 * MILLI))
    assert loop.late_turns == 0


def test_signals_come_in_a_turn_of_the_loop(real):
    signalled = Promise()
    before = signal.getsignal(signal.SIGUSR1)
    real.on_signal(signal.SIGUSR1, signalled.set)
    os.kill(os.getpid(), signal.SIGUSR1)
    assert not signalled.ready
    real.run(until=signalled)
    signal.set_wakeup_fd(-1)
    signal.signal(signal.SIGUSR1, before)
