"""Dials and accepting while system calls fail as Linux documents."""

import errno
import os
import socket

import pytest
from failing import Failing, FailingEpoll, fault, open_descriptors

from gaproute.hosts import results
from gaproute.interface import Result
from gaproute.loop import Listener, Loop, Stepped, connect
from gaproute.loop import connecting as module
from gaproute.loop.connecting import DIALS, FAILED_ACCEPTS, listening
from gaproute.loop.faults import CONNECTION_FAILED
from gaproute.loop.streams import address

MILLI, SECOND = 1_000_000, 1_000_000_000
SHORT = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
OWN = [*SHORT, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.EAGAIN]


class FailingSocket:
    """Stands for a socket of which some calls fail, as `FailingEpoll` for an epoll."""

    def __init__(self, sock):
        self.sock = sock

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def fail(self, name, *codes):
        setattr(self, name, failing := Failing(getattr(self.sock, name), *codes))
        return failing


class Patient:
    """Stands for the lot."""

    rooms = 0

    def make_room(self):
        self.rooms += 1


@pytest.fixture
def loop():
    before = open_descriptors()
    made = Loop(Stepped(now=7 * SECOND))
    made.faults = []
    made.on_error = made.faults.append
    yield made
    assert made.faults == [] and not made.watched and not made.unregistered
    assert not [entry for entry in made.timers if entry[2].call is not None]
    made.close()
    assert open_descriptors() == before


@pytest.fixture
def there():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield socket.AF_INET, server.getsockname()


@pytest.fixture
def sockets(monkeypatch):
    """Makes the next sockets of the module such that a call of theirs fails: `sockets(name, *codes)`, one
    number for each socket."""

    class Made:
        def __getattr__(self, name):
            return getattr(socket, name)

    stand_in = Made()
    monkeypatch.setattr(module, "socket", stand_in)

    def fail(name, *codes):
        if name == "socket":
            stand_in.socket = Failing(socket.socket, *codes)
            return
        left = list(codes)

        def make(*args):
            made = FailingSocket(socket.socket(*args))
            if left:
                made.fail(name, left.pop(0))
            return made

        stand_in.socket = make

    return fail


def dial(loop, where, within=SECOND, source=None):
    told = []
    connect(loop, where, within, lambda sock, error: told.append((sock, error)), source)
    assert not told  # never at once
    loop.run(until=loop.sleep(2 * within))
    ((sock, error),) = told
    if sock is not None:
        sock.close()
    return error


@pytest.mark.parametrize("name", ["socket", "connect_ex"])
@pytest.mark.parametrize("code", OWN)
def test_a_dial_that_fails_on_this_machine_is_begun_again(loop, there, sockets, name, code):
    sockets(name, code, code, code)
    assert dial(loop, there) is None


@pytest.mark.parametrize("code", OWN)
def test_what_goes_on_failing_is_told_after_some_tries_and_leaves_nothing(loop, there, sockets, code):
    sockets("connect_ex", *[code] * 99)
    begun, told = loop.now(), []
    connect(loop, there, SECOND, lambda sock, error: told.append((loop.now() - begun, error.errno)))
    loop.run(until=loop.sleep(SECOND))
    assert told == [(30 * MILLI, code)]


def test_a_dial_whose_time_ends_between_two_tries_tells_the_failure(loop, there, sockets):
    sockets("connect_ex", *[errno.EADDRNOTAVAIL] * 99)
    assert dial(loop, there, 5 * MILLI).errno == errno.EADDRNOTAVAIL


def test_one_that_is_given_up_between_two_tries_is_not_begun_again(loop, there, sockets):
    sockets("connect_ex", *[errno.ENOBUFS] * 99)
    give_up = connect(loop, there, SECOND, lambda *_: pytest.fail("told"))
    loop.run(until=loop.sleep(3 * MILLI))
    give_up()
    loop.run(until=loop.sleep(SECOND))


@pytest.mark.parametrize("code", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.EACCES, errno.ETIMEDOUT])
def test_what_the_other_side_says_is_told_at_once(loop, there, sockets, code):
    sockets("connect_ex", *[code] * 99)
    begun, told = loop.now(), []
    connect(loop, there, SECOND, lambda sock, error: told.append((loop.now(), error.errno)))
    loop.turn()
    assert told == [(begun, code)]


def test_a_full_backlog_of_a_unix_socket_is_refused_at_once(loop, tmp_path, sockets):
    sockets("connect_ex", *[errno.EAGAIN] * 99)
    told = []
    connect(loop, address(f"unix:{tmp_path}/s"), SECOND, lambda sock, error: told.append(error.errno))
    loop.turn()
    assert told == [errno.EAGAIN]


def test_an_interrupted_connect_goes_on(loop, there, sockets, monkeypatch):
    sockets("connect_ex", None)
    make = module.socket.socket

    def interrupted(*args):
        made = make(*args)
        answers = iter([errno.EINTR, errno.EINTR])
        really = made.sock.connect_ex
        made.connect_ex = lambda target: next(answers, None) or really(target)
        return made

    module.socket.socket = interrupted
    assert dial(loop, there) is None


@pytest.mark.parametrize("code", [errno.ENOBUFS, errno.ENOMEM, errno.EINVAL])
def test_an_option_that_cannot_be_set_harms_no_dial(loop, there, sockets, code):
    sockets("setsockopt", code)
    assert dial(loop, there, source="127.0.0.1") is None


@pytest.mark.parametrize("code", [errno.EADDRNOTAVAIL, errno.ENOMEM])
def test_an_own_address_that_cannot_be_had_for_a_moment_is_asked_for_again(loop, there, sockets, code):
    sockets("bind", code, code)
    assert dial(loop, there, source="127.0.0.1") is None


def test_an_error_that_cannot_be_read_at_once_is_read_a_turn_later(loop, there, sockets):
    sockets("getsockopt", errno.ENOBUFS)
    assert dial(loop, there) is None


def test_an_error_that_cannot_be_read_at_all_ends_the_dial(loop, there, sockets):
    sockets("getsockopt", errno.EINVAL)
    assert dial(loop, there).errno == errno.EINVAL


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.ENOMEM])
def test_a_dial_that_the_epoll_does_not_take_at_once_comes_up(loop, there, code):
    loop.epoll = FailingEpoll(loop.epoll)
    loop.epoll.fail("register", code, code)
    assert dial(loop, there) is None


def test_a_dial_that_cannot_be_watched_at_all_fails_and_leaves_nothing(loop, there):
    loop.epoll = FailingEpoll(loop.epoll)
    loop.epoll.fail("register", errno.EPERM)
    assert dial(loop, there).errno == errno.EPERM


@pytest.mark.parametrize("code", [*SHORT, errno.EADDRNOTAVAIL])
def test_what_this_machine_lacks_is_held_against_no_host(code):
    assert results.of_ended_connection(False, fault(code), False) is Result.NOT_SENT
    assert results.of_ended_connection(True, fault(code), False) is Result.RESET


@pytest.mark.parametrize("code", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT])
def test_what_lies_on_the_way_to_a_host_counts_as_no_connection(code):
    assert results.of_ended_connection(False, fault(code), False) is Result.CONNECT_FAILED
    assert results.of_ended_connection(True, fault(code), False) is Result.RESET


def test_a_shortage_makes_room_only_when_it_repeats(loop, there, sockets):
    loop.patient = Patient()
    sockets("socket", errno.EMFILE)
    assert dial(loop, there) is None and loop.patient.rooms == 0
    sockets("socket", *[errno.EMFILE] * 9)
    assert dial(loop, there).errno == errno.EMFILE and loop.patient.rooms == DIALS - 1


# Accepting


@pytest.fixture
def listener(loop):
    came = []
    made = Listener(loop, address("127.0.0.1:0"), came.append)
    made.came, made.sock = came, FailingSocket(made.sock)
    yield made
    for sock in came:
        sock.close()
    made.close()


@pytest.mark.parametrize("code", sorted(CONNECTION_FAILED))
def test_a_connection_that_failed_before_it_was_accepted_leaves_the_next_alone(loop, listener, code):
    failing = listener.sock.fail("accept", code, code, code)
    with socket.create_connection(listener.sock.getsockname()):
        loop.turn()
        assert len(listener.came) == 1 and failing.failed == 3 and listener.rests == 0


def test_many_that_failed_in_a_row_do_not_hold_up_the_loop(loop, listener):
    failing = listener.sock.fail("accept", *[errno.ECONNABORTED] * 40)
    with socket.create_connection(listener.sock.getsockname()):
        loop.turn()
        assert failing.failed == FAILED_ACCEPTS and not listener.came and listener.rests == 1
        loop.run(until=loop.sleep(20 * MILLI))
        assert len(listener.came) == 1
        failing.codes += [errno.EPERM] * 10_000  # as a filter that forbids it: nothing leaves the queue
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(10 * SECOND))
        assert failing.failed < 16 * 220
        failing.codes.clear()
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.came) == 2


@pytest.mark.parametrize("code", SHORT)
def test_a_shortage_rests_shortly_at_first_and_longer_while_it_lasts(loop, listener, code):
    failing = listener.sock.fail("accept", code)
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(5 * MILLI))
        assert len(listener.came) == 1
    failing.codes += [code] * 1000
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(10 * SECOND))
        assert 190 <= failing.failed <= 220 and len(listener.came) == 1
        failing.codes.clear()
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.came) == 2 and not listener.backoff.begun


def test_accepting_makes_room_when_a_shortage_repeats(loop, listener):
    loop.patient = Patient()
    failing = listener.sock.fail("accept", errno.EMFILE)
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.came) == 1 and loop.patient.rooms == 0
    failing.codes += [errno.EMFILE] * 3
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.came) == 2 and loop.patient.rooms == 2


def test_an_error_of_the_listener_itself_is_logged_and_does_not_spin(loop, listener):
    failing = listener.sock.fail("accept", *[errno.EINVAL] * 1000)
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert 5 < failing.failed < 30 and {error.errno for error in loop.faults} == {errno.EINVAL}
        failing.codes.clear()
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.came) == 1
    loop.faults.clear()


def test_an_option_that_cannot_be_set_harms_no_accepted_connection(loop, listener):
    accept = listener.sock.sock.accept

    def accepted():
        sock, where = accept()
        made = FailingSocket(sock)
        made.fail("setsockopt", errno.ENOBUFS)
        return made, where

    listener.sock.accept = accepted
    with socket.create_connection(listener.sock.getsockname()):
        loop.turn()
        assert len(listener.came) == 1


@pytest.mark.parametrize("code", [errno.ENOSPC, errno.ENOMEM])
def test_a_listener_that_rested_accepts_again_though_the_epoll_did_not_take_it_at_once(loop, listener, code):
    loop.epoll = FailingEpoll(loop.epoll)
    listener.rest(10 * MILLI)
    loop.epoll.fail("register", code, code, code)
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.came) == 1


def test_draining_goes_past_failed_connections_and_tells_whether_nobody_waits(loop, listener):
    taken = []
    listener.sock.fail("accept", errno.ECONNABORTED, None, errno.EMFILE)
    with (
        socket.create_connection(listener.sock.getsockname()),
        socket.create_connection(listener.sock.getsockname()),
    ):
        assert not listener.drain(lambda sock, where: taken.append(sock)) and len(taken) == 1
        assert listener.drain(lambda sock, where: taken.append(sock)) and len(taken) == 2
    for sock in taken:
        sock.close()


@pytest.mark.parametrize("name", ["setsockopt", "bind", "listen", "getsockname", "socket"])
def test_a_listener_that_cannot_be_had_leaves_nothing_behind(loop, sockets, name):
    sockets(name, errno.ENOBUFS)
    with pytest.raises(OSError) as told:
        Listener(loop, address("127.0.0.1:0"), lambda sock: None)
    assert told.value.errno == errno.ENOBUFS
    Listener(loop, address("127.0.0.1:0"), lambda sock: None).close()


def test_closing_a_socket_that_tells_an_error_is_closed_all_the_same(loop, listener):
    class Telling(FailingSocket):
        def close(self):
            self.sock.close()
            raise fault(errno.EIO)

    listener.sock = Telling(listener.sock)
    listener.close()
    assert not loop.watched


def test_a_socket_that_listens_is_bound_where_it_was_asked(tmp_path):
    sock = listening(address(f"unix:{tmp_path}/s"))
    assert module.address_of(sock) == f"unix:{tmp_path}/s"
    sock.close()
    os.unlink(tmp_path / "s")
