"""Failing system calls: what the gateway learns about hosts, and what it writes to a log pipe."""

import errno
import json
import os
import socket

import pytest
from failing import Failing, fault
from scripted import MILLI, SECOND, Handed

from gaproute import interface
from gaproute.core.in_flight import AttemptResult
from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.hosts import results
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve.client import KServeClient
from gaproute.http1 import NoResponseError
from gaproute.interface.call import Call
from gaproute.loop import Loop, SteppedClock, dialing
from gaproute.platform import log as log_module
from gaproute.platform.log import Log

LOCAL_ERRNOS = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL]


class FailingSockets:
    """Stands for the socket module in `dialing`: no socket can be created."""

    def __init__(self, error_number):
        self.socket = Failing(socket.socket, *[error_number] * 999)

    def __getattr__(self, name):
        return getattr(socket, name)


@pytest.fixture
def make_client(monkeypatch):
    """Makes a KServe client of one host; each of its connections fails with the errno."""
    loops = []

    def make(error_number):
        monkeypatch.setattr(dialing, "socket", FailingSockets(error_number))
        loop = Loop(SteppedClock(now=7 * SECOND))
        loops.append(loop)
        client = KServeClient(loop, ConnectionReusePolicy())
        listed = interface.ListedHost("a", 0, 0, interface.ListedHostState.ACTIVE, 1.0, None)
        client.update([Endpoint(listed, "127.0.0.1:9")], complete=True)
        return client

    yield make
    for loop in loops:
        loop.close()


@pytest.mark.parametrize("error_number", LOCAL_ERRNOS)
def test_local_shortage_while_connecting_is_no_failure_of_the_host(make_client, error_number):
    client, callback_results = make_client(error_number), []
    call = Call("f", "", (), b"")
    deadline = client.loop.now() + SECOND
    client.send(
        "a",
        call,
        interface.Idempotency.NON_IDEMPOTENT,
        "t",
        deadline,
        deadline,
        lambda result: callback_results.append(result),
    )
    client.order(
        "a", "f", 1, lambda result, instance_count: callback_results.append((result, instance_count))
    )
    client.probe("a", lambda report, *, good: callback_results.append((good, report)))
    client.loop.run(until=client.loop.sleep(SECOND))
    assert sorted(callback_results, key=len) == [
        (interface.Result.NOT_SENT, 0),
        AttemptResult(interface.Result.NOT_SENT, None),
    ]
    assert not client.hosts["a"].open_connections
    assert not client.hosts["a"].connecting_exchanges


def test_unreachable_network_is_a_failed_connection_to_the_host(make_client):
    client, callback_results = make_client(errno.EHOSTUNREACH), []
    client.order(
        "a", "f", 1, lambda result, instance_count: callback_results.append((result, instance_count))
    )
    client.probe("a", lambda report, *, good: callback_results.append((good, report)))
    client.loop.run(until=client.loop.sleep(SECOND))
    assert callback_results == [(interface.Result.CONNECT_FAILED, 0), (False, None)]


@pytest.mark.parametrize("error_number", LOCAL_ERRNOS)
def test_started_request_may_have_run_whatever_error_ended_it(error_number):
    assert (
        results.result_of_failed_exchange(
            NoResponseError("", any_byte_sent=True, connected=True, error=fault(error_number))
        )
        is interface.Result.RESET
    )
    assert (
        results.result_of_failed_exchange(
            NoResponseError("", any_byte_sent=False, connected=True, error=fault(error_number))
        )
        is interface.Result.NOT_SENT
    )
    assert (
        results.result_of_failed_exchange(NoResponseError("closed", any_byte_sent=False, connected=True))
        is interface.Result.CONNECT_FAILED
    )


def drop_host_connections(gateway):
    """Closes all connections to hosts, so that the next request needs a new one."""
    for host in gateway.process.host_client.hosts.values():
        for connection in list(host.connections):
            connection.drop()


@pytest.mark.parametrize("error_number", LOCAL_ERRNOS)
def test_request_is_served_after_local_shortages_that_count_against_no_host(gate, monkeypatch, error_number):
    gateway = gate(clock=Handed())
    client = gateway.client()
    gateway.turns()
    drop_host_connections(gateway)
    socket_module, failing_sockets = dialing.socket, FailingSockets(error_number)
    monkeypatch.setattr(dialing, "socket", failing_sockets)
    client.ask(1)
    for _ in range(20):
        gateway.passes(MILLI)
    host = gateway.process.core.gateway.hosts_by_id["s-0"]
    assert failing_sockets.socket.failed > 1
    assert not host.bad_results
    assert not gateway.came()
    monkeypatch.setattr(dialing, "socket", socket_module)
    for _ in range(20):
        gateway.passes(10 * MILLI)
    assert "result" in client.answers[0]
    assert gateway.came() == 1


def test_probe_that_this_machine_cannot_send_reports_nothing_about_the_host(gate, monkeypatch):
    gateway, callback_results = gate(clock=Handed()), []
    drop_host_connections(gateway)
    monkeypatch.setattr(dialing, "socket", FailingSockets(errno.EMFILE))
    gateway.process.host_client.probe("s-0", lambda report, *, good: callback_results.append(good))
    gateway.process.host_client.order(
        "s-0", "f", 1, lambda result, instance_count: callback_results.append(result)
    )
    for _ in range(50):
        gateway.passes(MILLI)
    assert callback_results == [interface.Result.NOT_SENT]
    drop_host_connections(gateway)
    gateway.process.host_client.max_connections = 0
    gateway.process.host_client.probe("s-0", lambda report, *, good: callback_results.append(good))
    gateway.process.host_client.order(
        "s-0", "f", 1, lambda result, instance_count: callback_results.append(result)
    )
    gateway.turns()
    assert callback_results == [interface.Result.NOT_SENT, interface.Result.NOT_SENT]


# Logging to a pipe


def logged_events(read_end):
    return [json.loads(line)["event"] for line in os.read(read_end, 1 << 20).splitlines()]


@pytest.fixture
def pipe():
    read_end, write_end = os.pipe2(os.O_NONBLOCK)
    yield read_end, write_end
    os.close(read_end)
    os.close(write_end)


def test_log_lines_are_complete_if_each_write_takes_one_byte(pipe, monkeypatch):
    read_end, write_end = pipe
    write = os.write
    monkeypatch.setattr(log_module.os, "write", lambda descriptor, data: write(descriptor, data[:1]))
    log = Log(write_end)
    log.info("first", number=1)
    log.info("second")
    assert logged_events(read_end) == ["first", "second"]


def test_rest_of_a_partly_written_log_line_precedes_the_next_line(pipe, monkeypatch):
    read_end, write_end = pipe
    write, capacity = os.write, [10]

    def write_up_to_capacity(descriptor, data):
        if not capacity[0]:
            raise fault(errno.EAGAIN)
        written = write(descriptor, data[: capacity[0]])
        capacity[0] -= written
        return written

    monkeypatch.setattr(log_module.os, "write", write_up_to_capacity)
    log = Log(write_end)
    log.info("cut")
    log.info("lost")
    capacity[0] = 1 << 20
    log.info("next")
    assert logged_events(read_end) == ["cut", "next"]


def test_log_line_that_the_pipe_does_not_take_is_dropped_and_not_buffered(pipe, monkeypatch):
    monkeypatch.setattr(log_module.os, "write", Failing(os.write, errno.EAGAIN, errno.EPIPE))
    log = Log(pipe[1])
    log.info("lost")
    log.info("lost")
    assert log.unwritten_remainder == b""
    log.info("next")
    assert logged_events(pipe[0]) == ["next"]
