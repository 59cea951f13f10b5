"""Load reports that gateways share, and the budget for probes."""

import pytest
from helpers import ROUTING_SETTINGS, SECOND, Drive, row, task
from helpers import gateway as make_gateway
from hypothesis import given
from hypothesis import strategies as st

from gaproute import interface
from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.reports import load_report_codec
from gaproute.decisions.reports.load_report_codec import host_hash
from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.housekeeping import PROBE_INTERVAL
from gaproute.decisions.routing.load_report_sharing import MAX_COST_SHARE, MAX_PROBE_BUDGET
from gaproute.interface import HostLoadReport, Result

SHARING_SETTINGS = {
    "probes_allowed": True,
    "reports_by_probe": True,
    "probe_price": 0.025,
    "peer_price": 0.01,
    "peers_allowed": True,
    "gateways": 200,
    "reported_figures": ("cpu_busy", "memory_busy"),
}


def make_sharing_gateway(*rows, **changes):
    return make_gateway(*rows, **SHARING_SETTINGS | changes)


def housekeep_until(gateway, until, now=0):
    """Returns the hosts that housekeeping probes until that time."""
    housekeeping, probed = gateway.housekeep(now), []
    action = housekeeping.send(None)
    while now < until:
        if isinstance(action, interface.Probe):
            probed.append(action.host)
            action = housekeeping.send(None)
        else:
            now = action.until
            action = housekeeping.send((now, None))
    return probed


def test_a_sent_load_report_is_received():
    sender, receiver = make_sharing_gateway(), make_sharing_gateway()
    message = sender.probe_ended(0, "a", HostLoadReport(cpu_busy=0.5, memory_busy=0.2), good=True)
    assert len(message) == 4
    receiver.peer_message_received(SECOND, message)
    host = receiver.hosts_by_id["a"]
    assert host.reported_at == SECOND
    assert host.report.in_hand is None
    assert host.report.cpu_busy == pytest.approx(0.5, abs=0.01)
    assert host.memory_busy == pytest.approx(0.2, abs=0.01)


@pytest.mark.parametrize("changes", [{"peers_allowed": False}, {"gateways": 1}, {"reported_figures": ()}])
def test_nothing_is_sent_without_permission_a_receiver_or_a_figure(changes):
    assert (
        make_sharing_gateway(**changes).probe_ended(0, "a", HostLoadReport(cpu_busy=0.5), good=True) is None
    )


def test_reports_of_a_failed_probe_and_of_an_unknown_host_are_not_sent():
    gateway = make_sharing_gateway()
    assert gateway.probe_ended(0, "a", HostLoadReport(cpu_busy=0.5), good=False) is None
    assert gateway.probe_ended(0, "x", HostLoadReport(cpu_busy=0.5), good=True) is None


def test_reports_of_two_hosts_with_the_same_mark_are_neither_sent_nor_received(monkeypatch):
    monkeypatch.setattr(
        load_report_codec, "host_hash", lambda name: b"zz" if name in "ab" else host_hash(name)
    )
    gateway = make_sharing_gateway()
    assert gateway.probe_ended(0, "a", HostLoadReport(cpu_busy=0.5), good=True) is None
    gateway.peer_message_received(SECOND, b"zz\1\1")
    assert gateway.hosts_by_id["a"].reported_at < SECOND
    assert gateway.hosts_by_id["b"].reported_at < SECOND


@given(st.binary(max_size=300))
def test_receiving_arbitrary_bytes_raises_no_error(message):
    gateway = make_sharing_gateway()
    gateway.peer_message_received(0, message)
    gateway.peer_message_received(0, host_hash("a") + message)


def test_reports_of_a_removed_host_are_neither_sent_nor_received():
    gateway = make_sharing_gateway()
    message = gateway.probe_ended(0, "a", HostLoadReport(cpu_busy=0.5), good=True)
    gateway.update_hosts(0, [row("a", state=interface.ListedHostState.GONE)], complete=False)
    gateway.peer_message_received(1, message)
    assert gateway.hosts_by_id["a"].reported_at < 1
    assert gateway.probe_ended(1, "a", HostLoadReport(cpu_busy=0.5), good=True) is None


@pytest.mark.parametrize("gateways", [2, 20, 200])
def test_probes_and_reports_use_the_budget_and_do_not_exceed_it(gateways):
    gateway, requests = make_sharing_gateway(gateways=gateways), 400
    probes = 0
    for number in range(requests):
        Drive(gateway, task(str(number)), number * SECOND).hears(number * SECOND, Result.OK)
        probes += len(housekeep_until(gateway, (number + 1) * SECOND, number * SECOND))
    cost = 0.025 + 0.01 * gateways * 4 / 256
    assert (
        0.9 * MAX_COST_SHARE * requests
        <= probes * cost
        <= MAX_COST_SHARE * requests + MAX_PROBE_BUDGET * cost
    )


def test_probes_without_cost_are_sent_without_requests():
    gateway = make_sharing_gateway(probe_price=0.0, peer_price=0.0)
    assert len(housekeep_until(gateway, SECOND)) >= 3


def test_a_host_with_a_fresh_report_is_not_probed_and_the_oldest_report_comes_first():
    gateway = make_sharing_gateway(probe_price=0.0, peer_price=0.0, peers_allowed=False)
    for name in "abc":
        gateway.probe_ended(SECOND, name, HostLoadReport(cpu_busy=0.5), good=True)
    gateway.probe_ended(SECOND + 5, "a", HostLoadReport(cpu_busy=0.5), good=True)
    host_to_probe = gateway.report_sharing.host_to_probe
    assert (
        host_to_probe(SECOND + PROBE_INTERVAL - 1, gateway.active_hosts, PROBE_INTERVAL, RandomGenerator(1))
        is None
    )
    assert (
        host_to_probe(SECOND + PROBE_INTERVAL, gateway.active_hosts, PROBE_INTERVAL, RandomGenerator(1)).id
        == "b"
    )


def test_gateways_with_the_same_reports_do_not_all_probe_the_same_host():
    rows = [row(str(number)) for number in range(40)]
    probed = set()
    for seed in range(40):
        gateway = Gateway(seed * 7919, ROUTING_SETTINGS._replace(**SHARING_SETTINGS), 0)
        gateway.update_hosts(0, rows, complete=True)
        gateway.report_sharing.probe_budget = 1
        probed.add(
            gateway.report_sharing.host_to_probe(
                SECOND, gateway.active_hosts, PROBE_INTERVAL, gateway.random
            ).id
        )
    assert len(probed) > 4
