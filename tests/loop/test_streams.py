"""Streams, dials and listeners on real sockets."""

import contextlib
import errno
import os
import socket

import pytest
from streams import stream_pair

from gaproute.loop import Listener, Loop, Promise, SteppedClock, Stream, connect
from gaproute.loop.addresses import parse_address

MILLI, SECOND = 1_000_000, 1_000_000_000


@pytest.fixture
def loop():
    loop = Loop(SteppedClock(now=7 * SECOND))
    loop.on_error = lambda error: None
    yield loop
    loop.close()


def test_bytes_that_the_kernel_does_not_accept_are_queued_and_the_writer_is_notified(real_loop):
    stream, remote = stream_pair(real_loop)
    writable, received = Promise(), []
    stream.on_writable = writable.set
    assert stream.write(b"a" * (4 << 20)) is False
    assert 0 < stream.bytes_sent < 4 << 20
    remote.setblocking(False)

    def drain():
        while sum(map(len, received)) < 4 << 20:
            try:
                received.append(remote.recv(1 << 20))
            except BlockingIOError:
                yield real_loop.sleep(MILLI)

    real_loop.run(until=real_loop.spawn(drain()).done)
    real_loop.run(until=writable)
    assert stream.bytes_sent == 4 << 20
    assert stream.bytes_unsent == 0


def test_a_paused_stream_reads_no_bytes_until_it_is_resumed(loop):
    received = []
    stream, remote = stream_pair(loop, received.append)
    stream.pause()
    remote.send(b"x")
    loop.turn()
    assert received == []
    stream.resume()
    loop.turn()
    assert received == [b"x"]


@pytest.mark.parametrize("half_close", [False, True])
def test_a_paused_stream_reports_the_end_once_although_bytes_are_unread(loop, half_close):
    ends = []
    stream, remote = stream_pair(loop, on_end=ends.append)
    if half_close:
        stream.on_half_close = lambda: ends.append(None)
    stream.pause()
    remote.send(b"unread")
    remote.shutdown(socket.SHUT_WR)
    for _ in range(3):
        loop.turn()
    assert ends == [None]
    assert stream.open == half_close


def tcp_stream_pair(loop, on_bytes=lambda data: None, on_end=lambda error: None):
    """Returns a stream and its remote socket, connected over TCP, which has resets unlike Unix sockets."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        remote = socket.create_connection(server.getsockname())
        local, _ = server.accept()
    local.setblocking(False)
    return Stream(loop, local, on_bytes, on_end), remote


def test_bytes_sent_before_a_reset_are_read_although_a_write_fails_first(real_loop):
    order = []
    stream, remote = tcp_stream_pair(real_loop, order.append, lambda error: order.append(type(error)))

    def answer_and_reset():  # as a timer, after the reads of its turn
        remote.send(b"a whole answer")
        remote.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        remote.close()
        stream.write(b"crosses")

    real_loop.call_later(0, answer_and_reset)
    real_loop.turn()
    real_loop.turn()
    assert order[0] == b"a whole answer"
    assert issubclass(order[1], OSError)
    assert len(order) == 2


@pytest.mark.parametrize("before", [b"", b"unread"])
def test_close_sends_all_written_bytes_although_bytes_arrive_during_it(real_loop, before):
    """The remote side sends before, during and after the close, and receives all bytes without a reset."""
    closed, size = [], 1 << 20  # more than the socket accepts at once
    stream, remote = tcp_stream_pair(real_loop)
    stream.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1 << 16)
    remote.send(before)
    stream.write(b"x" * size)
    stream.close(closed.append)
    stream.close(closed.append)
    received = 0
    remote.setblocking(False)
    while received < size:
        remote.send(b"crosses")
        real_loop.call_later(0, lambda: None)
        real_loop.turn()
        with contextlib.suppress(BlockingIOError):
            received += len(remote.recv(1 << 16))
    remote.setblocking(True)
    assert remote.recv(1) == b""
    assert stream.open
    assert list(real_loop.closing_streams) == [stream]
    remote.send(b"after the end")
    remote.close()
    while not closed:
        real_loop.turn()
    assert closed == [None]
    assert not stream.open
    assert not real_loop.closing_streams


def test_close_waits_briefly_for_the_remote_close_and_longer_for_unsent_bytes(loop):
    closed = []
    stream, remote = stream_pair(loop)
    stream.write(b"last bytes")
    stream.close(closed.append)
    assert remote.recv(100) == b"last bytes"
    assert remote.recv(1) == b""
    blocked, _blocked_remote = stream_pair(loop)  # whose remote side reads nothing
    blocked.write(b"x" * (4 << 20))
    blocked.close(lambda error: closed.append("blocked"))
    loop.run(until=loop.sleep(SECOND))
    assert closed == [None]
    assert list(loop.closing_streams) == [blocked]
    loop.run(until=loop.sleep(40 * SECOND))
    assert closed == [None, "blocked"]
    assert not loop.closing_streams


@pytest.mark.parametrize("address", ["127.0.0.1:0", "[::1]:0", "unix"])
def test_streams_work_over_each_kind_of_address(real_loop, address, tmp_path):
    address = f"unix:{tmp_path}/s" if address == "unix" else address
    received, streams = Promise(), []
    listener = Listener(
        real_loop,
        parse_address(address),
        lambda sock: streams.append(Stream(real_loop, sock, received.set, lambda error: None)),
    )
    connect(real_loop, parse_address(listener.address), SECOND, lambda sock, error: sock.send(b"hello"))
    assert real_loop.run(until=received) == b"hello"
    listener.close()
    assert address[:4] != "unix" or not os.path.exists(f"{tmp_path}/s")


def test_a_refused_connection_is_reported_not_raised(real_loop):
    failed = Promise()
    with socket.socket() as bound:
        bound.bind(("127.0.0.1", 0))  # bound but not listening, so connections are refused
        connect(
            real_loop, (socket.AF_INET, bound.getsockname()), SECOND, lambda sock, error: failed.set(error)
        )
        assert isinstance(real_loop.run(until=failed), ConnectionRefusedError)


def test_a_cancelled_dial_that_got_no_descriptor_reports_nothing(real_loop, monkeypatch):
    def no_descriptor(*_):
        raise OSError(errno.EMFILE, "no descriptor is left")

    monkeypatch.setattr(socket, "socket", no_descriptor)
    cancel = connect(
        real_loop,
        (socket.AF_INET, ("127.0.0.1", 9)),
        SECOND,
        lambda *_: pytest.fail("the callback was called"),
    )
    cancel()
    real_loop.turn()
    assert not real_loop.errors


def test_a_stale_socket_file_is_replaced_but_not_one_in_use(real_loop, tmp_path):
    address = parse_address(f"unix:{tmp_path}/s")
    with socket.socket(socket.AF_UNIX) as stale:
        stale.bind(f"{tmp_path}/s")
    listener = Listener(real_loop, address, lambda sock: None)
    with pytest.raises(OSError, match="Address already in use") as refused:
        Listener(real_loop, address, lambda sock: None)
    assert refused.value.errno == errno.EADDRINUSE
    listener.close()


def test_accepting_pauses_while_no_descriptor_is_left_and_resumes(real_loop, monkeypatch):
    accepted = Promise()
    listener = Listener(real_loop, parse_address("127.0.0.1:0"), accepted.set)
    sock = listener.sock

    class FailingAccept:
        calls = 0

        def accept(self):
            FailingAccept.calls += 1
            if FailingAccept.calls <= 2:
                raise OSError(errno.EMFILE, "no descriptor is left")
            return sock.accept()

        def __getattr__(self, name):
            return getattr(sock, name)

    listener.sock = FailingAccept()
    with socket.create_connection(sock.getsockname()):
        real_loop.run(until=accepted).close()
    assert listener.pause_count == 2
    assert FailingAccept.calls < 10
    sock.close()


@pytest.mark.parametrize(
    "text", ["nowhere", "host:80", "127.0.0.1:70000", "unix:", "127.0.0.1:", "[::1:80", ":1"]
)
def test_text_that_is_no_address_raises_an_error(text):
    with pytest.raises((ValueError, OSError)):
        parse_address(text)
