"""Dials while system calls fail as Linux documents."""

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
SHORT = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM]
OWN = [*SHORT, errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENETDOWN, errno.EAGAIN]


@pytest.fixture
def there():
    with socket.create_server(("127.0.0.1", 0)) as server:
        yield socket.AF_INET, server.getsockname()


def dial(loop, where, within=SECOND, source=None):
    results = []
    connect(loop, where, within, lambda sock, error: results.append((sock, error)), source)
    assert not results  # never at once
    loop.run(until=loop.sleep(2 * within))
    ((sock, error),) = results
    if sock is not None:
        sock.close()
    return error


@pytest.mark.parametrize("name", ["socket", "connect_ex"])
@pytest.mark.parametrize("code", OWN)
def test_a_dial_that_fails_on_this_machine_is_begun_again(loop, there, sockets, name, code):
    sockets(name, code, code, code)
    assert dial(loop, there) is None


@pytest.mark.parametrize("code", OWN)
def test_what_goes_on_failing_is_reported_after_some_attempts_and_leaves_nothing(loop, there, sockets, code):
    sockets("connect_ex", *[code] * 99)
    begun, results = loop.now(), []
    connect(loop, there, SECOND, lambda sock, error: results.append((loop.now() - begun, error.errno)))
    loop.run(until=loop.sleep(SECOND))
    assert results == [(30 * MILLI, code)]


def test_a_dial_whose_time_ends_between_two_attempts_reports_the_failure(loop, there, sockets):
    sockets("connect_ex", *[errno.EADDRNOTAVAIL] * 99)
    assert dial(loop, there, 5 * MILLI).errno == errno.EADDRNOTAVAIL


def test_one_that_is_given_up_between_two_tries_is_not_begun_again(loop, there, sockets):
    sockets("connect_ex", *[errno.ENOBUFS] * 99)
    give_up = connect(loop, there, SECOND, lambda *_: pytest.fail("called back"))
    loop.run(until=loop.sleep(3 * MILLI))
    give_up()
    loop.run(until=loop.sleep(SECOND))


@pytest.mark.parametrize("code", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.EACCES, errno.ETIMEDOUT])
def test_what_the_other_side_says_is_reported_at_once(loop, there, sockets, code):
    sockets("connect_ex", *[code] * 99)
    begun, results = loop.now(), []
    connect(loop, there, SECOND, lambda sock, error: results.append((loop.now(), error.errno)))
    loop.turn()
    assert results == [(begun, code)]


def test_a_full_backlog_of_a_unix_socket_is_refused_at_once(loop, tmp_path, sockets):
    sockets("connect_ex", *[errno.EAGAIN] * 99)
    results = []
    connect(
        loop, parse_address(f"unix:{tmp_path}/s"), SECOND, lambda sock, error: results.append(error.errno)
    )
    loop.turn()
    assert results == [errno.EAGAIN]


def test_an_interrupted_connect_goes_on(loop, there, sockets, monkeypatch):
    sockets("connect_ex", None)
    make = dialing.socket.socket

    def interrupted(*args):
        made = make(*args)
        answers = iter([errno.EINTR, errno.EINTR])
        really = made.real.connect_ex
        made.connect_ex = lambda target: next(answers, None) or really(target)
        return made

    dialing.socket.socket = interrupted
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
    assert results.of_ended_connection(fault(code), started=False) is Result.NOT_SENT
    assert results.of_ended_connection(fault(code), started=True) is Result.RESET


@pytest.mark.parametrize("code", [errno.ECONNREFUSED, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ETIMEDOUT])
def test_what_lies_on_the_way_to_a_host_counts_as_no_connection(code):
    assert results.of_ended_connection(fault(code), started=False) is Result.CONNECT_FAILED
    assert results.of_ended_connection(fault(code), started=True) is Result.RESET


def test_a_shortage_makes_room_only_when_it_repeats(loop, there, sockets, evictions):
    sockets("socket", errno.EMFILE)
    assert dial(loop, there) is None
    assert evictions.count == 0
    sockets("socket", *[errno.EMFILE] * 9)
    assert dial(loop, there).errno == errno.EMFILE
    assert evictions.count == MAX_DIAL_ATTEMPTS - 1
