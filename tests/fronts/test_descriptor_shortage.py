"""Shortages of descriptors: what is retried, and how capacity is freed and divided."""

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
def descriptors():
    """A function that leaves no descriptor free, and one that restores the limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)

    def exhaust():
        free = os.dup(0)
        os.close(free)
        resource.setrlimit(resource.RLIMIT_NOFILE, (free, hard))

    def restore():
        resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))

    yield exhaust, restore
    restore()


def test_without_descriptors_a_reload_is_retried_status_goes_on_and_the_longest_idle_are_closed(
    gate, descriptors
):
    exhaust, restore = descriptors
    gateway = gate(clock=Handed())
    clients = []
    for _ in range(EVICTIONS_PER_SHORTAGE + 2):  # each idle for a little longer than the next
        clients.append(gateway.client())
        gateway.turns(5)
        gateway.passes(10 * MILLI)
    gateway.passes(100 * MILLI)
    gateway.configuration["changelog"] = "127.0.0.1:9"
    gateway.write()
    exhaust()
    gateway.process.status.write()
    gateway.process.reload()
    gateway.turns()
    restore()
    assert [event for event, _ in gateway.lines[-2:]] == ["status", "configuration_read_failed"]
    assert gateway.lines[-2][1]["open_descriptors"] is gateway.lines[-2][1]["resident_memory_mb"] is None
    assert [client.ended for client in clients] == [True] * EVICTIONS_PER_SHORTAGE + [False] * 2
    gateway.passes(READ_BACKOFF + MILLI)
    assert gateway.lines[-1][0] == "configuration_reloaded"
    assert gateway.process.host_list.watcher.address == parse_address("127.0.0.1:9")
    gateway.passes(STATUS_INTERVAL)
    assert [event for event, _ in gateway.lines].count("status") == 4  # the status goes on


def test_a_dial_that_finds_no_descriptor_twice_evicts_an_idle_connection_and_succeeds(gate, descriptors):
    exhaust, restore = descriptors
    gateway = gate(clock=Handed())
    idle, dialed = gateway.client(), []
    gateway.turns()
    gateway.passes(110 * MILLI)
    exhaust()
    connect(
        gateway.loop,
        parse_address(gateway.hosts[0].address),
        SECOND,
        lambda sock, error: dialed.append((sock, error)),
    )
    gateway.turns()
    assert not dialed
    assert not idle.ended
    gateway.passes(FIRST_DIAL_PAUSE)
    gateway.passes(2 * FIRST_DIAL_PAUSE)
    restore()
    gateway.until(lambda: dialed and idle.ended)
    sock, error = dialed[0]
    assert error is None
    sock.close()


def test_a_dial_fails_within_some_ms_if_no_descriptor_can_be_freed(gate, descriptors):
    exhaust, restore = descriptors
    gateway = gate(clock=Handed())
    errors = []
    exhaust()
    connect(
        gateway.loop,
        parse_address(gateway.hosts[0].address),
        SECOND,
        lambda sock, error: errors.append(error),
    )
    for _ in range(40):
        gateway.passes(MILLI)
    restore()
    assert [error.errno for error in errors] == [errno.EMFILE]


@pytest.mark.parametrize("sockets", [32, 64, 90, 256, 1024])
def test_the_descriptors_of_clients_hosts_and_the_process_stay_within_the_limit(gate, sockets):
    process = gate(sockets=sockets).process
    max_clients = process.front.connections.admission.max_connections
    assert max_clients + process.host_client.max_connections + PROCESS_DESCRIPTORS <= sockets
    assert process.host_client.max_connections > 0
    assert max_clients >= sockets // 3 or sockets < 64  # the share of clients by the protocol
