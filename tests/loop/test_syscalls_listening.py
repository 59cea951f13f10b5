"""Listening and accepting while system calls fail as Linux documents."""

import errno
import os
import socket

import pytest
from failing import FailingEpoll, FailingSocket, fault

from gaproute.loop import Listener
from gaproute.loop.addresses import bound_address, parse_address
from gaproute.loop.faults import FAILED_CONNECTION_ERRNOS
from gaproute.loop.listening import MAX_FAILED_ACCEPTS, open_listening_socket

MILLI, SECOND = 1_000_000, 1_000_000_000
SHORT = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


@pytest.fixture
def listener(loop):
    came = []
    made = Listener(loop, parse_address("127.0.0.1:0"), came.append)
    made.came, made.sock = came, FailingSocket(made.sock)
    yield made
    for sock in came:
        sock.close()
    made.close()


@pytest.mark.parametrize("code", sorted(FAILED_CONNECTION_ERRNOS))
def test_a_connection_that_failed_before_it_was_accepted_leaves_the_next_alone(loop, listener, code):
    failing = listener.sock.fail("accept", code, code, code)
    with socket.create_connection(listener.sock.getsockname()):
        loop.turn()
        assert len(listener.came) == 1
        assert failing.failed == 3
        assert listener.pause_count == 0


def test_many_that_failed_in_a_row_do_not_hold_up_the_loop(loop, listener):
    failing = listener.sock.fail("accept", *[errno.ECONNABORTED] * 40)
    with socket.create_connection(listener.sock.getsockname()):
        loop.turn()
        assert failing.failed == MAX_FAILED_ACCEPTS
        assert not listener.came
        assert listener.pause_count == 1
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
        assert 190 <= failing.failed <= 220
        assert len(listener.came) == 1
        failing.codes.clear()
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.came) == 2
        assert not listener.backoff.has_failed


def test_accepting_makes_room_when_a_shortage_repeats(loop, listener, evictions):
    failing = listener.sock.fail("accept", errno.EMFILE)
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.came) == 1
        assert evictions.count == 0
    failing.codes += [errno.EMFILE] * 3
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.came) == 2
        assert evictions.count == 2


def test_an_error_of_the_listener_itself_is_logged_and_does_not_spin(loop, listener):
    failing = listener.sock.fail("accept", *[errno.EINVAL] * 1000)
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert 5 < failing.failed < 30
        assert {error.errno for error in loop.faults} == {errno.EINVAL}
        failing.codes.clear()
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.came) == 1
    loop.faults.clear()


def test_an_option_that_cannot_be_set_harms_no_accepted_connection(loop, listener):
    accept = listener.sock.real.accept

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
    listener.pause(10 * MILLI)
    loop.epoll.fail("register", code, code, code)
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.came) == 1


def test_draining_goes_past_failed_connections_and_returns_whether_nobody_waits(loop, listener):
    taken = []
    listener.sock.fail("accept", errno.ECONNABORTED, None, errno.EMFILE)
    with (
        socket.create_connection(listener.sock.getsockname()),
        socket.create_connection(listener.sock.getsockname()),
    ):
        assert not listener.accept_all(lambda sock, where: taken.append(sock))
        assert len(taken) == 1
        assert listener.accept_all(lambda sock, where: taken.append(sock))
        assert len(taken) == 2
    for sock in taken:
        sock.close()


@pytest.mark.parametrize("name", ["setsockopt", "bind", "listen", "getsockname", "socket"])
def test_a_listener_that_cannot_be_had_leaves_nothing_behind(loop, sockets, name):
    sockets(name, errno.ENOBUFS)
    with pytest.raises(OSError, match=os.strerror(errno.ENOBUFS)) as raised:
        Listener(loop, parse_address("127.0.0.1:0"), lambda sock: None)
    assert raised.value.errno == errno.ENOBUFS
    Listener(loop, parse_address("127.0.0.1:0"), lambda sock: None).close()


def test_a_socket_whose_close_raises_an_error_is_closed_all_the_same(loop, listener):
    class Telling(FailingSocket):
        def close(self):
            self.real.close()
            raise fault(errno.EIO)

    listener.sock = Telling(listener.sock)
    listener.close()
    assert not loop.watched


def test_a_socket_that_listens_is_bound_where_it_was_asked(tmp_path):
    sock = open_listening_socket(parse_address(f"unix:{tmp_path}/s"))
    assert bound_address(sock) == f"unix:{tmp_path}/s"
    sock.close()
    os.unlink(tmp_path / "s")
