"""The loop while its own system calls fail with errnos that Linux documents."""

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
    loop = Loop(SteppedClock(now=7 * SECOND))
    loop.epoll = FailingEpoll(loop.epoll)
    loop.reported_errors = []
    loop.on_error = loop.reported_errors.append
    yield loop
    assert loop.reported_errors == []
    loop.close()


@pytest.fixture
def socket_pair():
    local, remote = socket.socketpair()
    local.setblocking(False)
    with local, remote:
        yield local, remote


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.ENOMEM])
def test_a_registration_that_the_epoll_rejects_is_retried_with_growing_pauses(
    loop, socket_pair, error_number
):
    local, remote = socket_pair
    received = []
    failing = loop.epoll.fail("register", error_number, error_number, error_number)
    loop.watch(local.fileno(), READ, lambda events: received.append(local.recv(9)))
    remote.send(b"x")
    loop.run(until=loop.sleep(5 * MILLI))
    assert not received
    assert failing.failed == 2
    loop.run(until=loop.sleep(SECOND))
    assert received == [b"x"]
    assert failing.failed == 3
    assert not loop.pending_registrations
    assert loop.register_timer is None
    loop.unwatch(local.fileno())


def test_the_pauses_between_registrations_grow_and_are_reset_by_a_success(loop, socket_pair):
    failing = loop.epoll.fail("register", *[errno.ENOSPC] * 1000)
    loop.watch(socket_pair[0].fileno(), READ, lambda events: None)
    loop.run(until=loop.sleep(10 * SECOND))
    assert 190 <= failing.failed <= 220
    failing.codes.clear()
    loop.run(until=loop.sleep(SECOND))
    assert not loop.pending_registrations
    assert not loop.register_backoff.has_failed
    loop.unwatch(socket_pair[0].fileno())


def test_the_pauses_stay_short_while_some_registrations_succeed(loop):
    socket_pairs = [socket.socketpair() for _ in range(30)]
    error_number = errno.ENOSPC
    loop.epoll.fail("register", *[error_number] * 30, *[error_number, error_number, None] * 200)
    for local, _ in socket_pairs:
        loop.watch(local.fileno(), READ, lambda events: None)
    began_at = loop.now()
    while loop.pending_registrations and loop.now() < began_at + SECOND:
        loop.turn()
    # A third of the registrations succeeds per attempt. With growing pauses, all of them take 200 ms.
    assert loop.now() <= began_at + 40 * MILLI
    for local, remote in socket_pairs:
        loop.unwatch(local.fileno())
        local.close()
        remote.close()


def test_the_events_that_were_set_last_are_registered_after_failures(loop, socket_pair):
    local, remote = socket_pair
    received = []
    loop.epoll.fail("register", errno.ENOSPC)
    loop.watch(local.fileno(), READ, received.append)
    loop.change_events(local.fileno(), READ | WRITE)
    loop.clock.now += 10 * MILLI
    loop.turn()
    loop.turn()
    assert received == [WRITE]
    loop.epoll.fail("modify", errno.ENOMEM)
    loop.change_events(local.fileno(), READ)
    loop.change_events(local.fileno(), 0)  # succeeds, so the earlier change must not be retried after it
    remote.send(b"x")
    received.clear()
    loop.run(until=loop.sleep(SECOND))
    assert not received
    assert not loop.pending_registrations
    loop.unwatch(local.fileno())


def test_a_change_of_events_that_fails_is_retried(loop, socket_pair):
    local, remote = socket_pair
    received = []
    loop.watch(local.fileno(), 0, received.append)
    loop.epoll.fail("modify", errno.ENOMEM, errno.ENOMEM)
    loop.change_events(local.fileno(), WRITE)
    for _ in range(4):
        loop.clock.now += 10 * MILLI
        loop.turn()
    assert received
    assert set(received) == {WRITE}
    assert not loop.pending_registrations
    loop.unwatch(local.fileno())


def test_the_registration_of_an_unwatched_descriptor_is_not_retried(loop, socket_pair):
    failing = loop.epoll.fail("register", *[errno.ENOSPC] * 9)
    loop.watch(socket_pair[0].fileno(), READ, lambda events: None)
    loop.unwatch(socket_pair[0].fileno())
    loop.run(until=loop.sleep(SECOND))
    assert failing.failed == 1
    assert not loop.pending_registrations
    assert not loop.watched


def test_a_descriptor_that_epoll_does_not_support_raises_an_error_and_is_not_watched(loop, tmp_path):
    with open(tmp_path / "file", "w") as file, pytest.raises(PermissionError):
        loop.watch(file.fileno(), READ, lambda events: None)
    assert not loop.watched
    assert not loop.pending_registrations


def test_a_descriptor_whose_unregistration_failed_causes_no_busy_loop_and_can_be_watched(loop, socket_pair):
    local, remote = socket_pair
    received = []
    loop.watch(local.fileno(), READ, received.append)
    loop.epoll.fail("unregister", errno.ENOMEM)
    loop.unwatch(local.fileno())
    loop.watch(local.fileno(), READ, received.append)  # the epoll still has the descriptor
    loop.epoll.fail("unregister", errno.ENOMEM)
    loop.unwatch(local.fileno())
    remote.send(b"x")
    loop.run(until=loop.sleep(10 * MILLI))
    turns = loop.turns
    loop.run(until=loop.sleep(SECOND))
    assert not received
    assert loop.turns - turns < 10


def test_a_stream_whose_registration_fails_writes_at_once_and_reads_later(loop, socket_pair):
    local, remote = socket_pair
    received = []
    loop.epoll.fail("register", errno.ENOSPC, errno.ENOMEM)
    stream = Stream(loop, local, received.append, lambda error: received.append(error))
    stream.write(b"out")
    remote.send(b"in")
    assert remote.recv(16) == b"out"
    loop.run(until=loop.sleep(SECOND))
    assert received == [b"in"]
    stream.abort()
    assert not loop.watched


def test_interrupted_polls_are_repeated(monkeypatch):
    loop = Loop()
    loop.epoll, loop.parked_epoll = FailingEpoll(loop.epoll), FailingEpoll(loop.parked_epoll)
    polls, parked = loop.epoll.fail("poll", *[errno.EINTR] * 3), loop.parked_epoll.fail("poll", errno.EINTR)
    loop.run(until=loop.sleep(5 * MILLI))
    assert loop.poll_parked() == []
    assert polls.failed == 3
    assert parked.failed == 1
    loop.close()


def test_overdue_timers_do_not_fire_before_bytes_are_read_although_a_poll_is_interrupted(socket_pair):
    local, remote = socket_pair

    class PollingClock(SteppedClock):
        poll = staticmethod(polling.wait_for_events)

    loop, order = Loop(PollingClock()), []
    loop.epoll = FailingEpoll(loop.epoll)
    loop.watch(local.fileno(), READ, lambda events: (local.recv(9), order.append("bytes")))
    loop.call_later(10 * MILLI, order.append, "timer")
    remote.send(b"x")
    loop.clock.now += 2 * SECOND
    loop.epoll.fail("poll", errno.EINTR)
    loop.turn()
    assert order == ["bytes", "timer"]
    loop.close()


@pytest.mark.parametrize("name", ["pipe2", "set_wakeup_fd", "register"])
def test_a_signal_callback_that_cannot_be_set_leaves_nothing_open_and_can_be_set_later(
    loop, monkeypatch, name
):
    calls, descriptors_before = [], open_descriptors()
    if name == "register":
        loop.epoll.fail("register", errno.EPERM)
    else:
        module = os if name == "pipe2" else signal
        monkeypatch.setattr(module, name, Failing(getattr(module, name), errno.EMFILE))
    try:
        with pytest.raises(OSError, match="Operation not permitted|Too many open files"):
            loop.on_signal(signal.SIGUSR1, lambda: calls.append(1))
        assert open_descriptors() == descriptors_before
        assert not loop.watched
        assert not loop.signals.callbacks
        loop.on_signal(signal.SIGUSR1, lambda: calls.append(1))
        os.kill(os.getpid(), signal.SIGUSR1)
        loop.run(until=loop.sleep(MILLI))
        assert calls == [1]
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, signal.SIG_DFL)


def test_a_signal_is_delivered_although_the_registration_of_its_descriptor_fails_at_first(loop):
    calls = []
    loop.epoll.fail("register", errno.ENOSPC, errno.ENOSPC)
    try:
        loop.on_signal(signal.SIGUSR1, lambda: calls.append(1))
        os.kill(os.getpid(), signal.SIGUSR1)
        loop.run(until=loop.sleep(SECOND))
        assert calls == [1]
    finally:
        signal.set_wakeup_fd(-1)
        signal.signal(signal.SIGUSR1, signal.SIG_DFL)


def test_an_interrupted_read_of_signal_numbers_raises_no_error(loop, monkeypatch):
    reader, writer = os.pipe2(os.O_NONBLOCK)
    monkeypatch.setattr(os, "read", Failing(os.read, errno.EINTR))
    loop.signals.dispatch(loop, reader)
    os.close(reader)
    os.close(writer)
    assert isinstance(fault(errno.EINTR), InterruptedError)
