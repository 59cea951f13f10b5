"""What a hollow gateway's control costs, counted at two sizes on the simulated clock: a cost that turns
steeper fails by its name. All figures are counts of a fixed seed, the same on every machine."""

import gc
import sys

import pytest

from gaproute.hollow import PARTS
from gaproute.hollow.simulation import SimulatedFleet

SMALL, LARGE, SEED = 40, 120, 1
SETTLE, COUNTED = 4, 3  # simulated seconds
RENEWAL = 15  # simulated seconds in which each lease is renewed once
BUDGET = 4096  # bytes a second that a gateway may spend
HOSTS = 60
STEEPER = 1.1  # times the small fleet's figure, for a cost that does not depend on the size
RAFT_MEMBERS = ("gateway-0", "gateway-1", "gateway-2")


class Costs:
    """Counts of one fleet; rates are a second, of a gateway."""

    def __init__(self, size):
        self.size, fleet = size, SimulatedFleet(size, seed=SEED, hosts=HOSTS)
        fleet.run(SETTLE)
        self.entries, before, sent = fleet.totals(), fleet.totals(), self.sent(fleet)
        events = fleet.loop.events_played
        fleet.run(COUNTED)
        after = fleet.totals()
        self.rates = {name: (after[name] - before[name]) / COUNTED / size for name in after}
        self.rates["events"] = (fleet.loop.events_played - events) / COUNTED / size
        self.sent_by = {name: (total - sent[name]) / COUNTED for name, total in self.sent(fleet).items()}
        self.rates["calls"] = calls_of(fleet, 1) / size
        self.done = fleet.loop.events_played
        fleet.close()

    @staticmethod
    def sent(fleet):
        """{gateway: bytes of all its parts}"""
        return {
            name: sum(part.get("bytes", 0) for part in gateway.counters().values())
            for name, gateway in fleet.gateways.items()
        }


def calls_of(fleet, seconds):
    """Python functions called while the fleet plays so long, but for those that a garbage collection calls:
    when one comes depends on what the process did before."""
    count = 0

    def counted(frame, event, argument):
        nonlocal count
        count += event == "call"

    gc.disable()
    sys.setprofile(counted)
    try:
        fleet.run(seconds)
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


@pytest.fixture(scope="module")
def small():
    return Costs(SMALL)


@pytest.fixture(scope="module")
def large():
    return Costs(LARGE)


@pytest.mark.parametrize(
    "cost",
    [
        "membership.messages",
        "membership.bytes",
        "demand.messages",
        "demand.bytes",
        "events",
        "calls",
    ],
)
def test_a_gateways_cost_does_not_grow_with_the_fleet(small, large, cost):
    assert 0 < large.rates[cost] <= STEEPER * small.rates[cost]


@pytest.mark.parametrize("size", ["small", "large"])
def test_a_gateway_sends_less_than_its_budget(request, size):
    costs = request.getfixturevalue(size)
    others = [sent for name, sent in costs.sent_by.items() if name not in RAFT_MEMBERS]
    assert max(others) < BUDGET


class LeaseCosts:
    """Of gateways with leases alone, over one renewal of each lease; the busiest leads the Raft group."""

    def __init__(self, size):
        fleet = SimulatedFleet(size, seed=SEED, part_factories={"leases": PARTS["leases"]}, hosts=1)
        fleet.run(SETTLE)
        before, sent = fleet.totals(), Costs.sent(fleet)
        fleet.run(RENEWAL)
        after = fleet.totals()
        self.rates = {name: (after[name] - before[name]) / RENEWAL / size for name in after}
        self.busiest = max(total - sent[name] for name, total in Costs.sent(fleet).items()) / RENEWAL
        fleet.close()


@pytest.fixture(scope="module")
def lease_costs():
    return [LeaseCosts(size) for size in (SMALL, LARGE)]


@pytest.mark.parametrize("cost", ["leases.messages", "leases.bytes"])
def test_leases_cost_a_gateway_no_more_in_a_larger_fleet(lease_costs, cost):
    few, many = [costs.rates[cost] for costs in lease_costs]
    assert 0 < many <= STEEPER * few


def test_a_raft_members_bytes_grow_no_faster_than_the_fleet(lease_costs):
    few, many = [costs.busiest for costs in lease_costs]
    assert few < many <= STEEPER * few * LARGE / SMALL


def test_members_held_are_the_other_gateways(small, large):
    for costs in (small, large):
        assert costs.entries["membership.entries"] == costs.size * (costs.size - 1)


def test_host_entries_do_not_grow_with_the_fleet(small, large):
    for costs in (small, large):
        assert costs.entries["hosts.entries"] == 2 * HOSTS * costs.size


def test_demand_entries_grow_no_faster_than_the_fleet(small, large):
    held = [costs.entries["demand.entries"] / costs.size for costs in (small, large)]
    assert held[1] <= STEEPER * held[0] * LARGE / SMALL


def test_all_hold_their_leases_and_nothing_is_refused(small, large):
    for costs in (small, large):
        assert costs.entries["leases.held"] == costs.size
        refused = [name for name in costs.entries if name.endswith(".refused") and costs.entries[name]]
        assert not refused


def test_the_same_seed_gives_the_same_counts(small):
    again = Costs(SMALL)
    assert (again.done, again.rates, again.entries) == (small.done, small.rates, small.entries)
