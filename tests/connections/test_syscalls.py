"""Parked connections while system calls fail as Linux documents."""

import errno
import os

import pytest
from failing import Failing, fault
from scripted import MILLI, SECOND

from gaproute.connections import accepted, parked

HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
EPOLL_SHORT = [errno.ENOSPC, errno.ENOMEM]


@pytest.mark.parametrize("code", EPOLL_SHORT)
def test_a_new_connection_that_the_epoll_does_not_take_at_once_is_heard(stepped, code):
    failing = stepped.loop.parked_epoll.fail("register", code, code)
    client = stepped.client()
    stepped.passes(20 * MILLI)
    assert failing.failed == 2
    assert not stepped.connections.pending_registrations
    client.sendall(HEAD)
    assert stepped.answers(client) == 1


@pytest.mark.parametrize("code", EPOLL_SHORT)
def test_a_connection_that_is_parked_again_is_heard_though_the_epoll_fails(stepped, code):
    client = stepped.client(HEAD)
    assert stepped.answers(client) == 1
    failing = stepped.loop.parked_epoll.fail("modify", code, code)
    stepped.passes(3 * SECOND, 10 * MILLI)
    assert stepped.connections.parked_count == 1
    assert failing.failed == 2
    client.sendall(HEAD)
    assert stepped.answers(client) == 1


def test_the_pauses_grow_and_room_is_made_while_the_shortage_lasts(stepped, monkeypatch):
    rooms = []
    monkeypatch.setattr(stepped.connections, "evict_idle", lambda: rooms.append(1))
    failing = stepped.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 999)
    client = stepped.client()
    stepped.passes(2 * SECOND)
    assert 40 <= failing.failed <= 50
    assert len(rooms) == failing.failed - 1
    failing.codes.clear()
    stepped.passes(200 * MILLI)
    client.sendall(HEAD)
    assert stepped.answers(client) == 1
    assert not stepped.connections.register_backoff.has_failed


@pytest.fixture
def deaf(stepped):
    """A server whose inner epoll takes nobody, with a client that has sent something unnoticed."""
    failing = stepped.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 9999)
    client = stepped.client()
    stepped.passes(2 * MILLI)
    assert failing.failed
    assert stepped.connections.parked_count == 1
    client.sendall(HEAD)
    yield stepped, client, failing
    failing.codes.clear()


def test_one_that_spoke_unheard_is_served_though_the_epoll_never_takes_it(deaf):
    stepped, client, failing = deaf
    stepped.connections.admission.min_idle = 1 << 60  # nobody is evicted
    for _ in range(3):
        stepped.passes(200 * MILLI)
        assert stepped.answers(client) == 1
        stepped.passes(3 * SECOND, 50 * MILLI)  # it is parked again meanwhile
        assert stepped.connections.parked_count == 1
        assert failing.codes
        client.sendall(HEAD)
    stepped.passes(200 * MILLI)
    assert stepped.answers(client) == 1


def test_one_that_spoke_unheard_does_not_make_room_for_others(deaf):
    stepped, client, _ = deaf
    stepped.connections.admission.min_idle = 0
    stepped.clock.now += SECOND
    stepped.connections.evict_idle()
    assert stepped.connections.client_count == 1
    assert stepped.answers(client) == 1


def test_one_that_spoke_unheard_is_not_closed_as_idle(deaf):
    stepped, client, _ = deaf
    (fd,) = stepped.connections.pending_registrations
    stepped.clock.now = stepped.connections.idle_until[fd] + SECOND
    stepped.connections._close_expired()
    assert stepped.connections.client_count == 1
    assert stepped.connections.expired == 0
    assert stepped.answers(client) == 1


def test_one_that_spoke_unheard_is_not_closed_at_a_stop(deaf):
    stepped, client, _ = deaf
    stepped.connections.close_owned(stepped.server.owner_id)
    assert stepped.connections.client_count == 1
    assert stepped.answers(client) == 1


def test_a_look_for_the_unheard_that_is_interrupted_is_made_again(deaf, monkeypatch):
    stepped, client, _ = deaf

    class Interrupted:
        calls = 0

        def register(self, fd, events):
            pass

        def poll(self, span):
            Interrupted.calls += 1
            raise fault(errno.EINTR)

    with monkeypatch.context() as patched:
        patched.setattr(parked, "poll", Interrupted)
        stepped.passes(10 * MILLI)
        assert Interrupted.calls
        assert stepped.connections.client_count == 1
    stepped.passes(200 * MILLI)
    assert stepped.answers(client) == 1


def test_one_that_is_closed_meanwhile_is_not_watched_for_its_successor(stepped):
    stepped.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 3)
    client = stepped.client()
    stepped.passes(2 * MILLI)
    (fd,) = stepped.connections.pending_registrations
    stepped.connections._close_parked(fd)
    successor = stepped.client(HEAD)
    assert stepped.answers(successor) == 1
    assert stepped.connections.client_count == 1
    assert not stepped.connections.pending_registrations
    client.close()
    stepped.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 3)
    stepped.client()
    stepped.passes(2 * MILLI)
    stepped.connections._close_parked(next(iter(stepped.connections.pending_registrations)))
    stepped.passes(20 * MILLI)
    assert stepped.faults == []
    assert stepped.server.connection_count == 1
    assert not stepped.connections.pending_registrations


def test_one_that_the_epoll_cannot_take_at_all_is_closed_and_reported(stepped):
    stepped.loop.parked_epoll.fail("register", errno.EPERM)
    stepped.client(HEAD)
    stepped.passes(10 * MILLI)
    assert not stepped.connections.client_count
    assert [error.errno for error in stepped.faults] == [errno.EPERM]
    stepped.faults.clear()


@pytest.mark.parametrize("code", [errno.EINTR, errno.ENOMEM, errno.ENOBUFS, errno.EAGAIN])
def test_a_parked_one_that_cannot_be_read_at_once_is_read_later(stepped, monkeypatch, code):
    client = stepped.client()
    stepped.passes(5 * MILLI)
    monkeypatch.setattr(accepted.os, "read", Failing(os.read, code, code))
    client.sendall(HEAD)
    assert stepped.answers(client) == 1


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_a_parked_one_whose_connection_is_broken_is_closed(stepped, monkeypatch, code):
    client = stepped.client()
    stepped.passes(5 * MILLI)
    monkeypatch.setattr(accepted.os, "read", Failing(os.read, code))
    client.sendall(HEAD)
    stepped.passes(5 * MILLI)
    assert not stepped.connections.client_count
    assert not stepped.taken


@pytest.mark.parametrize("code", [errno.EINTR, errno.EIO])
def test_a_close_that_raises_an_error_leaves_no_count_behind(stepped, monkeypatch, code):
    client = stepped.client()
    stepped.passes(5 * MILLI)
    close = os.close

    def closing(fd):
        close(fd)
        raise fault(code)

    monkeypatch.setattr(parked.os, "close", closing)
    client.close()
    stepped.passes(5 * MILLI)
    assert not stepped.connections.client_count
    assert not stepped.server.connection_count


def test_reads_of_one_byte_make_a_whole_request(stepped, monkeypatch):
    read = os.read
    monkeypatch.setattr(accepted.os, "read", lambda fd, most: read(fd, 1))
    client = stepped.client(HEAD)
    assert stepped.answers(client) == 1
