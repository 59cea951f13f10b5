"""Load reports that gateways send each other, and what probes may cost."""

import pytest
from helpers import SECOND, TERMS, Drive, gateway, row, task
from hypothesis import given
from hypothesis import strategies as st

from gaproute import interface as face
from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.reports import load_report_codec
from gaproute.decisions.reports.load_report_codec import host_mark
from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.housekeeping import PROBE_INTERVAL
from gaproute.decisions.routing.load_report_sharing import MAX_COST_SHARE, MAX_PROBE_BUDGET
from gaproute.interface import HostLoadReport, Result

SHARING_TERMS = {
    "probes_allowed": True,
    "reports_by_probe": True,
    "probe_price": 0.025,
    "peer_price": 0.01,
    "peers_allowed": True,
    "gateways": 200,
    "reported_figures": ("cpu_busy", "memory_busy"),
}


def shared(*rows, **changes):
    return gateway(*rows, **SHARING_TERMS | changes)


def play(made, until, now=0):
    """The hosts that housekeeping probes until then."""
    housekeeping, probed = made.housekeep(now), []
    action = housekeeping.send(None)
    while now < until:
        if isinstance(action, face.Probe):
            probed.append(action.host)
            action = housekeeping.send(None)
        else:
            now = action.until
            action = housekeeping.send((now, None))
    return probed


def test_a_load_report_sent_is_a_load_report_received():
    one, other = shared(), shared()
    payload = one.probe_ended(0, "a", HostLoadReport(cpu_busy=0.5, memory_busy=0.2), good=True)
    assert len(payload) == 4
    other.peer_message_received(SECOND, payload)
    host = other.hosts_by_id["a"]
    assert host.reported_at == SECOND
    assert host.report.in_hand is None
    assert host.report.cpu_busy == pytest.approx(0.5, abs=0.01)
    assert host.memory_busy == pytest.approx(0.2, abs=0.01)


@pytest.mark.parametrize("changes", [{"peers_allowed": False}, {"gateways": 1}, {"reported_figures": ()}])
def test_nothing_is_sent_without_a_way_a_receiver_or_a_figure(changes):
    assert shared(**changes).probe_ended(0, "a", HostLoadReport(cpu_busy=0.5), good=True) is None


def test_a_failed_probe_and_an_unknown_host_are_not_sent():
    made = shared()
    assert made.probe_ended(0, "a", HostLoadReport(cpu_busy=0.5), good=False) is None
    assert made.probe_ended(0, "x", HostLoadReport(cpu_busy=0.5), good=True) is None


def test_two_hosts_of_one_mark_are_neither_sent_nor_received(monkeypatch):
    monkeypatch.setattr(
        load_report_codec, "host_mark", lambda name: b"zz" if name in "ab" else host_mark(name)
    )
    made = shared()
    assert made.probe_ended(0, "a", HostLoadReport(cpu_busy=0.5), good=True) is None
    made.peer_message_received(SECOND, b"zz\1\1")
    assert made.hosts_by_id["a"].reported_at < SECOND
    assert made.hosts_by_id["b"].reported_at < SECOND


@given(st.binary(max_size=300))
def test_any_bytes_are_received_unharmed(payload):
    made = shared()
    made.peer_message_received(0, payload)
    made.peer_message_received(0, host_mark("a") + payload)


def test_a_removed_host_is_no_longer_sent():
    made = shared()
    payload = made.probe_ended(0, "a", HostLoadReport(cpu_busy=0.5), good=True)
    made.update_hosts(0, [row("a", state=face.ListedHostState.GONE)], complete=False)
    made.peer_message_received(1, payload)
    assert made.hosts_by_id["a"].reported_at < 1
    assert made.probe_ended(1, "a", HostLoadReport(cpu_busy=0.5), good=True) is None


@pytest.mark.parametrize("gateways", [2, 20, 200])
def test_probes_and_reports_cost_no_more_than_their_worth_of_the_requests(gateways):
    made, requests = shared(gateways=gateways), 400
    probes = 0
    for number in range(requests):
        Drive(made, task(str(number)), number * SECOND).hears(number * SECOND, Result.OK)
        probes += len(play(made, (number + 1) * SECOND, number * SECOND))
    cost = 0.025 + 0.01 * gateways * 4 / 256
    assert (
        0.9 * MAX_COST_SHARE * requests
        <= probes * cost
        <= MAX_COST_SHARE * requests + MAX_PROBE_BUDGET * cost
    )


def test_probes_that_cost_nothing_are_made_without_requests():
    made = shared(probe_price=0.0, peer_price=0.0)
    assert len(play(made, SECOND)) >= 3


def test_a_host_heard_of_lately_is_not_probed_and_the_longest_unheard_is_first():
    made = shared(probe_price=0.0, peer_price=0.0, peers_allowed=False)
    for name in "abc":
        made.probe_ended(SECOND, name, HostLoadReport(cpu_busy=0.5), good=True)
    made.probe_ended(SECOND + 5, "a", HostLoadReport(cpu_busy=0.5), good=True)
    pick = made.report_sharing.host_to_probe
    assert pick(SECOND + PROBE_INTERVAL - 1, made.active_hosts, PROBE_INTERVAL, RandomGenerator(1)) is None
    assert pick(SECOND + PROBE_INTERVAL, made.active_hosts, PROBE_INTERVAL, RandomGenerator(1)).id == "b"


def test_gateways_that_hear_the_same_do_not_all_probe_the_same_host():
    rows = [row(str(number)) for number in range(40)]
    picked = set()
    for seed in range(40):
        one = Gateway(seed * 7919, TERMS._replace(**SHARING_TERMS), 0)
        one.update_hosts(0, rows, complete=True)
        one.report_sharing.probe_budget = 1
        picked.add(one.report_sharing.host_to_probe(SECOND, one.active_hosts, PROBE_INTERVAL, one.random).id)
    assert len(picked) > 4
