"""Dials while system calls fail with errnos that Linux documents."""

import errno
import socket

import pytest
from failing import FailingEpoll, fault

from gaproute.hosts import results
from gaproute.interface import Result
from gaproute.loop import connect, dialing
from gaproute.loop.addresses import parse_address
from gaproute.loop.dialing import MAX_DIAL_ATTEMPTS

MILLI, SECOND = 1_000_000, 1_000_000_000
SHORTAGE_ERRNOS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
LOCAL_ERRNOS = [*SHORTAGE_ERRNOS, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.EAGAIN]


@pytest.fixture
def server_address():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield socket.AF_INET, server.getsockname()


def dial(loop, address, timeout=SECOND, source=None):
    """Runs the loop until the dial is over, closes its socket, and returns its error or None."""
    results = []
    connect(loop, address, timeout, lambda sock, error: results.append((sock, error)), source)
    assert not results  # the callback is not called within `connect`
    loop.run(until=loop.sleep(2 * timeout))
    ((sock, error),) = results
    if sock is not None:
        sock.close()
    return error


@pytest.mark.parametrize("name", ["socket", "connect_ex"])
@pytest.mark.parametrize("error_number", LOCAL_ERRNOS)
def test_a_dial_that_fails_locally_is_retried(loop, server_address, fail_sockets, name, error_number):
    fail_sockets(name, error_number, error_number, error_number)
    assert dial(loop, server_address) is None


@pytest.mark.parametrize("error_number", LOCAL_ERRNOS)
def test_a_dial_that_keeps_failing_reports_its_error_after_30_ms(
    loop, server_address, fail_sockets, error_number
):
    fail_sockets("connect_ex", *[error_number] * 99)
    begun, results = loop.now(), []
    connect(
        loop, server_address, SECOND, lambda sock, error: results.append((loop.now() - begun, error.errno))
    )
    loop.run(until=loop.sleep(SECOND))
    assert results == [(30 * MILLI, error_number)]


def test_a_dial_that_times_out_between_two_attempts_reports_the_last_error(
    loop, server_address, fail_sockets
):
    fail_sockets("connect_ex", *[errno.EADDRNOTAVAIL] * 99)
    assert dial(loop, server_address, 5 * MILLI).errno == errno.EADDRNOTAVAIL


def test_a_dial_that_is_cancelled_between_two_attempts_is_not_retried(loop, server_address, fail_sockets):
    fail_sockets("connect_ex", *[errno.ENOBUFS] * 99)
    cancel = connect(loop, server_address, SECOND, lambda *_: pytest.fail("the callback was called"))
    loop.run(until=loop.sleep(3 * MILLI))
    cancel()
    loop.run(until=loop.sleep(SECOND))


@pytest.mark.parametrize(
    "error_number", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.EACCES, errno.ETIMEDOUT]
)
def test_an_error_that_is_not_local_is_reported_at_once(loop, server_address, fail_sockets, error_number):
    fail_sockets("connect_ex", *[error_number] * 99)
    begun, results = loop.now(), []
    connect(loop, server_address, SECOND, lambda sock, error: results.append((loop.now(), error.errno)))
    loop.turn()
    assert results == [(begun, error_number)]


def test_a_full_backlog_of_a_unix_socket_is_reported_at_once(loop, tmp_path, fail_sockets):
    fail_sockets("connect_ex", *[errno.EAGAIN] * 99)
    results = []
    connect(
        loop, parse_address(f"unix:{tmp_path}/s"), SECOND, lambda sock, error: results.append(error.errno)
    )
    loop.turn()
    assert results == [errno.EAGAIN]


def test_an_interrupted_connect_is_completed(loop, server_address, fail_sockets, monkeypatch):
    fail_sockets("connect_ex", None)
    create_socket = dialing.socket.socket

    def create_interrupted_socket(*args):
        sock = create_socket(*args)
        errnos = iter([errno.EINTR, errno.EINTR])
        connect_ex = sock.real.connect_ex
        sock.connect_ex = lambda target: next(errnos, None) or connect_ex(target)
        return sock

    dialing.socket.socket = create_interrupted_socket
    assert dial(loop, server_address) is None


@pytest.mark.parametrize("error_number", [errno.ENOBUFS, errno.ENOMEM, errno.EINVAL])
def test_a_dial_succeeds_although_a_socket_option_cannot_be_set(
    loop, server_address, fail_sockets, error_number
):
    fail_sockets("setsockopt", error_number)
    assert dial(loop, server_address, source="127.0.0.1") is None


@pytest.mark.parametrize("error_number", [errno.EADDRNOTAVAIL, errno.ENOMEM])
def test_a_bind_to_the_source_address_that_fails_transiently_is_retried(
    loop, server_address, fail_sockets, error_number
):
    fail_sockets("bind", error_number, error_number)
    assert dial(loop, server_address, source="127.0.0.1") is None


def test_a_connect_result_that_cannot_be_read_at_first_is_read_a_turn_later(
    loop, server_address, fail_sockets
):
    fail_sockets("getsockopt", errno.ENOBUFS)
    assert dial(loop, server_address) is None


def test_a_connect_result_that_cannot_be_read_at_all_ends_the_dial(loop, server_address, fail_sockets):
    fail_sockets("getsockopt", errno.EINVAL)
    assert dial(loop, server_address).errno == errno.EINVAL


@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.ENOMEM])
def test_a_dial_succeeds_although_its_registration_fails_at_first(loop, server_address, error_number):
    loop.epoll = FailingEpoll(loop.epoll)
    loop.epoll.fail("register", error_number, error_number)
    assert dial(loop, server_address) is None


def test_a_dial_that_cannot_be_watched_at_all_fails(loop, server_address):
    loop.epoll = FailingEpoll(loop.epoll)
    loop.epoll.fail("register", errno.EPERM)
    assert dial(loop, server_address).errno == errno.EPERM


@pytest.mark.parametrize("error_number", [*SHORTAGE_ERRNOS, errno.EADDRNOTAVAIL])
def test_a_local_shortage_is_a_result_that_does_not_count_against_the_host(error_number):
    assert results.result_of_ended_connection(fault(error_number), started=False) is Result.NOT_SENT
    assert results.result_of_ended_connection(fault(error_number), started=True) is Result.RESET


@pytest.mark.parametrize(
    "error_number", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT]
)
def test_a_network_error_before_the_start_is_a_failed_connect(error_number):
    assert results.result_of_ended_connection(fault(error_number), started=False) is Result.CONNECT_FAILED
    assert results.result_of_ended_connection(fault(error_number), started=True) is Result.RESET


def test_a_shortage_evicts_idle_connections_only_if_it_repeats(loop, server_address, fail_sockets, evictions):
    fail_sockets("socket", errno.EMFILE)
    assert dial(loop, server_address) is None
    assert evictions.count == 0
    fail_sockets("socket", *[errno.EMFILE] * 9)
    assert dial(loop, server_address).errno == errno.EMFILE
    assert evictions.count == MAX_DIAL_ATTEMPTS - 1
