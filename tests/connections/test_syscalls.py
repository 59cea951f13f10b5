"""Parked connections, streams and fronts while system calls fail as Linux documents."""

import errno
import os
import socket

import pytest
from failing import Failing, FailingEpoll, FailingSocket, fault, open_descriptors
from scripted import MILLI, SECOND, Handed, nothing

from gaproute.connections import accepted, parked
from gaproute.http1 import Server
from gaproute.loop import Loop
from gaproute.loop.addresses import address

HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
EPOLL_SHORT = [errno.ENOSPC, errno.ENOMEM]


class House:
    """A server on a loop of its own whose clock moves as told, and clients that are plain sockets."""

    def __init__(self):
        self.before = open_descriptors()
        self.clock, self.faults, self.clients, self.taken = Handed(), [], [], []
        self.loop = Loop(self.clock)
        self.loop.on_error = self.faults.append
        self.loop.parked_epoll = FailingEpoll(self.loop.parked_epoll)
        self.server = Server(self.loop, address("127.0.0.1:0"), self.handle, counted=True)
        self.connections = self.server.connections

    def handle(self, request):
        self.taken.append(request)
        self.server.answer(request, 200, (), b"well")

    def client(self, data=b""):
        made = socket.create_connection(address(self.server.address)[1])
        made.sendall(data)
        made.setblocking(False)
        self.clients.append(made)
        return made

    def passes(self, span, step=MILLI):
        until = self.clock.now + span
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + step)
            for _ in range(4):
                self.loop.soon(lambda: None)
                self.loop.turn()

    def answers(self, client):
        self.passes(20 * MILLI)
        try:
            return client.recv(65536).count(b"200")
        except BlockingIOError:
            return 0

    def close(self):
        for client in self.clients:
            client.close()
        self.passes(SECOND, 20 * MILLI)
        self.server.close()
        self.loop.close()
        assert not self.connections.client_count
        assert not self.connections.parked_count
        assert not self.server.links
        assert not self.loop.watched
        assert self.faults == []
        assert open_descriptors() == self.before


@pytest.fixture
def house():
    made = House()
    yield made
    made.close()


@pytest.mark.parametrize("code", EPOLL_SHORT)
def test_a_new_connection_that_the_epoll_does_not_take_at_once_is_heard(house, code):
    failing = house.loop.parked_epoll.fail("register", code, code)
    client = house.client()
    house.passes(20 * MILLI)
    assert failing.failed == 2
    assert not house.connections.unregistered
    client.sendall(HEAD)
    assert house.answers(client) == 1


@pytest.mark.parametrize("code", EPOLL_SHORT)
def test_a_connection_that_is_parked_again_is_heard_though_the_epoll_fails(house, code):
    client = house.client(HEAD)
    assert house.answers(client) == 1
    failing = house.loop.parked_epoll.fail("modify", code, code)
    house.passes(3 * SECOND, 10 * MILLI)
    assert house.connections.parked_count == 1
    assert failing.failed == 2
    client.sendall(HEAD)
    assert house.answers(client) == 1


def test_the_pauses_grow_and_room_is_made_while_the_shortage_lasts(house, monkeypatch):
    rooms = []
    monkeypatch.setattr(house.connections, "evict_idle", lambda: rooms.append(1))
    failing = house.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 999)
    client = house.client()
    house.passes(2 * SECOND)
    assert 40 <= failing.failed <= 50
    assert len(rooms) == failing.failed - 1
    failing.codes.clear()
    house.passes(200 * MILLI)
    client.sendall(HEAD)
    assert house.answers(client) == 1
    assert not house.connections.register_backoff.has_failed


@pytest.fixture
def deaf(house):
    """A house whose inner epoll takes nobody, with a client that has spoken and is not heard yet."""
    failing = house.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 9999)
    client = house.client()
    house.passes(2 * MILLI)
    assert failing.failed
    assert house.connections.parked_count == 1
    client.sendall(HEAD)
    yield house, client, failing
    failing.codes.clear()


def test_one_that_spoke_unheard_is_served_though_the_epoll_never_takes_it(deaf):
    house, client, failing = deaf
    house.connections.admission.min_idle = 1 << 60  # nobody makes room
    for _ in range(3):
        house.passes(200 * MILLI)
        assert house.answers(client) == 1
        house.passes(3 * SECOND, 50 * MILLI)  # it is parked again meanwhile
        assert house.connections.parked_count == 1
        assert failing.codes
        client.sendall(HEAD)
    house.passes(200 * MILLI)
    assert house.answers(client) == 1


def test_one_that_spoke_unheard_does_not_make_room_for_others(deaf):
    house, client, _ = deaf
    house.connections.admission.min_idle = 0
    house.clock.now += SECOND
    house.connections.evict_idle()
    assert house.connections.client_count == 1
    assert house.answers(client) == 1


def test_one_that_spoke_unheard_is_not_closed_as_idle(deaf):
    house, client, _ = deaf
    (fd,) = house.connections.unregistered
    house.clock.now = house.connections.idle_until[fd] + SECOND
    house.connections._close_expired()
    assert house.connections.client_count == 1
    assert house.connections.expired == 0
    assert house.answers(client) == 1


def test_one_that_spoke_unheard_is_not_closed_at_a_stop(deaf):
    house, client, _ = deaf
    house.connections.close_owned(house.server.number)
    assert house.connections.client_count == 1
    assert house.answers(client) == 1


def test_a_look_for_the_unheard_that_is_interrupted_is_made_again(deaf, monkeypatch):
    house, client, _ = deaf

    class Interrupted:
        calls = 0

        def register(self, fd, events):
            pass

        def poll(self, span):
            Interrupted.calls += 1
            raise fault(errno.EINTR)

    with monkeypatch.context() as patched:
        patched.setattr(parked, "poll", Interrupted)
        house.passes(10 * MILLI)
        assert Interrupted.calls
        assert house.connections.client_count == 1
    house.passes(200 * MILLI)
    assert house.answers(client) == 1


def test_one_that_is_closed_meanwhile_is_not_watched_for_its_successor(house):
    house.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 3)
    client = house.client()
    house.passes(2 * MILLI)
    (fd,) = house.connections.unregistered
    house.connections._close_parked(fd)
    successor = house.client(HEAD)
    assert house.answers(successor) == 1
    assert house.connections.client_count == 1
    assert not house.connections.unregistered
    client.close()
    house.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 3)
    house.client()
    house.passes(2 * MILLI)
    house.connections._close_parked(next(iter(house.connections.unregistered)))
    house.passes(20 * MILLI)
    assert house.faults == []
    assert house.server.held == 1
    assert not house.connections.unregistered


def test_one_that_the_epoll_cannot_take_at_all_is_closed_and_told(house):
    house.loop.parked_epoll.fail("register", errno.EPERM)
    house.client(HEAD)
    house.passes(10 * MILLI)
    assert not house.connections.client_count
    assert [error.errno for error in house.faults] == [errno.EPERM]
    house.faults.clear()


@pytest.mark.parametrize("code", [errno.EINTR, errno.ENOMEM, errno.ENOBUFS, errno.EAGAIN])
def test_a_parked_one_that_cannot_be_read_at_once_is_read_later(house, monkeypatch, code):
    client = house.client()
    house.passes(5 * MILLI)
    monkeypatch.setattr(accepted.os, "read", Failing(os.read, code, code))
    client.sendall(HEAD)
    assert house.answers(client) == 1


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_a_parked_one_whose_connection_is_broken_is_closed(house, monkeypatch, code):
    client = house.client()
    house.passes(5 * MILLI)
    monkeypatch.setattr(accepted.os, "read", Failing(os.read, code))
    client.sendall(HEAD)
    house.passes(5 * MILLI)
    assert not house.connections.client_count
    assert not house.taken


@pytest.mark.parametrize("code", [errno.EINTR, errno.EIO])
def test_a_close_that_tells_an_error_leaves_no_count_behind(house, monkeypatch, code):
    client = house.client()
    house.passes(5 * MILLI)
    close = os.close

    def closing(fd):
        close(fd)
        raise fault(code)

    monkeypatch.setattr(parked.os, "close", closing)
    client.close()
    house.passes(5 * MILLI)
    assert not house.connections.client_count
    assert not house.server.held


def test_reads_of_one_byte_make_a_whole_request(house, monkeypatch):
    read = os.read
    monkeypatch.setattr(accepted.os, "read", lambda fd, most: read(fd, 1))
    client = house.client(HEAD)
    assert house.answers(client) == 1


# Stops while accepting fails


def failing_accept(sock, *codes):
    """Stands for a listening socket whose next accepts fail."""
    made = FailingSocket(sock)
    made.fail("accept", *codes)
    return made


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.EINTR, errno.ENETDOWN]
)
def test_who_waits_in_the_queue_at_a_stop_is_answered_though_accepting_fails(house, code):
    server = house.server
    server.listener.sock = failing_accept(server.listener.sock, *[code] * 20)
    client = house.client(HEAD)
    emptied = []
    server.emptied = lambda: emptied.append(house.clock.now)
    server.stop(SECOND)
    assert server.held
    assert not emptied
    house.passes(200 * MILLI)
    assert house.answers(client) == 1
    client.close()
    house.passes(SECOND, 10 * MILLI)
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
