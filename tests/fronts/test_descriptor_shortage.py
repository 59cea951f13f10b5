"""Descriptors that run out: what is retried, and how capacity is made and divided."""

import errno
import os
import resource

import pytest
from scripted import MILLI, SECOND, Handed

from gaproute.decisions.admission.admission import EVICTIONS_PER_SHORTAGE
from gaproute.decisions.connections.descriptor_shares import PROCESS_DESCRIPTORS
from gaproute.loop import connect
from gaproute.loop.addresses import parse_address
from gaproute.loop.dialing import FIRST_DIAL_PAUSE
from gaproute.platform.reload import READ_BACKOFF
from gaproute.platform.status import STATUS_INTERVAL


@pytest.fixture
def exhausted():
    """A call that leaves no descriptor to be had, and one that gives them back."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    def take():
        free = os.dup(0)
        os.close(free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))

    def give():
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    yield take, give
    give()


def test_without_descriptors_a_reload_is_not_lost_the_status_goes_on_and_the_oldest_idle_go(gate, exhausted):
    take, give = exhausted
    made = gate(clock=Handed())
    clients = []
    for _ in range(EVICTIONS_PER_SHORTAGE + 2):  # each idle for a little longer than the next
        clients.append(made.client())
        made.turns(5)
        made.passes(10 * MILLI)
    made.passes(100 * MILLI)
    made.configuration["changelog"] = "127.0.0.1:9"
    made.write()
    take()
    made.process.status.write()
    made.process.reload()
    made.turns()
    give()
    assert [what for what, _ in made.lines[-2:]] == ["status", "configuration_read_failed"]
    assert made.lines[-2][1]["open_descriptors"] is made.lines[-2][1]["resident_memory_mb"] is None
    assert [client.ended for client in clients] == [True] * EVICTIONS_PER_SHORTAGE + [False] * 2
    made.passes(READ_BACKOFF + MILLI)
    assert made.lines[-1][0] == "configuration_reloaded"
    assert made.process.host_list.watcher.address == parse_address("127.0.0.1:9")
    made.passes(STATUS_INTERVAL)
    assert [what for what, _ in made.lines].count("status") == 4  # both go on


def test_a_dial_that_finds_no_descriptor_twice_makes_room_and_is_dialled_in_it(gate, exhausted):
    take, give = exhausted
    made = gate(clock=Handed())
    idle, dialed = made.client(), []
    made.turns()
    made.passes(110 * MILLI)
    take()
    connect(
        made.loop,
        parse_address(made.hosts[0].address),
        SECOND,
        lambda sock, error: dialed.append((sock, error)),
    )
    made.turns()
    assert not dialed
    assert not idle.ended
    made.passes(FIRST_DIAL_PAUSE)
    made.passes(2 * FIRST_DIAL_PAUSE)
    give()
    made.until(lambda: dialed and idle.ended)
    sock, error = dialed[0]
    assert error is None
    sock.close()


def test_a_dial_for_which_no_room_can_be_made_tells_so_within_some_ms(gate, exhausted):
    take, give = exhausted
    made = gate(clock=Handed())
    errors = []
    take()
    connect(made.loop, parse_address(made.hosts[0].address), SECOND, lambda sock, error: errors.append(error))
    for _ in range(40):
        made.passes(MILLI)
    give()
    assert [error.errno for error in errors] == [errno.EMFILE]


@pytest.mark.parametrize("sockets", [32, 64, 90, 256, 1024])
def test_what_clients_hosts_and_the_process_may_hold_is_never_more_than_the_limit(gate, sockets):
    process = gate(sockets=sockets).process
    most = process.front.connections.admission.max_connections
    assert most + process.hosts.max_connections + PROCESS_DESCRIPTORS <= sockets
    assert process.hosts.max_connections > 0
    assert most >= sockets // 3 or sockets < 64  # what clients may hold by the protocol
