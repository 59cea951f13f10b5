"""The loop's timers, coroutines, turns and signals."""

import os
import signal

import pytest
from streams import stream_pair

from gaproute.loop import Loop, Promise, SteppedClock

MILLI, SECOND = 1_000_000, 1_000_000_000


@pytest.fixture
def loop():
    loop = Loop(SteppedClock(now=7 * SECOND))
    loop.on_error = lambda error: None
    yield loop
    loop.close()


def test_timers_fire_in_order_at_exactly_their_time(loop):
    fired = []
    for span in (30, 10, 20):
        loop.call_later(span * MILLI, lambda span=span: fired.append((span, loop.now() - 7 * SECOND)))
    loop.run(until=loop.sleep(50 * MILLI))
    assert fired == [(10, 10 * MILLI), (20, 20 * MILLI), (30, 30 * MILLI)]


def test_cancelled_timers_do_not_fire_and_many_of_them_are_removed_from_the_heap(loop):
    fired = []
    for timer in [loop.call_later(SECOND, fired.append, number) for number in range(5000)]:
        timer.cancel()
    loop.call_later(SECOND, fired.append, "fired")
    assert len(loop.timers) < 3000
    loop.run(until=loop.sleep(2 * SECOND))
    assert fired == ["fired"]


def test_a_coroutine_is_resumed_with_values_and_errors_and_returns_a_value(loop):
    def inner(promise):
        try:
            yield promise
        except KeyError:
            return "caught"

    def outer():
        yield loop.sleep(MILLI)
        failing = Promise()
        loop.call_later(MILLI, failing.fail, KeyError())
        return (yield from inner(failing)), loop.now()

    assert loop.run(until=loop.spawn(outer()).done) == ("caught", 7 * SECOND + 2 * MILLI)


def test_a_cancelled_coroutine_runs_its_finally_clause_and_is_not_resumed(loop):
    steps = []

    def generate():
        try:
            yield loop.sleep(SECOND)
            steps.append("resumed")
        finally:
            steps.append("closed")

    coroutine = loop.spawn(generate())
    loop.turn()
    coroutine.cancel()
    loop.run(until=loop.sleep(2 * SECOND))
    assert steps == ["closed"]


def test_an_error_in_one_callback_does_not_stop_the_others(loop):
    fired = []
    loop.call_later(MILLI, lambda: 1 / 0)
    loop.call_later(MILLI, fired.append, "next")
    loop.run(until=loop.sleep(2 * MILLI))
    assert fired == ["next"]
    assert isinstance(loop.errors[0], ZeroDivisionError)


def test_after_a_stall_callbacks_of_late_turns_and_reads_precede_overdue_timers():
    clock = SteppedClock()
    loop, order = Loop(clock), []
    stream, remote = stream_pair(loop, lambda data: order.append(("bytes", loop.read_delay)))
    loop.on_late_turn.append(lambda: order.append("late turn"))
    loop.call_later(10 * MILLI, order.append, "timer")
    remote.send(b"x")
    clock.now += 2 * SECOND  # as if the process had been stopped
    loop.turn()
    assert order == ["late turn", ("bytes", 2 * SECOND - 10 * MILLI), "timer"]
    assert loop.late_turns == 1
    loop.close()


def test_a_timer_that_resets_itself_for_now_does_not_delay_reads_and_other_timers(loop):
    received, remaining = [], [100]

    def fire_again():
        remaining[0] -= 1
        if remaining[0]:
            loop.call_later(0, fire_again)

    stream, remote = stream_pair(loop, received.append)
    loop.call_later(0, fire_again)
    loop.call_later(0, remote.send, b"x")
    loop.turn()
    loop.turn()
    assert received == [b"x"]
    assert remaining == [98]


def test_a_turn_on_time_is_not_late(loop):
    loop.on_late_turn.append(lambda: pytest.fail("a late turn was reported"))
    loop.call_later(10 * MILLI, lambda: None)
    loop.run(until=loop.sleep(20 * MILLI))
    assert loop.late_turns == 0


def test_signal_callbacks_run_in_a_turn_of_the_loop(real_loop):
    signalled = Promise()
    previous_handler = signal.getsignal(signal.SIGUSR1)
    real_loop.on_signal(signal.SIGUSR1, signalled.set)
    os.kill(os.getpid(), signal.SIGUSR1)
    assert not signalled.ready
    real_loop.run(until=signalled)
    signal.set_wakeup_fd(-1)
    signal.signal(signal.SIGUSR1, previous_handler)
