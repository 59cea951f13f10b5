"""Listening and accepting while system calls fail with errnos that Linux documents."""

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
SHORTAGE_ERRNOS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]


@pytest.fixture
def listener(loop):
    accepted = []
    listener = Listener(loop, parse_address("127.0.0.1:0"), accepted.append)
    listener.accepted, listener.sock = accepted, FailingSocket(listener.sock)
    yield listener
    for sock in accepted:
        sock.close()
    listener.close()


@pytest.mark.parametrize("error_number", sorted(FAILED_CONNECTION_ERRNOS))
def test_a_connection_that_failed_before_its_accept_does_not_delay_the_next_one(loop, listener, error_number):
    failing = listener.sock.fail("accept", error_number, error_number, error_number)
    with socket.create_connection(listener.sock.getsockname()):
        loop.turn()
        assert len(listener.accepted) == 1
        assert failing.failed == 3
        assert listener.pause_count == 0


def test_many_failed_connections_in_a_row_do_not_block_the_loop(loop, listener):
    failing = listener.sock.fail("accept", *[errno.ECONNABORTED] * 40)
    with socket.create_connection(listener.sock.getsockname()):
        loop.turn()
        assert failing.failed == MAX_FAILED_ACCEPTS
        assert not listener.accepted
        assert listener.pause_count == 1
        loop.run(until=loop.sleep(20 * MILLI))
        assert len(listener.accepted) == 1
        # As with a firewall rule that forbids each accept: no connection leaves the queue.
        failing.codes += [errno.EPERM] * 10_000
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(10 * SECOND))
        assert failing.failed < 16 * 220
        failing.codes.clear()
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.accepted) == 2


@pytest.mark.parametrize("error_number", SHORTAGE_ERRNOS)
def test_accepting_pauses_briefly_after_a_shortage_and_longer_while_it_lasts(loop, listener, error_number):
    failing = listener.sock.fail("accept", error_number)
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(5 * MILLI))
        assert len(listener.accepted) == 1
    failing.codes += [error_number] * 1000
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(10 * SECOND))
        assert 190 <= failing.failed <= 220
        assert len(listener.accepted) == 1
        failing.codes.clear()
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.accepted) == 2
        assert not listener.backoff.has_failed


def test_accepting_evicts_idle_connections_if_a_shortage_repeats(loop, listener, evictions):
    failing = listener.sock.fail("accept", errno.EMFILE)
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.accepted) == 1
        assert evictions.count == 0
    failing.codes += [errno.EMFILE] * 3
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.accepted) == 2
        assert evictions.count == 2


def test_an_error_of_the_listening_socket_is_reported_and_does_not_cause_a_busy_loop(loop, listener):
    failing = listener.sock.fail("accept", *[errno.EINVAL] * 1000)
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert 5 < failing.failed < 30
        assert {error.errno for error in loop.reported_errors} == {errno.EINVAL}
        failing.codes.clear()
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.accepted) == 1
    loop.reported_errors.clear()


def test_a_connection_is_accepted_although_a_socket_option_cannot_be_set(loop, listener):
    accept = listener.sock.real.accept

    def accept_failing_socket():
        sock, address = accept()
        failing_sock = FailingSocket(sock)
        failing_sock.fail("setsockopt", errno.ENOBUFS)
        return failing_sock, address

    listener.sock.accept = accept_failing_socket
    with socket.create_connection(listener.sock.getsockname()):
        loop.turn()
        assert len(listener.accepted) == 1


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.ENOMEM])
def test_a_paused_listener_resumes_although_its_registration_fails_at_first(loop, listener, error_number):
    loop.epoll = FailingEpoll(loop.epoll)
    listener.pause(10 * MILLI)
    loop.epoll.fail("register", error_number, error_number, error_number)
    with socket.create_connection(listener.sock.getsockname()):
        loop.run(until=loop.sleep(SECOND))
        assert len(listener.accepted) == 1


def test_accept_all_skips_failed_connections_and_returns_whether_the_backlog_is_empty(loop, listener):
    accepted = []
    listener.sock.fail("accept", errno.ECONNABORTED, None, errno.EMFILE)
    with (
        socket.create_connection(listener.sock.getsockname()),
        socket.create_connection(listener.sock.getsockname()),
    ):
        assert not listener.accept_all(lambda sock, address: accepted.append(sock))
        assert len(accepted) == 1
        assert listener.accept_all(lambda sock, address: accepted.append(sock))
        assert len(accepted) == 2
    for sock in accepted:
        sock.close()


@pytest.mark.parametrize("name", ["setsockopt", "bind", "listen", "getsockname", "socket"])
def test_a_listener_that_cannot_be_opened_leaves_nothing_open(loop, fail_sockets, name):
    fail_sockets(name, errno.ENOBUFS)
    with pytest.raises(OSError, match=os.strerror(errno.ENOBUFS)) as raised:
        Listener(loop, parse_address("127.0.0.1:0"), lambda sock: None)
    assert raised.value.errno == errno.ENOBUFS
    Listener(loop, parse_address("127.0.0.1:0"), lambda sock: None).close()


def test_a_listener_whose_socket_raises_an_error_at_its_close_is_unwatched(loop, listener):
    class FailingCloseSocket(FailingSocket):
        def close(self):
            self.real.close()
            raise fault(errno.EIO)

    listener.sock = FailingCloseSocket(listener.sock)
    listener.close()
    assert not loop.watched


def test_a_listening_socket_is_bound_to_the_requested_address(tmp_path):
    sock = open_listening_socket(parse_address(f"unix:{tmp_path}/s"))
    assert bound_address(sock) == f"unix:{tmp_path}/s"
    sock.close()
    os.unlink(tmp_path / "s")
