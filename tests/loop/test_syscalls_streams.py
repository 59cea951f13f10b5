"""Streams while system calls fail with errnos that Linux documents."""

import errno
import socket

import pytest
from failing import FailingSocket, fault
from scripted import MILLI, SECOND

from gaproute.loop import Loop, SteppedClock, Stream, unread


@pytest.fixture
def stream():
    loop = Loop(SteppedClock(now=7 * SECOND))
    local, remote = socket.socketpair()
    local.setblocking(False)
    remote.setblocking(False)
    received = []

    class ObservedStream(Stream):
        """A stream to which attributes can be added, as it has no `__slots__`."""

    stream = ObservedStream(loop, local, received.append, received.append)
    stream.sock, stream.remote, stream.received = FailingSocket(local), remote, received
    yield stream
    stream.abort()
    remote.close()
    assert not loop.watched
    loop.close()


TRANSIENT_ERRNOS = [errno.EINTR, errno.ENOMEM, errno.ENOBUFS]


@pytest.mark.parametrize("error_number", TRANSIENT_ERRNOS)
def test_a_read_that_fails_transiently_is_repeated(stream, error_number):
    stream.sock.fail("recv", error_number, error_number)
    stream.remote.send(b"x")
    stream.loop.run(until=stream.loop.sleep(MILLI))
    assert stream.received == [b"x"]
    assert stream.open


@pytest.mark.parametrize("error_number", TRANSIENT_ERRNOS)
def test_a_write_that_fails_transiently_is_sent_and_counted_once(stream, error_number):
    stream.sock.fail("send", error_number, error_number)
    assert stream.write(b"first")
    assert stream.bytes_sent == 0
    stream.loop.run(until=stream.loop.sleep(MILLI))
    assert stream.remote.recv(99) == b"first"
    assert stream.bytes_sent == 5
    assert stream.bytes_unsent == 0


@pytest.mark.parametrize("error_number", TRANSIENT_ERRNOS)
def test_try_write_queues_nothing_after_a_transient_failure(stream, error_number):
    stream.sock.fail("send", error_number)
    writable_calls = []
    stream.on_writable = lambda: writable_calls.append(1)
    assert not stream.try_write(b"relay")
    assert stream.bytes_sent == 0
    assert not stream.outgoing
    stream.loop.turn()
    assert writable_calls == [1]
    assert stream.try_write(b"relay")
    assert stream.remote.recv(99) == b"relay"


@pytest.mark.parametrize("error_number", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EPIPE])
@pytest.mark.parametrize("name", ["recv", "send"])
def test_an_error_that_breaks_the_connection_ends_the_stream_once(stream, name, error_number):
    stream.sock.fail(name, *[error_number] * 9)
    stream.remote.send(b"x")
    if name == "send":
        stream.write(b"out")
    stream.loop.run(until=stream.loop.sleep(SECOND))
    assert [error.errno for error in stream.received if error != b"x"] == [error_number]
    assert not stream.open


def test_all_bytes_are_sent_by_writes_of_one_byte(stream):
    send = stream.sock.real.send
    stream.sock.send = lambda data: send(bytes(data[:1]))
    stream.write(b"some bytes")
    stream.write(b" and more")
    stream.loop.run(until=stream.loop.sleep(MILLI))
    assert stream.remote.recv(99) == b"some bytes and more"
    assert stream.bytes_sent == 19


@pytest.mark.parametrize("error_number", TRANSIENT_ERRNOS)
def test_bytes_sent_before_a_reset_are_read_although_a_read_fails_transiently(stream, error_number):
    stream.remote.send(b"answer")
    stream.sock.fail("send", errno.ECONNRESET)
    stream.sock.fail("recv", error_number)
    stream.write(b"out")
    stream.loop._run_callbacks()
    assert stream.received[0] == b"answer"
    assert stream.received[1].errno == errno.ECONNRESET


@pytest.mark.parametrize("error_number", TRANSIENT_ERRNOS)
def test_a_peek_that_fails_transiently_is_not_taken_for_a_close(stream, error_number):
    stream.sock.fail("recv", error_number, error_number)
    assert stream.is_quiet()
    stream.remote.send(b"x")
    stream.sock.fail("recv", error_number)
    assert not stream.is_quiet()
    assert not stream.hung_up()


@pytest.mark.parametrize("error_number", TRANSIENT_ERRNOS)
def test_a_stream_is_not_quiet_if_every_peek_fails(stream, error_number):
    stream.sock.fail("recv", *[error_number] * 99)
    assert not stream.is_quiet()


@pytest.mark.parametrize("error_number", [errno.ENOMEM, errno.EINTR])
def test_a_poll_that_fails_transiently_is_not_taken_for_a_close(stream, error_number, monkeypatch):
    class FailingPoll:
        def register(self, fd, events):
            """Accepts each registration."""

        def poll(self, span):
            raise OSError(error_number, "transient failure")

    stream.remote.send(b"x")
    with monkeypatch.context() as patch:
        patch.setattr(unread.select, "poll", FailingPoll)
        assert not stream.hung_up()
    stream.remote.close()
    assert stream.hung_up()


def test_a_broken_connection_is_not_quiet(stream):
    stream.sock.fail("recv", errno.ENOMEM, errno.ETIMEDOUT, errno.ETIMEDOUT)
    assert not stream.is_quiet()
    stream.sock.fail("recv", errno.ETIMEDOUT)
    assert not stream.is_quiet()


def test_a_stream_whose_close_raises_an_error_has_ended(stream):
    close = stream.sock.real.close

    def failing_close():
        close()
        raise fault(errno.EIO)

    stream.sock.close = failing_close
    stream.remote.shutdown(socket.SHUT_WR)
    stream.loop.run(until=stream.loop.sleep(MILLI))
    assert stream.received == [None]
    assert not stream.open
