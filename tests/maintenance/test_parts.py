"""Unit tests of the maintenance package's parts: validation, estimates, floor, selection, drain proofs."""

import msgspec
import pytest

from gaproute.maintenance import (
    FleetStatus,
    MaintenanceHost,
    RoundSpec,
    capacity_floor,
    drain_proof,
    feasibility,
    find_mistakes,
    host_selection,
    warm_capacity,
)
from gaproute.maintenance.capacity_floor import CapacityKey, FleetCapacity
from gaproute.maintenance.feasibility import SchedulingEstimates
from gaproute.maintenance.host_report import HostReport
from gaproute.maintenance.host_selection import RoundHosts
from gaproute.maintenance.load_planning import LoadSituation, plan_loads
from gaproute.maintenance.warm_capacity import FULL_WEIGHT_AGE, GOSSIP_DELAY, MAX_OBSERVATION_AGE
from gaproute.shared.gossip.fleet_view import WarmSighting

SECOND = 1_000_000_000
FLEET = {
    name: MaintenanceHost(name, zone, zone + rack, "a", 4, 3)
    for name, zone, rack in (("h0", "x", "1"), ("h1", "x", "2"), ("h2", "y", "1"), ("h3", "y", "2"))
}
WARM = {name: {"f": 4} for name in FLEET}


def make_spec(**changes):
    """A round of all four hosts; `changes` uses the keys of the operator's description."""
    description = {
        "name": "r",
        "hosts": ("h0", "h1", "h2", "h3"),
        "out": 10 * SECOND,
        "by": 600 * SECOND,
        "margin": 0,
        "survive": "",
    }
    return msgspec.convert(description | changes, RoundSpec)


def floor_for_f(lanes, scope=""):
    """A capacity floor that requires lanes of the function `f`."""
    return {CapacityKey("f", scope): lanes}


@pytest.mark.parametrize(
    ("changes", "mistakes"),
    [
        ({}, []),
        ({"hosts": ()}, ["hosts: the round selects no hosts; expected hosts, kind, zone or rack"]),
        ({"hosts": ("h9", "h0", "h0")}, ["hosts: h9 is not in the host list", "hosts: h0 is named twice"]),
        ({"zone": "x"}, ["hosts: selected both by name and by zone"]),
        ({"hosts": (), "zone": "w"}, ["zone: no listed host has the zone w"]),
        ({"hosts": (), "zone": "x", "rack": "y1"}, ["hosts: no host matches all of zone, rack"]),
        (
            {"apart": (("h0", "h9"), ("h1",))},
            ["apart: h9 in group 1 is not in the host list", "apart: group 2 names fewer than two hosts"],
        ),
        (
            {"one_per": "row", "survive": "all"},
            ["one_per: row is neither rack nor zone", "survive: all is none of host, rack, zone"],
        ),
        ({"together": 5}, ["together: 5 is more than the 4 hosts of the round"]),
        ({"by": 39 * SECOND}, ["by: 4 hosts, 1 at a time, are away for 40 s in all, the deadline is 39 s"]),
        ({"zones": 1001}, ["zones: 1001 per mille exceeds the floor of the whole fleet"]),
        ({"functions": ("f", "g")}, ["functions: no demand is reported for g"]),
    ],
)
def test_every_mistake_of_a_round_is_reported(changes, mistakes):
    assert find_mistakes(make_spec(**changes), FLEET, {"f": 4}) == mistakes


def test_a_round_may_select_its_hosts_by_zone_and_rejects_a_negative_duration():
    assert find_mistakes(make_spec(hosts=(), zone="x"), FLEET, {"f": 4}) == []
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert({"name": "r", "out": -1, "by": 1}, RoundSpec)


def instance_weight(report, sighting, counted_since=0, now=100 * SECOND):
    return warm_capacity.instance_weight(
        now, "f", report, sighting, observer="me", counted_since=counted_since
    )


def test_an_observation_counts_by_its_age_and_its_origins():
    warm_report = HostReport(99 * SECOND, 1, warm_functions=("f",))
    assert instance_weight(warm_report, None) == 1000
    # The report is not later than the start of the incarnation or the turn.
    assert instance_weight(warm_report, None, 99 * SECOND) == 0
    ages = (FULL_WEIGHT_AGE, (FULL_WEIGHT_AGE + MAX_OBSERVATION_AGE) // 2, MAX_OBSERVATION_AGE, -1)
    assert [warm_capacity.age_weight(age) for age in ages] == [1000, 500, 0, 0]
    cold_report = HostReport(90 * SECOND, 1)
    # A single other gateway may be wrong.
    assert instance_weight(cold_report, WarmSighting(SECOND, ("a",))) == 0
    assert instance_weight(cold_report, WarmSighting(SECOND, ("a", "me"))) == 0
    seen_by_two_others = WarmSighting(SECOND, ("a", "b"))
    assert instance_weight(cold_report, seen_by_two_others) == warm_capacity.age_weight(SECOND + GOSSIP_DELAY)
    assert instance_weight(warm_report, seen_by_two_others, 99 * SECOND) == 0
    later_cold_report = HostReport(97 * SECOND, 1)
    assert instance_weight(later_cold_report, seen_by_two_others) == 0


def test_draining_hosts_have_no_warm_lanes_and_warming_hosts_count_by_their_capacity():
    reports = {
        "h0": HostReport(0, 1, warm_functions=("f",)),
        "h1": HostReport(0, 1, capacity=500, warm_functions=("f",)),
        "h2": HostReport(0, 1, draining=True, warm_functions=("f",)),
        "h3": HostReport(0, 1, warm_functions=("f",)),
    }
    status = FleetStatus(FLEET, reports, {}, {}, 0)
    warm_lanes = warm_capacity.estimate_warm_lanes(
        SECOND, status, observer="me", counted_since=dict.fromkeys(("h0", "h1", "h2"), -1)
    )
    assert warm_lanes == {"h0": {"f": 4}, "h1": {"f": 2}, "h2": {}, "h3": {}}


def test_the_floor_is_rounded_up_and_covers_assumed_failures():
    floor = capacity_floor.required_lanes(make_spec(margin=250, zones=500), {"f": 9, "g": 0}, ["x", "y"])
    assert floor == {
        ("f", ""): 12,
        ("f", "x"): 3,
        ("f", "y"): 3,
        ("*", ""): 12,
        ("*", "x"): 3,
        ("*", "y"): 3,
    }

    def shortfalls(required, level, without=()):
        return capacity_floor.find_shortfalls(FleetCapacity(FLEET, WARM, required), level, without)

    assert shortfalls(floor, "") == [] == shortfalls(floor, "host")
    assert shortfalls(floor, "", ("h0",)) == []
    assert (
        capacity_floor.describe_first_shortfall(shortfalls(floor, "host", ("h0",)))
        == "floor: f in the fleet needs 12 warm lanes, has 8 if h1 fails"
    )
    zones = floor_for_f(3, "x") | floor_for_f(3, "y")
    assert shortfalls(zones, "zone") == []  # no lanes are required in the zone that fails
    assert shortfalls(floor_for_f(9), "zone")
    strictest = capacity_floor.strictest_floor((make_spec(), make_spec(margin=500)), {"f": 8}, [])
    assert strictest[CapacityKey("f", "")] == 12
    strictest_failure = capacity_floor.with_strictest_failure_level(make_spec(), [make_spec(survive="rack")])
    assert strictest_failure.survivable_failure == "rack"


def test_hosts_are_selected_together_within_the_floor_and_the_exclusive_groups():
    def select(spec, required):
        hosts = RoundHosts(list(FLEET), [])
        return host_selection.select_hosts(spec, FleetCapacity(FLEET, WARM, required), hosts)

    assert select(make_spec(together=2), floor_for_f(8)).hosts == ["h0", "h1"]
    for spec in make_spec(together=2, one_per="zone"), make_spec(together=2, apart=(("h0", "h1"),)):
        assert select(spec, floor_for_f(8)).hosts == ["h0", "h2"]
    assert select(make_spec(together=2), floor_for_f(13)) == (
        [],
        ("h0", "floor: f in the fleet needs 13 warm lanes, has 12"),
    )


def test_functions_are_loaded_at_other_hosts_before_a_host_is_taken_out():
    warm = {"h0": {"f": 4}, "h1": {"f": 4}, "h2": {}, "h3": {}}
    spec, capacity = make_spec(hosts=("h0", "h1")), FleetCapacity(FLEET, warm, floor_for_f(8))

    def loads(free_slots, max_loads):
        situation = LoadSituation(free_slots, [], {}, max_loads)
        return plan_loads(spec, capacity, RoundHosts(["h0", "h1"], []), situation)

    free_slots = {"h2": 3, "h3": 3}
    assert loads(free_slots, 2) == [("h2", "f")]
    assert loads(free_slots, 0) == []
    assert loads({"h3": 0}, 2) == []
    forecast = feasibility.forecast_round(spec, capacity, ["h0", "h1"], free_slots, SchedulingEstimates())
    assert forecast.obstacle == ""
    assert [departure.host for departure in forecast.departures] == ["h0", "h1"]
    assert forecast.departures[0].at > 0


def test_the_forecast_of_an_infeasible_round_names_its_obstacle():
    def obstacle(required, **changes):
        capacity = FleetCapacity(FLEET, WARM, required)
        return feasibility.forecast_round(
            make_spec(**changes), capacity, list(FLEET), {}, SchedulingEstimates()
        ).obstacle

    assert obstacle(floor_for_f(17)).endswith(
        "needs 17 warm lanes, has 16: more than the capacity of the whole fleet"
    )
    assert (
        obstacle(floor_for_f(13))
        == "floor: f in the fleet needs 13 warm lanes, has 12, when h0 is to be taken out of service"
    )
    assert obstacle(floor_for_f(8), by=45 * SECOND).startswith("by: the round takes 7")


def test_a_host_is_proved_drained_by_its_report_or_by_the_host_list():
    bounds = drain_proof.DrainBounds()
    with_lifetime = drain_proof.DrainBounds(entry_lifetime=10 * SECOND)
    assert drain_proof.list_drain_time(bounds) is None
    assert drain_proof.list_drain_time(with_lifetime) == 41_200_000_000
    for report, proof in (
        (None, ""),
        (HostReport(5, 1, draining=True), "host"),
        (HostReport(5, 1, draining=True, in_flight=1), ""),
        (HostReport(3, 1, draining=True), ""),
        (HostReport(5 + 41 * SECOND, 1), ""),
        (HostReport(4 + drain_proof.list_drain_time(with_lifetime), 1), "list"),
    ):
        assert drain_proof.find_drain_proof(report, 4, with_lifetime) == proof
    assert drain_proof.find_drain_proof(HostReport(1 << 60, 1), 4, bounds) == ""
