"""Stops of servers and fronts while accepting and reading fail."""

import errno

import pytest
from failing import FailingSocket
from scripted import MILLI, SECOND, Handed, nothing

HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
EPOLL_SHORT = [errno.ENOSPC, errno.ENOMEM]


def failing_accept(sock, *codes):
    """Stands for a listening socket whose next accepts fail."""
    made = FailingSocket(sock)
    made.fail("accept", *codes)
    return made


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.EINTR, errno.ENETDOWN]
)
def test_who_waits_in_the_queue_at_a_stop_is_answered_though_accepting_fails(stepped, code):
    server = stepped.server
    server.listener.sock = failing_accept(server.listener.sock, *[code] * 20)
    client = stepped.client(HEAD)
    emptied = []
    server.emptied = lambda: emptied.append(stepped.clock.now)
    server.stop(SECOND)
    assert server.held
    assert not emptied
    stepped.passes(200 * MILLI)
    assert stepped.answers(client) == 1
    client.close()
    stepped.passes(SECOND, 10 * MILLI)
    assert emptied
    assert server.listener.sock.fileno() < 0
    assert not server.held


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.EINTR, errno.ENETDOWN]
)
def test_the_platforms_front_takes_in_who_waits_at_a_stop_though_accepting_fails(gate, code):
    made = gate(clock=Handed())
    front = made.process.front
    front.listener.sock = failing_accept(front.listener.sock, *[code] * 20)
    client = made.client()
    client.ask(1)
    made.process.stop()
    made.process.shutdown.stop_accepting()
    assert front.held  # neither connection nor end: one may wait
    for _ in range(40):
        made.passes(5 * MILLI)
    assert len(client.answers) == 1
    assert front.listener.sock.fileno() < 0


def test_a_front_that_is_closed_while_it_takes_in_leaves_no_timer(gate):
    made = gate(clock=Handed())
    front = made.process.front
    front.listener.sock = failing_accept(front.listener.sock, *[errno.EMFILE] * 99)
    front.stop()
    timer = front.drainer
    assert timer.call is not None
    front.close()
    assert timer.call is None
    assert front.drainer is None
    assert front.listener.sock.fileno() < 0
    assert front.listener.pause_timer is None


def test_one_that_could_not_be_looked_at_when_the_process_stopped_is_closed_a_moment_later(gate):
    made = gate(nothing, clock=Handed())
    client = made.client()
    client.message({"jsonrpc": "2.0", "id": 1, "method": "ping"})
    made.until(lambda: client.answers)
    (link,) = made.process.front.links
    link.stream.sock = FailingSocket(link.stream.sock)
    link.stream.sock.fail("recv", *[errno.ENOMEM] * 6)
    made.process.front.stop()
    assert not link.closing
    for _ in range(5):
        made.passes(50 * MILLI)
    assert client.ended
    assert not made.process.front.links
