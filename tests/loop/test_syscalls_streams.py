"""Streams while system calls fail as Linux documents."""

import errno
import socket

import pytest
from failing import FailingSocket, fault
from scripted import MILLI, SECOND

from gaproute.loop import Loop, SteppedClock, Stream, unread


@pytest.fixture
def stream():
    loop = Loop(SteppedClock(now=7 * SECOND))
    here, there = socket.socketpair()
    here.setblocking(False)
    there.setblocking(False)
    received = []

    class Rig(Stream):
        """A stream with what a test looks at beside it."""

    made = Rig(loop, here, received.append, received.append)
    made.sock, made.there, made.received = FailingSocket(here), there, received
    yield made
    made.abort()
    there.close()
    assert not loop.watched
    loop.close()


MEMORY = [errno.EINTR, errno.ENOMEM, errno.ENOBUFS]


@pytest.mark.parametrize("code", MEMORY)
def test_a_read_that_fails_for_a_moment_is_made_again(stream, code):
    stream.sock.fail("recv", code, code)
    stream.there.send(b"x")
    stream.loop.run(until=stream.loop.sleep(MILLI))
    assert stream.received == [b"x"]
    assert stream.open


@pytest.mark.parametrize("code", MEMORY)
def test_a_write_that_fails_for_a_moment_goes_out_and_counts_once(stream, code):
    stream.sock.fail("send", code, code)
    assert stream.write(b"first")
    assert stream.bytes_sent == 0
    stream.loop.run(until=stream.loop.sleep(MILLI))
    assert stream.there.recv(99) == b"first"
    assert stream.bytes_sent == 5
    assert stream.bytes_unsent == 0


@pytest.mark.parametrize("code", MEMORY)
def test_what_a_momentary_failure_delayed_has_not_begun(stream, code):
    stream.sock.fail("send", code)
    rooms = []
    stream.on_writable = lambda: rooms.append(1)
    assert not stream.try_write(b"relay")
    assert stream.bytes_sent == 0
    assert not stream.outgoing
    stream.loop.turn()
    assert rooms == [1]
    assert stream.try_write(b"relay")
    assert stream.there.recv(99) == b"relay"


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EPIPE])
@pytest.mark.parametrize("name", ["recv", "send"])
def test_what_breaks_a_connection_ends_it_once_and_leaves_nothing(stream, name, code):
    stream.sock.fail(name, *[code] * 9)
    stream.there.send(b"x")
    if name == "send":
        stream.write(b"out")
    stream.loop.run(until=stream.loop.sleep(SECOND))
    assert [each.errno for each in stream.received if each != b"x"] == [code]
    assert not stream.open


def test_writes_of_one_byte_send_all_of_it(stream):
    send = stream.sock.real.send
    stream.sock.send = lambda data: send(bytes(data[:1]))
    stream.write(b"some bytes")
    stream.write(b" and more")
    stream.loop.run(until=stream.loop.sleep(MILLI))
    assert stream.there.recv(99) == b"some bytes and more"
    assert stream.bytes_sent == 19


@pytest.mark.parametrize("code", MEMORY)
def test_what_was_said_before_a_reset_is_read_though_a_read_fails_for_a_moment(stream, code):
    stream.there.send(b"answer")
    stream.sock.fail("send", errno.ECONNRESET)
    stream.sock.fail("recv", code)
    stream.write(b"out")
    stream.loop._run_callbacks()
    assert stream.received[0] == b"answer"
    assert stream.received[1].errno == errno.ECONNRESET


@pytest.mark.parametrize("code", MEMORY)
def test_a_look_that_fails_for_a_moment_takes_nobody_for_gone(stream, code):
    stream.sock.fail("recv", code, code)
    assert stream.is_quiet()
    stream.there.send(b"x")
    stream.sock.fail("recv", code)
    assert not stream.is_quiet()
    assert not stream.hung_up()


@pytest.mark.parametrize("code", MEMORY)
def test_where_no_look_succeeds_nothing_is_taken_for_known(stream, code):
    stream.sock.fail("recv", *[code] * 99)
    assert not stream.is_quiet()


@pytest.mark.parametrize("code", [errno.ENOMEM, errno.EINTR])
def test_a_poll_that_fails_for_a_moment_takes_nobody_for_gone(stream, code, monkeypatch):
    class FailingPoll:
        def register(self, fd, events):
            """As a poll object's."""

        def poll(self, span):
            raise OSError(code, "for a moment")

    stream.there.send(b"x")
    with monkeypatch.context() as failing:
        failing.setattr(unread.select, "poll", FailingPoll)
        assert not stream.hung_up()
    stream.there.close()
    assert stream.hung_up()


def test_a_look_at_a_broken_connection_shows_its_end(stream):
    stream.sock.fail("recv", errno.ENOMEM, errno.ETIMEDOUT, errno.ETIMEDOUT)
    assert not stream.is_quiet()
    stream.sock.fail("recv", errno.ETIMEDOUT)
    assert not stream.is_quiet()


def test_a_stream_whose_close_raises_an_error_has_ended_all_the_same(stream):
    close = stream.sock.real.close

    def closing():
        close()
        raise fault(errno.EIO)

    stream.sock.close = closing
    stream.there.shutdown(socket.SHUT_WR)
    stream.loop.run(until=stream.loop.sleep(MILLI))
    assert stream.received == [None]
    assert not stream.open
