"""The number and region of the homes of a function, and the draw of one of them by load."""

from random import Random

from gaproute.decisions.cells.demand import MIN_PLACEMENT_TIME, RARE_PLACEMENT, Demand, FleetScope, Placement
from gaproute.decisions.cells.loads import CellLoads
from gaproute.decisions.chance import RandomGenerator
from gaproute.units import SECOND

SCOPE = FleetScope(16_000, 3_200, 600 * SECOND)
CELLS, REGIONAL = 490, 98.0
MILLI = 1_000_000


def play_arrivals(demand, rates, seconds, seed=1, on_arrival=None):
    """Records random arrivals at `rates` per second, each followed by `on_arrival`; returns the end time."""
    random, events = Random(seed), []
    for name, rate in rates.items():
        at = random.expovariate(rate)
        while at < seconds:
            events.append((int(at * SECOND), name))
            at += random.expovariate(rate)
    for now, name in sorted(events):
        demand.record_arrival(demand.started_at + now, name)
        if on_arrival is not None:
            on_arrival(demand.started_at + now, name)
    return demand.started_at + seconds * SECOND


def placement_of(demand, now, name="f"):
    return demand.placement(now, name, CELLS, REGIONAL)


def test_a_function_with_one_or_two_requests_has_one_home_in_the_fleet():
    demand = Demand(0, SCOPE)
    assert placement_of(demand, SECOND) == RARE_PLACEMENT
    demand.record_arrival(5 * SECOND, "f")
    for now in (5 * SECOND, 6 * SECOND, 11 * 86_400 * SECOND):
        assert placement_of(demand, now) == RARE_PLACEMENT
    demand.record_arrival(11 * 86_400 * SECOND, "f")
    assert placement_of(demand, 11 * 86_400 * SECOND) == RARE_PLACEMENT


def test_a_function_with_one_request_a_minute_in_the_fleet_stays_rare_at_all_gateways():
    """Each gateway has about 33 requests a year; chance must not make the function regional at any of 300."""
    for seed in range(300):
        demand = Demand(0, SCOPE)
        now = play_arrivals(demand, {"f": 1 / 60 / 16_000, "g": 1.0}, 1000, seed)
        assert placement_of(demand, now) == RARE_PLACEMENT


def test_a_rare_function_of_a_small_fleet_stays_rare():
    """Four gateways have four requests an hour each; those of one region do not keep an instance loaded."""
    demand = Demand(0, FleetScope(4, 1, 600 * SECOND))
    seen = set()
    play_arrivals(
        demand,
        {"f": 4 / 3600, "g": 1.0},
        20_000,
        on_arrival=lambda now, name: seen.add(placement_of(demand, now)),
    )
    assert seen == {RARE_PLACEMENT}


def test_a_function_that_its_region_keeps_loaded_has_its_home_in_the_region():
    demand = Demand(0, SCOPE)
    now = play_arrivals(demand, {"f": 0.01, "g": 100.0}, 600)
    assert placement_of(demand, now) == Placement(True, 1)


def test_functions_with_more_work_have_more_homes():
    demand = Demand(0, SCOPE)
    now = play_arrivals(demand, {"hot": 20.0, "warm": 1.0, "cool": 0.02, "rest": 173.0}, 300)
    for name in ("hot", "warm", "cool"):
        for _ in range(30):
            demand.record_duration(name, 100 * MILLI)
    hot, warm, cool = [placement_of(demand, now, name) for name in ("hot", "warm", "cool")]
    assert hot.home_count == int(REGIONAL)
    assert hot.regional
    assert 16 <= warm.home_count <= 64
    assert warm.home_count.bit_count() == 1
    assert cool == Placement(True, 1)


def test_a_function_with_long_requests_has_more_homes_than_one_with_short_requests():
    demand = Demand(0, SCOPE)
    now = play_arrivals(demand, {"long": 0.1, "short": 0.1, "rest": 100.0}, 600)
    for _ in range(50):
        demand.record_duration("long", SECOND)
        demand.record_duration("short", 100 * MILLI)
        demand.record_duration("rest", 100 * MILLI)
    assert placement_of(demand, now, "long").home_count >= 4 * placement_of(demand, now, "short").home_count


def test_the_placement_of_a_steady_function_rarely_changes():
    """At any rate, also near a threshold, a placement changes at most twice in the hour after ten minutes."""
    for rate in (0.001, 0.0015, 0.002, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8):
        demand, changes, last = Demand(0, SCOPE), [], {}

        def compare_placement(now, name, demand=demand, changes=changes, last=last):
            if name != "f":
                return
            found = placement_of(demand, now)
            if now > 600 * SECOND and last.get("f") not in (None, found):
                changes.append(now)
            last["f"] = found

        play_arrivals(demand, {"f": rate, "g": 20.0}, 4200, on_arrival=compare_placement)
        assert len(changes) <= 2, (rate, len(changes))


def test_the_number_of_homes_shrinks_by_halves_with_pauses():
    demand = Demand(0, SCOPE)
    now = play_arrivals(demand, {"f": 1.0, "g": 50.0}, 300)
    homes = placement_of(demand, now).home_count
    assert homes >= 16
    before, steps = (now, homes), 0
    for second in range(1, 20_000, 5):
        at = now + second * SECOND
        demand.record_arrival(at, "g")
        found = placement_of(demand, at).home_count
        if found != before[1]:
            assert found == before[1] // 2
            assert steps == 0 or at - before[0] >= MIN_PLACEMENT_TIME
            before, steps = (at, found), steps + 1
    assert before[1] == 1


def test_a_burst_gets_homes_within_seconds():
    demand = Demand(0, SCOPE)
    now = play_arrivals(demand, {"g": 190.0}, 1800)
    for arrival in range(200):
        demand.record_arrival(now + arrival * SECOND // 20, "f")
    assert placement_of(demand, now + 10 * SECOND).home_count >= 32


def test_the_number_of_stored_functions_is_bounded():
    demand = Demand(0, SCOPE, max_functions=100)
    for number in range(1000):
        demand.record_arrival(number, f"f{number}")
    assert len(demand.functions) == 100
    assert "f999" in demand.functions


def test_cells_are_drawn_in_proportion_to_capacity():
    capacities = {"a": 100.0, "b": 50.0, "c": 150.0}
    loads, chance = CellLoads(), RandomGenerator(3)
    counts = dict.fromkeys(capacities, 0)
    for _ in range(6000):
        counts[loads.draw(0, tuple(capacities), capacities, chance)] += 1
    for name, capacity in capacities.items():
        assert abs(counts[name] / 6000 - capacity / 300) < 0.05


def test_a_loaded_cell_is_drawn_rarely_but_still_drawn():
    capacities = dict.fromkeys("abcd", 100.0)
    loads, chance = CellLoads(), RandomGenerator(3)
    for now in range(0, 60 * SECOND, SECOND):
        for name in "abcd":
            loads.record(now, name, 2.0 if name == "a" else 1.0)
    counts = dict.fromkeys(capacities, 0)
    for _ in range(4000):
        counts[loads.draw(60 * SECOND, "abcd", capacities, chance)] += 1
    assert 4000 * 0.02 < counts["a"] < 4000 * 0.15
    assert loads.relative_load(300 * SECOND, "a") == 1.0  # reported too long ago
    loads.adopt({"b", "c"})
    assert set(loads.cells) == {"b", "c"}
