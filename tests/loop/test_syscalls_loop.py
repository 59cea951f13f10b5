"""The loop's own system calls fail as Linux documents: nothing is forgotten and nothing is left behind."""

import errno
import os
import signal
import socket

import pytest
from failing import Failing, FailingEpoll, fault, open_descriptors

from gaproute.loop import Loop, SteppedClock, Stream, polling
from gaproute.loop.descriptors import READ, WRITE

MILLI, SECOND = 1_000_000, 1_000_000_000


@pytest.fixture
def loop():
    made = Loop(SteppedClock(now=7 * SECOND))
    made.epoll = FailingEpoll(made.epoll)
    made.faults = []
    made.on_error = made.faults.append
    yield made
    assert made.faults == []
    made.close()


@pytest.fixture
def pair():
    here, there = socket.socketpair()
    here.setblocking(False)
    with here, there:
        yield here, there


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.ENOMEM])
def test_what_the_epoll_does_not_take_is_registered_a_moment_later(loop, pair, code):
    here, there = pair
    heard = []
    failing = loop.epoll.fail("register", code, code, code)
    loop.watch(here.fileno(), READ, lambda events: heard.append(here.recv(9)))
    there.send(b"x")
    loop.run(until=loop.sleep(5 * MILLI))
    assert not heard
    assert failing.failed == 2
    loop.run(until=loop.sleep(SECOND))
    assert heard == [b"x"]
    assert failing.failed == 3
    assert not loop.pending_registrations
    assert loop.register_timer is None
    loop.unwatch(here.fileno())


def test_the_pauses_between_tries_grow_and_are_short_again_after_a_success(loop, pair):
    failing = loop.epoll.fail("register", *[errno.ENOSPC] * 1000)
    loop.watch(pair[0].fileno(), READ, lambda events: None)
    loop.run(until=loop.sleep(10 * SECOND))
    assert 190 <= failing.failed <= 220
    failing.codes.clear()
    loop.run(until=loop.sleep(SECOND))
    assert not loop.pending_registrations
    assert not loop.register_backoff.has_failed
    loop.unwatch(pair[0].fileno())


def test_while_some_are_taken_the_pauses_stay_short(loop):
    pairs = [socket.socketpair() for _ in range(30)]
    code = errno.ENOSPC
    loop.epoll.fail("register", *[code] * 30, *[code, code, None] * 200)
    for here, _ in pairs:
        loop.watch(here.fileno(), READ, lambda events: None)
    began = loop.now()
    while loop.pending_registrations and loop.now() < began + SECOND:
        loop.turn()
    assert loop.now() <= began + 40 * MILLI  # a third of them in each try; 200 ms with pauses that grow on
    for here, there in pairs:
        loop.unwatch(here.fileno())
        here.close()
        there.close()


def test_the_events_that_were_asked_for_last_are_registered_in_the_end(loop, pair):
    here, there = pair
    heard = []
    loop.epoll.fail("register", errno.ENOSPC)
    loop.watch(here.fileno(), READ, heard.append)
    loop.change_events(here.fileno(), READ | WRITE)
    loop.clock.now += 10 * MILLI
    loop.turn()
    loop.turn()
    assert heard == [WRITE]
    loop.epoll.fail("modify", errno.ENOMEM)
    loop.change_events(here.fileno(), READ)
    loop.change_events(here.fileno(), 0)  # this one is taken: the one put off before must not come after it
    there.send(b"x")
    heard.clear()
    loop.run(until=loop.sleep(SECOND))
    assert not heard
    assert not loop.pending_registrations
    loop.unwatch(here.fileno())


def test_a_change_of_events_that_fails_is_made_a_moment_later(loop, pair):
    here, there = pair
    heard = []
    loop.watch(here.fileno(), 0, heard.append)
    loop.epoll.fail("modify", errno.ENOMEM, errno.ENOMEM)
    loop.change_events(here.fileno(), WRITE)
    for _ in range(4):
        loop.clock.now += 10 * MILLI
        loop.turn()
    assert heard
    assert set(heard) == {WRITE}
    assert not loop.pending_registrations
    loop.unwatch(here.fileno())


def test_one_that_is_not_watched_any_more_is_not_tried_again(loop, pair):
    failing = loop.epoll.fail("register", *[errno.ENOSPC] * 9)
    loop.watch(pair[0].fileno(), READ, lambda events: None)
    loop.unwatch(pair[0].fileno())
    loop.run(until=loop.sleep(SECOND))
    assert failing.failed == 1
    assert not loop.pending_registrations
    assert not loop.watched


def test_a_descriptor_that_cannot_be_watched_at_all_is_reported_and_not_retained(loop, tmp_path):
    with open(tmp_path / "file", "w") as file, pytest.raises(PermissionError):
        loop.watch(file.fileno(), READ, lambda events: None)
    assert not loop.watched
    assert not loop.pending_registrations


def test_one_that_could_not_be_unregistered_makes_no_turn_after_another_and_can_be_watched_anew(loop, pair):
    here, there = pair
    heard = []
    loop.watch(here.fileno(), READ, heard.append)
    loop.epoll.fail("unregister", errno.ENOMEM)
    loop.unwatch(here.fileno())
    loop.watch(here.fileno(), READ, heard.append)  # the epoll has it still
    loop.epoll.fail("unregister", errno.ENOMEM)
    loop.unwatch(here.fileno())
    there.send(b"x")
    loop.run(until=loop.sleep(10 * MILLI))
    turns = loop.turns
    loop.run(until=loop.sleep(SECOND))
    assert not heard
    assert loop.turns - turns < 10


def test_a_stream_whose_registration_fails_writes_at_once_and_reads_a_moment_later(loop, pair):
    here, there = pair
    heard = []
    loop.epoll.fail("register", errno.ENOSPC, errno.ENOMEM)
    stream = Stream(loop, here, heard.append, lambda error: heard.append(error))
    stream.write(b"out")
    there.send(b"in")
    assert there.recv(16) == b"out"
    loop.run(until=loop.sleep(SECOND))
    assert heard == [b"in"]
    stream.abort()
    assert not loop.watched


def test_waits_that_are_interrupted_are_taken_up_again(monkeypatch):
    loop = Loop()
    loop.epoll, loop.parked_epoll = FailingEpoll(loop.epoll), FailingEpoll(loop.parked_epoll)
    outer, inner = loop.epoll.fail("poll", *[errno.EINTR] * 3), loop.parked_epoll.fail("poll", errno.EINTR)
    loop.run(until=loop.sleep(5 * MILLI))
    assert loop.poll_parked() == []
    assert outer.failed == 3
    assert inner.failed == 1
    loop.close()


def test_an_interrupted_look_does_not_let_overdue_timers_fire_before_bytes(pair):
    here, there = pair

    class Clock(SteppedClock):
        poll = staticmethod(polling.wait_for_events)

    loop, order = Loop(Clock()), []
    loop.epoll = FailingEpoll(loop.epoll)
    loop.watch(here.fileno(), READ, lambda events: (here.recv(9), order.append("bytes")))
    loop.after(10 * MILLI, order.append, "timer")
    there.send(b"x")
    loop.clock.now += 2 * SECOND
    loop.epoll.fail("poll", errno.EINTR)
    loop.turn()
    assert order == ["bytes", "timer"]
    loop.close()


@pytest.mark.parametrize("name", ["pipe2", "set_wakeup_fd", "register"])
def test_a_signal_that_cannot_be_heeded_yet_leaves_nothing_behind_and_can_be_asked_for_again(
    loop, monkeypatch, name
):
    came, before = [], open_descriptors()
    if name == "register":
        loop.epoll.fail("register", errno.EPERM)
    else:
        module = os if name == "pipe2" else signal
        monkeypatch.setattr(module, name, Failing(getattr(module, name), errno.EMFILE))
    try:
        with pytest.raises(OSError, match="Operation not permitted|Too many open files"):
            loop.on_signal(signal.SIGUSR1, lambda: came.append(1))
        assert open_descriptors() == before
        assert not loop.watched
        assert not loop.signals.callbacks
        loop.on_signal(signal.SIGUSR1, lambda: came.append(1))
        os.kill(os.getpid(), signal.SIGUSR1)
        loop.run(until=loop.sleep(MILLI))
        assert came == [1]
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, signal.SIG_DFL)


def test_a_signal_is_delivered_though_its_descriptor_could_not_be_registered_at_once(loop):
    came = []
    loop.epoll.fail("register", errno.ENOSPC, errno.ENOSPC)
    try:
        loop.on_signal(signal.SIGUSR1, lambda: came.append(1))
        os.kill(os.getpid(), signal.SIGUSR1)
        loop.run(until=loop.sleep(SECOND))
        assert came == [1]
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, signal.SIG_DFL)


def test_an_interrupted_read_of_the_signals_is_no_error(loop, monkeypatch):
    reader, writer = os.pipe2(os.O_NONBLOCK)
    monkeypatch.setattr(os, "read", Failing(os.read, errno.EINTR))
    loop.signals.dispatch(loop, reader)
    os.close(reader)
    os.close(writer)
    assert isinstance(fault(errno.EINTR), InterruptedError)
