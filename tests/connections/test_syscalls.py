"""Parked connections, streams and fronts while system calls fail as Linux documents."""

import errno
import os
import socket

import pytest
from failing import Failing, FailingEpoll, fault, open_descriptors
from scripted import MILLI, SECOND, Handed, nothing

from gaproute.connections import lot as lots
from gaproute.connections import parking
from gaproute.http1 import Server
from gaproute.loop import Loop, Stepped, Stream, unread
from gaproute.loop.streams import address

HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
EPOLL_SHORT = [errno.ENOSPC, errno.ENOMEM]


class House:
    """A server on a loop of its own whose clock moves as told, and clients that are plain sockets."""

    def __init__(self):
        self.before = open_descriptors()
        self.clock, self.faults, self.clients, self.taken = Handed(), [], [], []
        self.loop = Loop(self.clock)
        self.loop.on_error = self.faults.append
        self.loop.lobby = FailingEpoll(self.loop.lobby)
        self.server = Server(self.loop, address("127.0.0.1:0"), self.handle, counted=True)
        self.lot = self.server.lot

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
        assert not self.lot.held and not self.lot.parked and not self.server.links and not self.loop.watched
        assert self.faults == [] and open_descriptors() == self.before


@pytest.fixture
def house():
    made = House()
    yield made
    made.close()


@pytest.mark.parametrize("code", EPOLL_SHORT)
def test_a_new_connection_that_the_epoll_does_not_take_at_once_is_heard(house, code):
    failing = house.loop.lobby.fail("register", code, code)
    client = house.client()
    house.passes(20 * MILLI)
    assert failing.failed == 2 and not house.lot.unheard
    client.sendall(HEAD)
    assert house.answers(client) == 1


@pytest.mark.parametrize("code", EPOLL_SHORT)
def test_a_connection_that_is_parked_again_is_heard_though_the_epoll_fails(house, code):
    client = house.client(HEAD)
    assert house.answers(client) == 1
    failing = house.loop.lobby.fail("modify", code, code)
    house.passes(3 * SECOND, 10 * MILLI)
    assert house.lot.parked == 1 and failing.failed == 2
    client.sendall(HEAD)
    assert house.answers(client) == 1


def test_the_pauses_grow_and_room_is_made_while_the_shortage_lasts(house, monkeypatch):
    rooms = []
    monkeypatch.setattr(house.lot, "make_room", lambda: rooms.append(1))
    failing = house.loop.lobby.fail("register", *[errno.ENOSPC] * 999)
    client = house.client()
    house.passes(2 * SECOND)
    assert 40 <= failing.failed <= 50 and len(rooms) == failing.failed - 1
    failing.codes.clear()
    house.passes(200 * MILLI)
    client.sendall(HEAD)
    assert house.answers(client) == 1 and not house.lot.hear_backoff.begun


@pytest.fixture
def deaf(house):
    """A house whose inner epoll takes nobody, with a client that has spoken and is not heard yet."""
    failing = house.loop.lobby.fail("register", *[errno.ENOSPC] * 9999)
    client = house.client()
    house.passes(2 * MILLI)
    assert failing.failed and house.lot.parked == 1
    client.sendall(HEAD)
    yield house, client, failing
    failing.codes.clear()


def test_one_that_spoke_unheard_is_served_though_the_epoll_never_takes_it(deaf):
    house, client, failing = deaf
    house.lot.admission.spare = 1 << 60  # nobody makes room
    for _ in range(3):
        house.passes(200 * MILLI)
        assert house.answers(client) == 1
        house.passes(3 * SECOND, 50 * MILLI)  # it is parked again meanwhile
        assert house.lot.parked == 1 and failing.codes
        client.sendall(HEAD)
    house.passes(200 * MILLI)
    assert house.answers(client) == 1


def test_one_that_spoke_unheard_does_not_make_room_for_others(deaf):
    house, client, _ = deaf
    house.lot.admission.spare = 0
    house.clock.now += SECOND
    house.lot.make_room()
    assert house.lot.held == 1 and house.answers(client) == 1


def test_one_that_spoke_unheard_is_not_closed_as_idle(deaf):
    house, client, _ = deaf
    (fd,) = house.lot.unheard
    house.clock.now = house.lot.due[fd] + SECOND
    house.lot._tick()
    assert house.lot.held == 1 and house.lot.expired == 0 and house.answers(client) == 1


def test_one_that_spoke_unheard_is_not_closed_at_a_stop(deaf):
    house, client, _ = deaf
    house.lot.close(house.server.number)
    assert house.lot.held == 1 and house.answers(client) == 1


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
        patched.setattr(parking, "poll", Interrupted)
        house.passes(10 * MILLI)
        assert Interrupted.calls and house.lot.held == 1
    house.passes(200 * MILLI)
    assert house.answers(client) == 1


def test_one_that_is_closed_meanwhile_is_not_watched_for_its_successor(house):
    house.loop.lobby.fail("register", *[errno.ENOSPC] * 3)
    client = house.client()
    house.passes(2 * MILLI)
    (fd,) = house.lot.unheard
    house.lot._drop(fd)
    successor = house.client(HEAD)
    assert house.answers(successor) == 1 and house.lot.held == 1 and not house.lot.unheard
    client.close()
    house.loop.lobby.fail("register", *[errno.ENOSPC] * 3)
    house.client()
    house.passes(2 * MILLI)
    house.lot._drop(next(iter(house.lot.unheard)))
    house.passes(20 * MILLI)
    assert house.faults == [] and house.server.held == 1 and not house.lot.unheard


def test_one_that_the_epoll_cannot_take_at_all_is_closed_and_told(house):
    house.loop.lobby.fail("register", errno.EPERM)
    house.client(HEAD)
    house.passes(10 * MILLI)
    assert not house.lot.held and [error.errno for error in house.faults] == [errno.EPERM]
    house.faults.clear()


@pytest.mark.parametrize("code", [errno.EINTR, errno.ENOMEM, errno.ENOBUFS, errno.EAGAIN])
def test_a_parked_one_that_cannot_be_read_at_once_is_read_later(house, monkeypatch, code):
    client = house.client()
    house.passes(5 * MILLI)
    monkeypatch.setattr(lots.os, "read", Failing(os.read, code, code))
    client.sendall(HEAD)
    assert house.answers(client) == 1


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_a_parked_one_whose_connection_is_broken_is_closed(house, monkeypatch, code):
    client = house.client()
    house.passes(5 * MILLI)
    monkeypatch.setattr(lots.os, "read", Failing(os.read, code))
    client.sendall(HEAD)
    house.passes(5 * MILLI)
    assert not house.lot.held and not house.taken


@pytest.mark.parametrize("code", [errno.EINTR, errno.EIO])
def test_a_close_that_tells_an_error_leaves_no_count_behind(house, monkeypatch, code):
    client = house.client()
    house.passes(5 * MILLI)
    close = os.close

    def closing(fd):
        close(fd)
        raise fault(code)

    monkeypatch.setattr(parking.os, "close", closing)
    client.close()
    house.passes(5 * MILLI)
    assert not house.lot.held and not house.server.held


def test_reads_of_one_byte_make_a_whole_request(house, monkeypatch):
    read = os.read
    monkeypatch.setattr(lots.os, "read", lambda fd, most: read(fd, 1))
    client = house.client(HEAD)
    assert house.answers(client) == 1


# Stops while accepting fails


class FailingAccept:
    """Stands for a listening socket."""

    def __init__(self, sock, *codes):
        self.sock, self.accept = sock, Failing(sock.accept, *codes)

    def __getattr__(self, name):
        return getattr(self.sock, name)


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.EINTR, errno.ENETDOWN]
)
def test_who_waits_in_the_queue_at_a_stop_is_answered_though_accepting_fails(house, code):
    server = house.server
    server.listener.sock = FailingAccept(server.listener.sock, *[code] * 20)
    client = house.client(HEAD)
    emptied = []
    server.emptied = lambda: emptied.append(house.clock.now)
    server.stop(SECOND)
    assert server.held and not emptied
    house.passes(200 * MILLI)
    assert house.answers(client) == 1
    client.close()
    house.passes(SECOND, 10 * MILLI)
    assert emptied and server.listener.sock.fileno() < 0 and not server.held


@pytest.mark.parametrize(
    "code", [errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.EINTR, errno.ENETDOWN]
)
def test_the_platforms_front_takes_in_who_waits_at_a_stop_though_accepting_fails(gate, code):
    made = gate(clock=Handed())
    front = made.process.front
    front.listener.sock = FailingAccept(front.listener.sock, *[code] * 20)
    client = made.client()
    client.ask(1)
    made.process.stop()
    made.process.shutdown.stop_accepting()
    assert front.held  # neither connection nor end: one may wait
    for _ in range(40):
        made.passes(5 * MILLI)
    assert len(client.answers) == 1 and front.listener.sock.fileno() < 0


def test_a_front_that_is_closed_while_it_takes_in_leaves_no_timer(gate):
    made = gate(clock=Handed())
    front = made.process.front
    front.listener.sock = FailingAccept(front.listener.sock, *[errno.EMFILE] * 99)
    front.stop()
    timer = front.drainer
    assert timer.call is not None
    front.close()
    assert (
        timer.call is None
        and front.drainer is None
        and front.listener.sock.fileno() < 0
        and front.listener.resting is None
    )


# Streams


class FailingSocket:
    """Stands for a connected socket of which some calls fail."""

    def __init__(self, sock):
        self.sock = sock

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def fail(self, name, *codes):
        setattr(self, name, failing := Failing(getattr(self.sock, name), *codes))
        return failing


@pytest.fixture
def stream():
    loop = Loop(Stepped(now=7 * SECOND))
    here, there = socket.socketpair()
    here.setblocking(False)
    there.setblocking(False)
    told = []

    class Rig(Stream):
        """A stream with what a test looks at beside it."""

    made = Rig(loop, here, told.append, told.append)
    made.sock, made.there, made.told = FailingSocket(here), there, told
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
    assert stream.told == [b"x"] and stream.open


@pytest.mark.parametrize("code", MEMORY)
def test_a_write_that_fails_for_a_moment_goes_out_and_counts_once(stream, code):
    stream.sock.fail("send", code, code)
    assert stream.write(b"first") and stream.handed == 0
    stream.loop.run(until=stream.loop.sleep(MILLI))
    assert stream.there.recv(99) == b"first" and stream.handed == 5 and stream.waiting == 0


@pytest.mark.parametrize("code", MEMORY)
def test_what_a_momentary_failure_kept_from_being_sent_has_not_begun(stream, code):
    stream.sock.fail("send", code)
    rooms = []
    stream.on_room = lambda: rooms.append(1)
    assert not stream.begin(b"relay") and stream.handed == 0 and not stream.out
    stream.loop.turn()
    assert rooms == [1] and stream.begin(b"relay") and stream.there.recv(99) == b"relay"


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETDOWN, errno.EPIPE])
@pytest.mark.parametrize("name", ["recv", "send"])
def test_what_breaks_a_connection_ends_it_once_and_leaves_nothing(stream, name, code):
    stream.sock.fail(name, *[code] * 9)
    stream.there.send(b"x")
    if name == "send":
        stream.write(b"out")
    stream.loop.run(until=stream.loop.sleep(SECOND))
    assert [each.errno for each in stream.told if each != b"x"] == [code] and not stream.open


def test_writes_of_one_byte_send_all_of_it(stream):
    send = stream.sock.sock.send
    stream.sock.send = lambda data: send(bytes(data[:1]))
    stream.write(b"some bytes")
    stream.write(b" and more")
    stream.loop.run(until=stream.loop.sleep(MILLI))
    assert stream.there.recv(99) == b"some bytes and more" and stream.handed == 19


@pytest.mark.parametrize("code", MEMORY)
def test_what_was_said_before_a_reset_is_read_though_a_read_fails_for_a_moment(stream, code):
    stream.there.send(b"answer")
    stream.sock.fail("send", errno.ECONNRESET)
    stream.sock.fail("recv", code)
    stream.write(b"out")
    stream.loop._queued()
    assert stream.told[0] == b"answer" and stream.told[1].errno == errno.ECONNRESET


@pytest.mark.parametrize("code", MEMORY)
def test_a_look_that_fails_for_a_moment_takes_nobody_for_gone(stream, code):
    stream.sock.fail("recv", code, code)
    assert stream.quiet()
    stream.there.send(b"x")
    stream.sock.fail("recv", code)
    assert not stream.quiet() and not stream.hung_up()


@pytest.mark.parametrize("code", MEMORY)
def test_where_no_look_succeeds_nothing_is_taken_for_known(stream, code):
    stream.sock.fail("recv", *[code] * 99)
    assert not stream.quiet()


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
    assert not stream.quiet()
    stream.sock.fail("recv", errno.ETIMEDOUT)
    assert not stream.quiet()


def test_a_stream_whose_close_tells_an_error_has_ended_all_the_same(stream):
    close = stream.sock.sock.close

    def closing():
        close()
        raise fault(errno.EIO)

    stream.sock.close = closing
    stream.there.shutdown(socket.SHUT_WR)
    stream.loop.run(until=stream.loop.sleep(MILLI))
    assert stream.told == [None] and not stream.open


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
    assert client.ended and not made.process.front.links
