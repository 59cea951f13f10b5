"""Stops of servers and fronts while accept and read calls fail."""

import errno

import pytest
from failing import FailingSocket
from scripted import MILLI, SECOND, Handed, nothing

HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
EPOLL_SHORTAGE_ERRNOS = [errno.ENOSPC, errno.ENOMEM]


def failing_accept(sock, *codes):
    """A stand-in for a listening socket whose next accept calls fail."""
    failing = FailingSocket(sock)
    failing.fail("accept", *codes)
    return failing


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.EINTR, errno.ENETDOWN]
)
def test_a_client_in_the_accept_queue_at_a_stop_is_answered_although_accepting_fails(harness, code):
    server = harness.server
    server.listener.sock = failing_accept(server.listener.sock, *[code] * 20)
    client = harness.connect_client(HEAD)
    emptied = []
    server.on_emptied = lambda: emptied.append(harness.clock.now)
    server.stop(SECOND)
    assert server.connection_count
    assert not emptied
    harness.advance(200 * MILLI)
    assert harness.count_answers(client) == 1
    client.close()
    harness.advance(SECOND, 10 * MILLI)
    assert emptied
    assert server.listener.sock.fileno() < 0
    assert not server.connection_count


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.EINTR, errno.ENETDOWN]
)
def test_the_platform_front_accepts_waiting_clients_at_a_stop_although_accepting_fails(gate, code):
    platform = gate(clock=Handed())
    front = platform.process.front
    front.listener.sock = failing_accept(front.listener.sock, *[code] * 20)
    client = platform.client()
    client.ask(1)
    platform.process.stop()
    platform.process.shutdown.stop_accepting()
    assert front.connection_count  # counts one, as a connection may wait in the accept queue
    for _ in range(40):
        platform.passes(5 * MILLI)
    assert len(client.answers) == 1
    assert front.listener.sock.fileno() < 0


def test_a_front_that_is_closed_while_it_empties_the_accept_queue_leaves_no_timer(gate):
    platform = gate(clock=Handed())
    front = platform.process.front
    front.listener.sock = failing_accept(front.listener.sock, *[errno.EMFILE] * 99)
    front.stop()
    timer = front.drain_timer
    assert timer.call is not None
    front.close()
    assert timer.call is None
    assert front.drain_timer is None
    assert front.listener.sock.fileno() < 0
    assert front.listener.pause_timer is None


def test_a_connection_that_could_not_be_peeked_at_during_a_stop_is_closed_later(gate):
    platform = gate(nothing, clock=Handed())
    client = platform.client()
    client.message({"jsonrpc": "2.0", "id": 1, "method": "ping"})
    platform.until(lambda: client.answers)
    (connection,) = platform.process.front.active_connections
    connection.stream.sock = FailingSocket(connection.stream.sock)
    connection.stream.sock.fail("recv", *[errno.ENOMEM] * 6)
    platform.process.front.stop()
    assert not connection.closing
    for _ in range(5):
        platform.passes(50 * MILLI)
    assert client.ended
    assert not platform.process.front.active_connections
