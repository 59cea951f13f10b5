"""Hollow gateways on the simulated clock: deaths, newcomers, partitions, strangers, further parts."""

import pytest

from benchmarks.scale import faults
from gaproute.hollow import PARTS, ControlPart
from gaproute.hollow.simulation import SimulatedFleet
from gaproute.shared.membership import MemberState, table
from gaproute.shared.membership.invariants import check_membership

MEMBERSHIP = {"membership": PARTS["membership"]}
SECOND = 1_000_000_000


def members(fleet):
    return {name: gateway.parts["membership"].membership for name, gateway in fleet.gateways.items()}


def test_a_death_among_hundreds_is_known_to_all_within_bounds():
    fleet = SimulatedFleet(200, seed=1, part_factories=MEMBERSHIP)
    fleet.run(3)
    fleet.kill("gateway-77")
    tables = [held.members["gateway-77"] for held in members(fleet).values()]
    known = fleet.run_until(lambda: all(member.state >= MemberState.DEAD for member in tables), 60)
    assert known is not None
    assert known < 40
    assert sum(held.suspicion_count for held in members(fleet).values()) < 20
    assert not [
        violation for held in members(fleet).values() for violation in check_membership(held, thorough=True)
    ]
    fleet.close()


def test_a_newcomer_is_known_to_all_and_knows_all():
    fleet = SimulatedFleet(120, seed=2, part_factories=MEMBERSHIP)
    fleet.run(3)
    comer = fleet.start_newcomer(2).parts["membership"].membership
    assert fleet.run_until(lambda: len(comer.table.alive) == 120, 20) is not None
    assert fleet.run_until(
        lambda: all(comer.name in held.members or held is comer for held in members(fleet).values()), 20
    )
    fleet.close()


def test_strangers_beyond_the_bound_are_refused_and_counted(monkeypatch):
    monkeypatch.setattr(table, "MAX_MEMBERS", 30)
    fleet = SimulatedFleet(60, seed=3, part_factories=MEMBERSHIP, seeds=4)
    fleet.run(30)
    tables = members(fleet)
    assert max(len(held.members) for held in tables.values()) == 30
    assert sum(held.rejected_count for held in tables.values()) > 30 * 60
    seeds = [tables[row.name] for row in fleet.rows[:4]]
    alone = [name for name, held in tables.items() if held.live_count() == 1]
    assert len(alone) == 1  # whom no seed has room for gets no answer, and holds all that it knows dead
    assert not any(name in seed.members for name in alone for seed in seeds)
    fleet.close()


def test_parted_regions_hold_each_other_dead_and_heal():
    fleet = SimulatedFleet(50, seed=4, part_factories=MEMBERSHIP)
    fleet.run(3)
    region = fleet.network.region
    fleet.network.blocked = lambda sender, receiver: region(sender) != region(receiver)
    fleet.run(90)
    for name, held in members(fleet).items():
        dead = {other for other, member in held.members.items() if member.state >= MemberState.DEAD}
        assert dead == {other for other in held.members if region(other) != region(name)}
    fleet.network.blocked = None
    healed = fleet.run_until(
        lambda: all(
            member.state == MemberState.ALIVE
            for held in members(fleet).values()
            for member in held.members.values()
        ),
        60,
    )
    assert healed is not None
    fleet.close()


class Ticker(ControlPart):
    """A further part, that counts what it is given."""

    def __init__(self, environment, parts):
        self.ticks, self.others, self.next_tick, self.closed = 0, 0, environment.loop.now(), False

    def tick(self, now):
        self.ticks += 1
        self.next_tick = now + SECOND

    def set_gateways(self, gateways):
        self.others = len(gateways)

    def counters(self):
        return {"messages": self.ticks}

    def close(self):
        self.closed = True


def test_a_further_part_is_plugged_in_beside_the_others():
    fleet = SimulatedFleet(5, seed=1, part_factories=MEMBERSHIP | {"ticker": Ticker})
    fleet.run(10)
    assert 5 * 9 <= fleet.totals()["ticker.messages"] <= 5 * 10
    part = fleet.gateways["gateway-3"].parts["ticker"]
    assert part.others == 4
    fleet.kill("gateway-3")
    assert part.closed
    assert part.ticks
    assert "ticker.messages" in fleet.ended_totals
    fleet.close()


@pytest.mark.parametrize("name", ["late_source", "differing_lists"])
def test_a_scenario_of_the_lists_ends_with_all_alike(name):
    figures = faults.SCENARIOS[name](5, 1)
    assert figures["breaches"] == []
    assert figures["held_dead"] == 0
    assert figures["leases_ended"] == 0
    assert figures.get("alike_s", 0) is not None
    assert figures.get("all_know_s", 0) is not None
