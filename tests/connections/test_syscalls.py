"""Parked connections while system calls fail with errnos that Linux documents."""

import errno
import os

import pytest
from failing import Failing, fault
from scripted import MILLI, SECOND

from gaproute.connections import accepted, parked

HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
EPOLL_SHORTAGE_ERRNOS = [errno.ENOSPC, errno.ENOMEM]


@pytest.mark.parametrize("code", EPOLL_SHORTAGE_ERRNOS)
def test_a_new_connection_is_served_although_its_registration_with_the_epoll_fails_at_first(harness, code):
    failing = harness.loop.parked_epoll.fail("register", code, code)
    client = harness.connect_client()
    harness.advance(20 * MILLI)
    assert failing.failed == 2
    assert not harness.connections.pending_registrations
    client.sendall(HEAD)
    assert harness.count_answers(client) == 1


@pytest.mark.parametrize("code", EPOLL_SHORTAGE_ERRNOS)
def test_a_connection_that_is_parked_again_is_served_although_the_epoll_fails_at_first(harness, code):
    client = harness.connect_client(HEAD)
    assert harness.count_answers(client) == 1
    failing = harness.loop.parked_epoll.fail("modify", code, code)
    harness.advance(3 * SECOND, 10 * MILLI)
    assert harness.connections.parked_count == 1
    assert failing.failed == 2
    client.sendall(HEAD)
    assert harness.count_answers(client) == 1


def test_registration_pauses_grow_and_idle_connections_are_evicted_during_a_shortage(harness, monkeypatch):
    evictions = []
    monkeypatch.setattr(harness.connections, "evict_idle", lambda: evictions.append(1))
    failing = harness.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 999)
    client = harness.connect_client()
    harness.advance(2 * SECOND)
    assert 40 <= failing.failed <= 50
    assert len(evictions) == failing.failed - 1
    failing.codes.clear()
    harness.advance(200 * MILLI)
    client.sendall(HEAD)
    assert harness.count_answers(client) == 1
    assert not harness.connections.register_backoff.has_failed


@pytest.fixture
def unregistered(harness):
    """A harness whose epoll of parked connections accepts no registration, a client that has sent a request
    which the epoll does not report, and the failing call."""
    failing = harness.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 9999)
    client = harness.connect_client()
    harness.advance(2 * MILLI)
    assert failing.failed
    assert harness.connections.parked_count == 1
    client.sendall(HEAD)
    yield harness, client, failing
    failing.codes.clear()


def test_an_unregistered_connection_is_served_although_each_registration_fails(unregistered):
    harness, client, failing = unregistered
    harness.connections.admission.min_eviction_idle_time = 1 << 60  # so no connection is evicted
    for _ in range(3):
        harness.advance(200 * MILLI)
        assert harness.count_answers(client) == 1
        harness.advance(3 * SECOND, 50 * MILLI)  # it is parked again in this time
        assert harness.connections.parked_count == 1
        assert failing.codes
        client.sendall(HEAD)
    harness.advance(200 * MILLI)
    assert harness.count_answers(client) == 1


def test_an_unregistered_connection_that_has_sent_bytes_is_not_evicted(unregistered):
    harness, client, _ = unregistered
    harness.connections.admission.min_eviction_idle_time = 0
    harness.clock.now += SECOND
    harness.connections.evict_idle()
    assert harness.connections.client_count == 1
    assert harness.count_answers(client) == 1


def test_an_unregistered_connection_that_has_sent_bytes_is_not_closed_as_idle(unregistered):
    harness, client, _ = unregistered
    (fd,) = harness.connections.pending_registrations
    harness.clock.now = harness.connections.idle_until[fd] + SECOND
    harness.connections._close_expired()
    assert harness.connections.client_count == 1
    assert harness.connections.expired_count == 0
    assert harness.count_answers(client) == 1


def test_an_unregistered_connection_that_has_sent_bytes_is_not_closed_at_a_stop(unregistered):
    harness, client, _ = unregistered
    harness.connections.close_owned(harness.server.owner_id)
    assert harness.connections.client_count == 1
    assert harness.count_answers(client) == 1


def test_an_interrupted_poll_of_unregistered_connections_is_repeated(unregistered, monkeypatch):
    harness, client, _ = unregistered

    class InterruptedPoll:
        calls = 0

        def register(self, fd, events):
            pass

        def poll(self, span):
            InterruptedPoll.calls += 1
            raise fault(errno.EINTR)

    with monkeypatch.context() as patched:
        patched.setattr(parked, "poll", InterruptedPoll)
        harness.advance(10 * MILLI)
        assert InterruptedPoll.calls
        assert harness.connections.client_count == 1
    harness.advance(200 * MILLI)
    assert harness.count_answers(client) == 1


def test_a_retried_registration_skips_a_connection_that_was_closed_meanwhile(harness):
    harness.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 3)
    client = harness.connect_client()
    harness.advance(2 * MILLI)
    (fd,) = harness.connections.pending_registrations
    harness.connections._close_parked(fd)
    successor = harness.connect_client(HEAD)
    assert harness.count_answers(successor) == 1
    assert harness.connections.client_count == 1
    assert not harness.connections.pending_registrations
    client.close()
    harness.loop.parked_epoll.fail("register", *[errno.ENOSPC] * 3)
    harness.connect_client()
    harness.advance(2 * MILLI)
    harness.connections._close_parked(next(iter(harness.connections.pending_registrations)))
    harness.advance(20 * MILLI)
    assert harness.errors == []
    assert harness.server.connection_count == 1
    assert not harness.connections.pending_registrations


def test_a_connection_that_the_epoll_rejects_for_good_is_closed_and_reported(harness):
    harness.loop.parked_epoll.fail("register", errno.EPERM)
    harness.connect_client(HEAD)
    harness.advance(10 * MILLI)
    assert not harness.connections.client_count
    assert [error.errno for error in harness.errors] == [errno.EPERM]
    harness.errors.clear()


@pytest.mark.parametrize("code", [errno.EINTR, errno.ENOMEM, errno.ENOBUFS, errno.EAGAIN])
def test_a_parked_connection_whose_read_fails_transiently_is_read_later(harness, monkeypatch, code):
    client = harness.connect_client()
    harness.advance(5 * MILLI)
    monkeypatch.setattr(accepted.os, "read", Failing(os.read, code, code))
    client.sendall(HEAD)
    assert harness.count_answers(client) == 1


@pytest.mark.parametrize("code", [errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET])
def test_a_parked_connection_that_is_broken_is_closed(harness, monkeypatch, code):
    client = harness.connect_client()
    harness.advance(5 * MILLI)
    monkeypatch.setattr(accepted.os, "read", Failing(os.read, code))
    client.sendall(HEAD)
    harness.advance(5 * MILLI)
    assert not harness.connections.client_count
    assert not harness.requests


@pytest.mark.parametrize("code", [errno.EINTR, errno.EIO])
def test_a_connection_whose_close_raises_an_error_is_no_longer_counted(harness, monkeypatch, code):
    client = harness.connect_client()
    harness.advance(5 * MILLI)
    close = os.close

    def failing_close(fd):
        close(fd)
        raise fault(code)

    monkeypatch.setattr(parked.os, "close", failing_close)
    client.close()
    harness.advance(5 * MILLI)
    assert not harness.connections.client_count
    assert not harness.server.connection_count


def test_a_request_is_assembled_from_reads_of_one_byte(harness, monkeypatch):
    read = os.read
    monkeypatch.setattr(accepted.os, "read", lambda fd, size: read(fd, 1))
    client = harness.connect_client(HEAD)
    assert harness.count_answers(client) == 1
