"""How many homes a function has, and the draw between them."""

from random import Random

from gaproute.decisions.cells.demand import MIN_PLACEMENT_TIME, RARE, Demand, FleetScope, Placement
from gaproute.decisions.cells.loads import CellLoads
from gaproute.decisions.chance import RandomGenerator
from gaproute.units import SECOND

SCOPE = FleetScope(16_000, 3_200, 600 * SECOND)
CELLS, REGIONAL = 490, 98.0
MILLI = 1_000_000


def play(demand, rates, seconds, seed=1, each=None):
    """Arrivals at these rates a second; `each(now, function)` after every one. Returns the end."""
    random, events = Random(seed), []
    for name, rate in rates.items():
        at = random.expovariate(rate)
        while at < seconds:
            events.append((int(at * SECOND), name))
            at += random.expovariate(rate)
    for now, name in sorted(events):
        demand.record_arrival(demand.started_at + now, name)
        if each is not None:
            each(demand.started_at + now, name)
    return demand.started_at + seconds * SECOND


def placed(demand, now, name="f"):
    return demand.placement(now, name, CELLS, REGIONAL)


def test_what_was_seen_once_has_one_home_in_the_fleet():
    demand = Demand(0, SCOPE)
    assert placed(demand, SECOND) == RARE
    demand.record_arrival(5 * SECOND, "f")
    for now in (5 * SECOND, 6 * SECOND, 11 * 86_400 * SECOND):
        assert placed(demand, now) == RARE
    demand.record_arrival(11 * 86_400 * SECOND, "f")
    assert placed(demand, 11 * 86_400 * SECOND) == RARE


def test_once_a_minute_in_the_whole_fleet_stays_rare_at_all_gateways():
    """Each of 300 gateways sees it a few times a year; chance must not make it regional at one."""
    for seed in range(300):
        demand = Demand(0, SCOPE)
        now = play(demand, {"f": 1 / 60 / 16_000, "g": 1.0}, 1000, seed)
        assert placed(demand, now) == RARE


def test_a_small_fleet_knows_what_is_rare():
    """Four gateways that each see it four times an hour: the region's calls keep no copy loaded."""
    demand = Demand(0, FleetScope(4, 1, 600 * SECOND))
    seen = set()
    play(demand, {"f": 4 / 3600, "g": 1.0}, 20_000, each=lambda now, name: seen.add(placed(demand, now)))
    assert seen == {RARE}


def test_what_the_region_keeps_loaded_goes_to_the_region():
    demand = Demand(0, SCOPE)
    now = play(demand, {"f": 0.01, "g": 100.0}, 600)
    assert placed(demand, now) == Placement(True, 1)


def test_more_work_has_more_homes_and_less_work_is_left_alone():
    demand = Demand(0, SCOPE)
    now = play(demand, {"hot": 20.0, "warm": 1.0, "cool": 0.02, "rest": 173.0}, 300)
    for name in ("hot", "warm", "cool"):
        for _ in range(30):
            demand.record_duration(name, 100 * MILLI)
    hot, warm, cool = [placed(demand, now, name) for name in ("hot", "warm", "cool")]
    assert hot.homes == int(REGIONAL)
    assert hot.regional
    assert 16 <= warm.homes <= 64
    assert warm.homes.bit_count() == 1
    assert cool == Placement(True, 1)


def test_long_work_has_more_homes_than_short():
    demand = Demand(0, SCOPE)
    now = play(demand, {"long": 0.1, "short": 0.1, "rest": 100.0}, 600)
    for _ in range(50):
        demand.record_duration("long", SECOND)
        demand.record_duration("short", 100 * MILLI)
        demand.record_duration("rest", 100 * MILLI)
    assert placed(demand, now, "long").homes >= 4 * placed(demand, now, "short").homes


def test_a_steady_function_does_not_flap():
    """At any rate, also those at which a threshold lies, a placement settles: at most two changes an hour
    after the first ten minutes."""
    for rate in (0.001, 0.0015, 0.002, 0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8):
        demand, changes, last = Demand(0, SCOPE), [], {}

        def look(now, name, demand=demand, changes=changes, last=last):
            if name != "f":
                return
            found = placed(demand, now)
            if now > 600 * SECOND and last.get("f") not in (None, found):
                changes.append(now)
            last["f"] = found

        play(demand, {"f": rate, "g": 20.0}, 4200, each=look)
        assert len(changes) <= 2, (rate, len(changes))


def test_shrinking_waits_and_goes_by_halves():
    demand = Demand(0, SCOPE)
    now = play(demand, {"f": 1.0, "g": 50.0}, 300)
    homes = placed(demand, now).homes
    assert homes >= 16
    before, steps = (now, homes), 0
    for second in range(1, 20_000, 5):
        at = now + second * SECOND
        demand.record_arrival(at, "g")
        found = placed(demand, at).homes
        if found != before[1]:
            assert found == before[1] // 2
            assert steps == 0 or at - before[0] >= MIN_PLACEMENT_TIME
            before, steps = (at, found), steps + 1
    assert before[1] == 1


def test_a_burst_gets_homes_within_seconds():
    demand = Demand(0, SCOPE)
    now = play(demand, {"g": 190.0}, 1800)
    for arrival in range(200):
        demand.record_arrival(now + arrival * SECOND // 20, "f")
    assert placed(demand, now + 10 * SECOND).homes >= 32


def test_functions_remembered_are_bounded():
    demand = Demand(0, SCOPE, max_functions=100)
    for number in range(1000):
        demand.record_arrival(number, f"f{number}")
    assert len(demand.functions) == 100
    assert "f999" in demand.functions


def test_the_draw_goes_by_capacity():
    capacities = {"a": 100.0, "b": 50.0, "c": 150.0}
    loads, chance = CellLoads(), RandomGenerator(3)
    counts = dict.fromkeys(capacities, 0)
    for _ in range(6000):
        counts[loads.draw(0, tuple(capacities), capacities, chance)] += 1
    for name, capacity in capacities.items():
        assert abs(counts[name] / 6000 - capacity / 300) < 0.05


def test_the_draw_shifts_from_the_loaded_and_hears_of_it_still():
    capacities = dict.fromkeys("abcd", 100.0)
    loads, chance = CellLoads(), RandomGenerator(3)
    for now in range(0, 60 * SECOND, SECOND):
        for name in "abcd":
            loads.record(now, name, 2.0 if name == "a" else 1.0)
    counts = dict.fromkeys(capacities, 0)
    for _ in range(4000):
        counts[loads.draw(60 * SECOND, "abcd", capacities, chance)] += 1
    assert 4000 * 0.02 < counts["a"] < 4000 * 0.15
    assert loads.relative_load(300 * SECOND, "a") == 1.0  # received too long ago
    loads.adopt({"b", "c"})
    assert set(loads.cells) == {"b", "c"}
