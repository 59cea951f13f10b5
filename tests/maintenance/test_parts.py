"""The parts of maintenance by themselves: words, belief, floor, schedule, proof that a host is drained."""

import msgspec
import pytest

from gaproute.maintenance import (
    MaintenanceHost,
    RoundSpec,
    capacity_floor,
    drain_proof,
    mistakes,
    schedule,
    warm_capacity,
)
from gaproute.maintenance.warm_capacity import FRESH, STALE, TOLD, HostReport

SECOND = 1_000_000_000
FLEET = {
    name: MaintenanceHost(name, zone, zone + rack, "a", 4, 3)
    for name, zone, rack in (("h0", "x", "1"), ("h1", "x", "2"), ("h2", "y", "1"), ("h3", "y", "2"))
}
WARM = {name: {"f": 4} for name in FLEET}


def asked(**words):
    return RoundSpec(
        **{
            "name": "r",
            "hosts": ("h0", "h1", "h2", "h3"),
            "out": 10 * SECOND,
            "by": 600 * SECOND,
            "margin": 0,
            "survive": "",
        }
        | words
    )


@pytest.mark.parametrize(
    "words, told",
    [
        ({}, []),
        ({"hosts": ()}, ["hosts: none are named"]),
        ({"hosts": ("h9", "h0", "h0")}, ["hosts: h9 is not listed", "hosts: h0 is named twice"]),
        ({"zone": "x"}, ["hosts: named one by one and by zone"]),
        ({"hosts": (), "zone": "w"}, ["zone: no host is of zone w"]),
        ({"hosts": (), "zone": "x", "rack": "y1"}, ["hosts: none is of all of zone, rack"]),
        (
            {"apart": (("h0", "h9"), ("h1",))},
            ["apart: h9 in list 1 is not listed", "apart: list 2 names fewer than two hosts"],
        ),
        (
            {"one_per": "row", "survive": "all"},
            ["one_per: row is neither rack nor zone", "survive: all is none of host, rack, zone"],
        ),
        ({"together": 5}, ["together: 5 of 4 hosts"]),
        ({"by": 39 * SECOND}, ["by: 4 hosts, 1 at a time, are away for 40 s together, by is 39 s"]),
        ({"zones": 1001}, ["zones: 1001 per mille is more than the floor of the whole fleet"]),
        ({"functions": ("f", "g")}, ["functions: nobody asks for g"]),
    ],
)
def test_every_mistake_of_a_round_is_told(words, told):
    assert mistakes(asked(**words), FLEET, {"f": 4}) == told


def test_a_round_by_zone_names_its_hosts():
    assert mistakes(asked(hosts=(), zone="x"), FLEET, {"f": 4}) == []
    with pytest.raises(msgspec.ValidationError):
        msgspec.convert({"name": "r", "out": -1, "by": 1}, RoundSpec)


def test_a_sight_counts_by_its_age_and_its_teller():
    now, seen = 100 * SECOND, HostReport(99 * SECOND, 1, copies=("f",))
    assert warm_capacity.sight(now, "me", "f", seen, None, 0) == 1000
    assert (
        warm_capacity.sight(now, "me", "f", seen, None, 99 * SECOND) == 0
    )  # seen before its life or the turn
    assert [warm_capacity.weight(age) for age in (FRESH, (FRESH + STALE) // 2, STALE, -1)] == [
        1000,
        500,
        0,
        0,
    ]
    cold = HostReport(90 * SECOND, 1)
    assert warm_capacity.sight(now, "me", "f", cold, (SECOND, ("a",)), 0) == 0  # one alone may tell nonsense
    assert warm_capacity.sight(now, "me", "f", cold, (SECOND, ("a", "me")), 0) == 0
    assert warm_capacity.sight(now, "me", "f", cold, (SECOND, ("a", "b")), 0) == warm_capacity.weight(
        SECOND + TOLD
    )
    assert warm_capacity.sight(now, "me", "f", seen, (SECOND, ("a", "b")), 99 * SECOND) == 0
    later = HostReport(97 * SECOND, 1)  # it showed itself cold since then
    assert warm_capacity.sight(now, "me", "f", later, (SECOND, ("a", "b")), 0) == 0


def test_lanes_leave_out_who_drains_and_count_cold_hosts_by_their_power():
    shown = {
        "h0": HostReport(0, 1, copies=("f",)),
        "h1": HostReport(0, 1, power=500, copies=("f",)),
        "h2": HostReport(0, 1, draining=True, copies=("f",)),
        "h3": HostReport(0, 1, copies=("f",)),
    }
    found = warm_capacity.lanes(SECOND, "me", FLEET, {}, shown, dict.fromkeys(("h0", "h1", "h2"), -1))
    assert found == {"h0": {"f": 4}, "h1": {"f": 2}, "h2": {}, "h3": {}}


def test_the_floor_is_rounded_up_and_looks_ahead():
    rows = capacity_floor.need(asked(margin=250, zones=500), {"f": 9, "g": 0}, ["x", "y"])
    assert rows == {("f", ""): 12, ("f", "x"): 3, ("f", "y"): 3, ("*", ""): 12, ("*", "x"): 3, ("*", "y"): 3}
    assert capacity_floor.kept(FLEET, WARM, rows, "") == [] == capacity_floor.kept(FLEET, WARM, rows, "host")
    assert capacity_floor.kept(FLEET, WARM, rows, "", ("h0",)) == []
    assert (
        capacity_floor.worded(capacity_floor.kept(FLEET, WARM, rows, "host", ("h0",)))
        == "floor: f in the fleet needs 12 warm lanes, has 8 if h1 fails"
    )
    zones = {("f", "x"): 3, ("f", "y"): 3}
    assert capacity_floor.kept(FLEET, WARM, zones, "zone") == []  # not asked of the zone that fails
    assert capacity_floor.kept(FLEET, WARM, {("f", ""): 9}, "zone")
    assert capacity_floor.needs((asked(), asked(margin=500)), {"f": 8}, [])["f", ""] == 12
    assert capacity_floor.strict(asked(), [asked(survive="rack")]).survive == "rack"


def test_who_may_go_together():
    needs = {("f", ""): 8}
    one = asked(together=2)
    assert schedule.choose(one, FLEET, WARM, needs, list(FLEET), [])[0] == ["h0", "h1"]
    for two in asked(together=2, one_per="zone"), asked(together=2, apart=(("h0", "h1"),)):
        assert schedule.choose(two, FLEET, WARM, needs, list(FLEET), [])[0] == ["h0", "h2"]
    going, first = schedule.choose(one, FLEET, WARM, {("f", ""): 13}, list(FLEET), [])
    assert going == [] and first == ("h0", "floor: f in the fleet needs 13 warm lanes, has 12")


def test_copies_are_loaded_elsewhere_before_a_host_goes():
    warmed = {"h0": {"f": 4}, "h1": {"f": 4}, "h2": {}, "h3": {}}
    one, needs, free = asked(hosts=("h0", "h1")), {("f", ""): 8}, {"h2": 3, "h3": 3}
    assert schedule.loads(one, FLEET, warmed, needs, ["h0", "h1"], [], free, [], {}, 2) == [("h2", "f")]
    assert schedule.loads(one, FLEET, warmed, needs, ["h0", "h1"], [], free, [], {}, 0) == []
    assert schedule.loads(one, FLEET, warmed, needs, ["h0", "h1"], [], {"h3": 0}, [], {}, 2) == []
    made = schedule.plan(one, FLEET, warmed, needs, ["h0", "h1"], free, schedule.SchedulingEstimates())
    assert made.why == "" and [name for _, name in made.steps] == ["h0", "h1"] and made.steps[0][0] > 0


def test_a_round_without_a_lawful_schedule_names_what_is_in_its_way():
    def why(needs, **words):
        return schedule.plan(
            asked(**words), FLEET, WARM, needs, list(FLEET), {}, schedule.SchedulingEstimates()
        ).why

    assert why({("f", ""): 17}).endswith("needs 17 warm lanes, has 16: above all capacity")
    assert why({("f", ""): 13}) == "floor: f in the fleet needs 13 warm lanes, has 12, when h0 is to go"
    assert why({("f", ""): 8}, by=45 * SECOND).startswith("by: it takes 7")


def test_a_host_is_drained_by_its_own_word_or_by_the_lists_bound():
    bounds, life = drain_proof.DrainBounds(), drain_proof.DrainBounds(life=10 * SECOND)
    assert drain_proof.bound(bounds) is None and drain_proof.bound(life) == 41_200_000_000
    for seen, which in (
        (None, ""),
        (HostReport(5, 1, draining=True), "host"),
        (HostReport(5, 1, draining=True, hands=1), ""),
        (HostReport(3, 1, draining=True), ""),
        (HostReport(5 + 41 * SECOND, 1), ""),
        (HostReport(4 + drain_proof.bound(life), 1), "list"),
    ):
        assert drain_proof.proof(0, seen, 4, life) == which
    assert drain_proof.proof(0, HostReport(1 << 60, 1), 4, bounds) == ""
