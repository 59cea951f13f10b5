"""Streams, dials and listeners on sockets."""

import contextlib
import errno
import os
import socket

import pytest
from streams import pair

from gaproute.loop import Listener, Loop, Promise, SteppedClock, Stream, connect
from gaproute.loop.addresses import parse_address

MILLI, SECOND = 1_000_000, 1_000_000_000


@pytest.fixture
def loop():
    made = Loop(SteppedClock(now=7 * SECOND))
    made.on_error = lambda error: None
    yield made
    made.close()


def test_what_the_kernel_does_not_take_waits_and_the_writer_is_notified(real):
    stream, there = pair(real)
    room, got = Promise(), []
    stream.on_writable = room.set
    assert stream.write(b"a" * (4 << 20)) is False
    assert 0 < stream.bytes_sent < 4 << 20
    there.setblocking(False)

    def drain():
        while sum(map(len, got)) < 4 << 20:
            try:
                got.append(there.recv(1 << 20))
            except BlockingIOError:
                yield real.sleep(MILLI)

    real.run(until=real.spawn(drain()).done)
    real.run(until=room)
    assert stream.bytes_sent == 4 << 20
    assert stream.bytes_unsent == 0


def test_a_paused_stream_leaves_bytes_with_the_sender(loop):
    got = []
    stream, there = pair(loop, got.append)
    stream.pause()
    there.send(b"x")
    loop.turn()
    assert got == []
    stream.resume()
    loop.turn()
    assert got == [b"x"]


@pytest.mark.parametrize("half", [False, True])
def test_a_paused_stream_is_notified_of_the_end_at_once_and_once(loop, half):
    ends = []
    stream, there = pair(loop, on_end=ends.append)
    if half:
        stream.on_half_close = lambda: ends.append(None)
    stream.pause()
    there.send(b"unread")
    there.shutdown(socket.SHUT_WR)
    for _ in range(3):
        loop.turn()
    assert ends == [None]
    assert stream.open == half


def tcp(loop, on_bytes=lambda data: None, on_end=lambda error: None):
    """(stream, the other end) over loopback, where a reset is one."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        there = socket.create_connection(server.getsockname())
        here, _ = server.accept()
    here.setblocking(False)
    return Stream(loop, here, on_bytes, on_end), there


def test_what_the_other_side_said_before_its_reset_counts_although_a_write_meets_that_first(real):
    order = []
    stream, there = tcp(real, order.append, lambda error: order.append(type(error)))

    def cross():  # after this turn's look for bytes
        there.send(b"a whole answer")
        there.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        there.close()
        stream.write(b"crosses")

    real.after(0, cross)
    real.turn()
    real.turn()
    assert order[0] == b"a whole answer"
    assert issubclass(order[1], OSError)
    assert len(order) == 2


@pytest.mark.parametrize("before", [b"", b"unread"])
def test_close_sends_what_was_written_and_bytes_that_cross_it_do_not_reset_it(real, before):
    """The other side reads to the end although it wrote before, across and after the close."""
    closed, size = [], 1 << 20  # more than the socket takes at once
    stream, there = tcp(real)
    stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)
    there.send(before)
    stream.write(b"x" * size)
    stream.close(closed.append)
    stream.close(closed.append)
    got = 0
    there.setblocking(False)
    while got < size:
        there.send(b"crosses")
        real.after(0, lambda: None)
        real.turn()
        with contextlib.suppress(BlockingIOError):
            got += len(there.recv(1 << 16))
    there.setblocking(True)
    assert there.recv(1) == b""
    assert stream.open
    assert list(real.closing_streams) == [stream]
    there.send(b"after the end")
    there.close()
    while not closed:
        real.turn()
    assert closed == [None]
    assert not stream.open
    assert not real.closing_streams


def test_who_does_not_close_is_waited_for_a_while_and_who_takes_nothing_is_reset(loop):
    closed = []
    stream, there = pair(loop)
    stream.write(b"last bytes")
    stream.close(closed.append)
    assert there.recv(100) == b"last bytes"
    assert there.recv(1) == b""
    deaf, far = pair(loop)
    deaf.write(b"x" * (4 << 20))
    deaf.close(lambda error: closed.append("deaf"))
    loop.run(until=loop.sleep(SECOND))
    assert closed == [None]
    assert list(loop.closing_streams) == [deaf]
    loop.run(until=loop.sleep(40 * SECOND))
    assert closed == [None, "deaf"]
    assert not loop.closing_streams


@pytest.mark.parametrize("where", ["127.0.0.1:0", "[::1]:0", "unix"])
def test_streams_over_each_kind_of_address(real, where, tmp_path):
    where = f"unix:{tmp_path}/s" if where == "unix" else where
    came, said = Promise(), []
    listener = Listener(
        real, parse_address(where), lambda sock: said.append(Stream(real, sock, came.set, lambda e: None))
    )
    connect(real, parse_address(listener.address), SECOND, lambda sock, error: sock.send(b"hello"))
    assert real.run(until=came) == b"hello"
    listener.close()
    assert where[:4] != "unix" or not os.path.exists(f"{tmp_path}/s")


def test_a_refused_connection_is_reported_not_raised(real):
    failed = Promise()
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))  # bound and not listening: refuses
        connect(real, (socket.AF_INET, taken.getsockname()), SECOND, lambda sock, error: failed.set(error))
        assert isinstance(real.run(until=failed), ConnectionRefusedError)


def test_a_dial_without_a_descriptor_that_is_given_up_reports_nothing(real, monkeypatch):
    def none_left(*_):
        raise OSError(errno.EMFILE, "none left")

    monkeypatch.setattr(socket, "socket", none_left)
    give_up = connect(real, (socket.AF_INET, ("127.0.0.1", 9)), SECOND, lambda *_: pytest.fail("called back"))
    give_up()
    real.turn()
    assert not real.errors


def test_a_stale_socket_file_is_replaced_and_a_live_one_never(real, tmp_path):
    where = parse_address(f"unix:{tmp_path}/s")
    with socket.socket(socket.AF_UNIX) as dead:
        dead.bind(f"{tmp_path}/s")
    live = Listener(real, where, lambda sock: None)
    with pytest.raises(OSError, match="Address already in use") as refused:
        Listener(real, where, lambda sock: None)
    assert refused.value.errno == errno.EADDRINUSE
    live.close()


def test_without_descriptors_accepting_rests_and_goes_on(real, monkeypatch):
    came = Promise()
    listener = Listener(real, parse_address("127.0.0.1:0"), came.set)
    inner = listener.sock

    class Short:
        calls = 0

        def accept(self):
            Short.calls += 1
            if Short.calls <= 2:
                raise OSError(errno.EMFILE, "none left")
            return inner.accept()

        def __getattr__(self, name):
            return getattr(inner, name)

    listener.sock = Short()
    with socket.create_connection(inner.getsockname()):
        real.run(until=came).close()
    assert listener.pause_count == 2
    assert Short.calls < 10
    inner.close()


@pytest.mark.parametrize(
    "text", ["nowhere", "host:80", "127.0.0.1:70000", "unix:", "127.0.0.1:", "[::1:80", ":1"]
)
def test_what_is_no_address_is_refused(text):
    with pytest.raises((ValueError, OSError)):
        parse_address(text)
