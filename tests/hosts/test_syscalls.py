"""What the decisions learn of hosts while system calls fail here, and the log while its pipe is full."""

import errno
import json
import os
import socket

import pytest
from failing import Failing, fault
from scripted import MILLI, SECOND, Handed

from gaproute import interface as face
from gaproute.core.in_flight import AttemptResult
from gaproute.decisions.connections.pooling import Pooling
from gaproute.hosts import results
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve.client import KServeClient
from gaproute.http1 import NoResponseError
from gaproute.interface.call import Call
from gaproute.loop import Loop, SteppedClock, dialing
from gaproute.platform import log as logs
from gaproute.platform.log import Log

OWN = [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EADDRNOTAVAIL]


class Sockets:
    """Stands for the socket module where dials are made: each dial fails."""

    def __init__(self, code):
        self.socket = Failing(socket.socket, *[code] * 999)

    def __getattr__(self, name):
        return getattr(socket, name)


@pytest.fixture
def hosts(monkeypatch):
    """Connections to one host by KServe's form, whose dials fail as scripted."""
    loops = []

    def make(code):
        monkeypatch.setattr(dialing, "socket", Sockets(code))
        loop = Loop(SteppedClock(now=7 * SECOND))
        loops.append(loop)
        made = KServeClient(loop, Pooling())
        listed = face.ListedHost("a", 0, 0, face.State.ACTIVE, 1.0, None)
        made.update([Endpoint(listed, "127.0.0.1:9")], complete=True)
        return made

    yield make
    for loop in loops:
        loop.close()


@pytest.mark.parametrize("code", OWN)
def test_what_this_machine_lacks_for_a_dial_is_held_against_no_host(hosts, code):
    made, results = hosts(code), []
    call = Call("f", "", (), b"")
    end = made.loop.now() + SECOND
    made.send("a", call, face.Idempotency.NON_IDEMPOTENT, "t", end, end, lambda heard: results.append(heard))
    made.order("a", "f", 1, lambda result, copies: results.append((result, copies)))
    made.probe("a", lambda report, *, good: results.append((good, report)))
    made.loop.run(until=made.loop.sleep(SECOND))
    assert sorted(results, key=len) == [(face.Result.NOT_SENT, 0), AttemptResult(face.Result.NOT_SENT, None)]
    assert not made.hosts["a"].open
    assert not made.hosts["a"].connecting


def test_a_network_that_is_not_there_counts_as_no_connection_to_the_host(hosts):
    made, results = hosts(errno.EHOSTUNREACH), []
    made.order("a", "f", 1, lambda result, copies: results.append((result, copies)))
    made.probe("a", lambda report, *, good: results.append((good, report)))
    made.loop.run(until=made.loop.sleep(SECOND))
    assert results == [(face.Result.CONNECT_FAILED, 0), (False, None)]


@pytest.mark.parametrize("code", OWN)
def test_what_had_begun_may_have_run_whatever_ended_it(code):
    assert (
        results.of_undelivered(NoResponseError("", any_byte_sent=True, connected=True, error=fault(code)))
        is face.Result.RESET
    )
    assert (
        results.of_undelivered(NoResponseError("", any_byte_sent=False, connected=True, error=fault(code)))
        is face.Result.NOT_SENT
    )
    assert (
        results.of_undelivered(NoResponseError("closed", any_byte_sent=False, connected=True))
        is face.Result.CONNECT_FAILED
    )


def drop_all(made):
    """No connection to a host is left, so that the next request needs a dial."""
    for host in made.process.hosts.hosts.values():
        for link in list(host.connections):
            link.drop()


@pytest.mark.parametrize("code", OWN)
def test_a_gateway_whose_dials_fail_for_a_while_holds_it_against_no_host_and_serves_then(
    gate, monkeypatch, code
):
    made = gate(clock=Handed())
    client = made.client()
    made.turns()
    drop_all(made)
    real, failing = dialing.socket, Sockets(code)
    monkeypatch.setattr(dialing, "socket", failing)
    client.ask(1)
    for _ in range(20):
        made.passes(MILLI)
    host = made.process.core.gateway.hosts_by_id["s-0"]
    assert failing.socket.failed > 1
    assert not host.bad_results
    assert not made.came()
    monkeypatch.setattr(dialing, "socket", real)
    for _ in range(20):
        made.passes(10 * MILLI)
    assert "result" in client.answers[0]
    assert made.came() == 1


def test_a_probe_that_could_not_be_sent_from_here_says_nothing_of_the_host(gate, monkeypatch):
    made, results = gate(clock=Handed()), []
    drop_all(made)
    monkeypatch.setattr(dialing, "socket", Sockets(errno.EMFILE))
    made.process.hosts.probe("s-0", lambda report, *, good: results.append(good))
    made.process.hosts.order("s-0", "f", 1, lambda result, copies: results.append(result))
    for _ in range(50):
        made.passes(MILLI)
    assert results == [face.Result.NOT_SENT]
    drop_all(made)
    made.process.hosts.max_connections = 0
    made.process.hosts.probe("s-0", lambda report, *, good: results.append(good))
    made.process.hosts.order("s-0", "f", 1, lambda result, copies: results.append(result))
    made.turns()
    assert results == [face.Result.NOT_SENT, face.Result.NOT_SENT]


# The log


def lines(reader):
    return [json.loads(line)["event"] for line in os.read(reader, 1 << 20).splitlines()]


@pytest.fixture
def pipe():
    reader, writer = os.pipe2(os.O_NONBLOCK)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def test_lines_are_whole_though_each_write_takes_one_byte(pipe, monkeypatch):
    reader, writer = pipe
    write = os.write
    monkeypatch.setattr(logs.os, "write", lambda fd, data: write(fd, data[:1]))
    log = Log(writer)
    log.info("first", number=1)
    log.info("second")
    assert lines(reader) == ["first", "second"]


def test_the_end_of_a_line_that_had_begun_comes_before_the_next_line(pipe, monkeypatch):
    reader, writer = pipe
    write, room = os.write, [10]

    def short(fd, data):
        if not room[0]:
            raise fault(errno.EAGAIN)
        took = write(fd, data[: room[0]])
        room[0] -= took
        return took

    monkeypatch.setattr(logs.os, "write", short)
    log = Log(writer)
    log.info("cut")
    log.info("lost")
    room[0] = 1 << 20
    log.info("next")
    assert lines(reader) == ["cut", "next"]


def test_a_line_that_nobody_takes_is_lost_and_not_buffered(pipe, monkeypatch):
    monkeypatch.setattr(logs.os, "write", Failing(os.write, errno.EAGAIN, errno.EPIPE))
    log = Log(pipe[1])
    log.info("lost")
    log.info("lost")
    assert log.unwritten == b""
    log.info("next")
    assert lines(pipe[0]) == ["next"]
