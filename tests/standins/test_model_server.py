"""The model of a stand-in host, without sockets, on a clock that leaps."""

import random

import pytest
from helpers import ListTap

from gaproute.loop import Loop, Promise, Stepped
from gaproute.standins.model_server import HostProfile, ModelProfile, invariants, server
from gaproute.standins.model_server.server import ModelServer

MILLI, SECOND = 1_000_000, 1_000_000_000
MODELS = {name: ModelProfile(name, "p", 2, 10 * MILLI, 50 * MILLI) for name in ("a", "b", "c")}


class Bench:
    def __init__(self, make=(), warm=True, fetched=True):
        self.loop = Loop(Stepped(SECOND))
        self.tap, self.ends, self.fetched, self.fetches = ListTap(self.loop.clock), [], fetched, 0
        self.model_server = ModelServer(
            self.loop,
            HostProfile("h", **{"cores": 2, "copies": 5, **dict(make)}),
            MODELS,
            self.fetch,
            1,
            self.tap,
            warm,
        )
        self.model_server.start()

    def fetch(self, model):
        self.fetches += 1
        came = Promise()
        came.set(self.fetched)
        return came

    def take(self, name, model="a"):
        return self.model_server.take(
            name, name, MODELS[model], 1, lambda work, end: self.ends.append((work.id, end, self.loop.now()))
        )

    def rest(self, span):
        end = self.loop.now() + span
        timer = self.loop.at(end, lambda: None)
        while self.loop.now() < end:
            self.loop.turn()
        timer.cancel()

    def seen(self, what):
        return [event for event in self.tap.events if event["what"] == what]


@pytest.fixture
def bench():
    made = []

    def make(*args, **told):
        made.append(Bench(*args, **told))
        return made[-1]

    yield make
    for each in made:
        each.loop.close()


def test_tasks_share_the_cores_and_a_slow_host_takes_as_much_longer(bench):
    for factor in (1, 3):
        made = bench({"cores": 1, "copies": 8})
        made.model_server.command({"trouble": "slow", "factor": factor})
        began = made.loop.now()
        amount = sum(made.take(f"t{number}", "abc"[number % 3]).left for number in range(6))
        made.rest(SECOND)
        assert {end for _, end, _ in made.ends} == {server.DONE} and len(made.ends) == 6
        assert max(at for *_, at in made.ends) - began == pytest.approx(factor * amount, rel=0.01)


def test_what_finds_no_lane_waits_and_a_copy_is_added_for_it(bench):
    made = bench()
    for number in range(5):
        made.take(f"t{number}")
    assert made.model_server.figures()[:2] == (3, 5)
    made.rest(SECOND)
    assert len(made.ends) == 5 and made.model_server.pool.instances["a"].stand == 2
    assert [event["found"] for event in made.seen("ran")].count(1) >= 3 and len(made.seen("loaded")) == 1


def test_a_cold_host_loads_then_runs_and_keeps_the_copy_for_a_while(bench):
    made = bench({"keep": SECOND}, warm=False)
    made.take("t")
    made.rest(400 * MILLI)
    assert made.ends[0][1] == server.DONE and made.seen("ran")[0]["found"] == 2
    assert made.model_server.pool.held() == 1
    made.rest(2 * SECOND)
    assert made.model_server.pool.held() == 0


def test_a_load_makes_room_by_the_copy_longest_idle_and_never_beyond_the_memory(bench):
    made = bench({"copies": 2}, warm=False)
    for name in "abc":
        made.take(name, name)
        made.rest(300 * MILLI)
        assert made.model_server.pool.held() <= 2
    stand = {name: copies.stand for name, copies in made.model_server.pool.instances.items()}
    assert stand == {"a": 0, "b": 1, "c": 1}


def test_an_order_stands_or_is_refused_for_want_of_room(bench):
    made = bench({"copies": 3}, warm=False)
    stands = made.model_server.order("a", 2, "g", 1)
    made.rest(300 * MILLI)
    assert stands.value == 2
    made.take("t")
    assert made.model_server.order("b", 3, "g", 1) is None
    assert [event["count"] for event in made.seen("order")] == [2, 3]


def test_a_store_that_turns_away_fails_the_load_and_what_waits_for_it(bench):
    made = bench(warm=False, fetched=False)
    made.take("t")
    stands = made.model_server.order("b", 1, "g", 1)
    made.rest(5 * SECOND)
    assert [end for _, end, _ in made.ends] == [server.NO_LOAD] and stands.value == 0
    assert made.fetches == 16 and made.model_server.pool.held() == 0


def test_a_cold_host_sent_far_too_much_falls_over_and_a_warm_one_does_not(bench):
    for warm in (False, True):
        made = bench({"cold_share": 0.1, "queue": 10_000}, warm=warm)
        fallen = []
        made.model_server.fell = lambda fallen=fallen: fallen.append(True)
        able = 2 * 0.1 * 1500 * MILLI * made.model_server.make.fall_multiple  # core time within the tip
        for number in range(round(able // (10 * MILLI)) + 2):
            last = made.take(f"t{number}")
        assert bool(fallen) is not warm and made.model_server.down is not warm and (last is None) is not warm


@pytest.mark.parametrize(
    "trouble, ends",
    [
        ("hang", []),
        ("lost", []),
        ("refuse", ["full"]),
        ("fail", ["error"]),
        ("reset", ["reset"]),
        ("cut", ["cut"]),
    ],
)
def test_troubles_strike_the_track_they_name_and_end_when_told(bench, trouble, ends):
    made = bench()
    for told in ({"track": "other"}, {}, {"on": False}):
        made.model_server.command({"trouble": trouble, **told})
        made.take("t")
        made.rest(200 * MILLI)
    assert [end for _, end, _ in made.ends] == ["done", *ends, "done"]
    assert len(made.seen("ran")) == 2 + (trouble in ("lost", "cut"))


def test_what_waits_can_be_taken_back_and_what_is_at_work_runs_on(bench):
    made = bench({"adds_copies": False})
    works = [made.take(f"t{number}") for number in range(3)]
    made.model_server.left(works[2])
    made.model_server.left(works[0])
    made.rest(SECOND)
    assert sorted(name for name, *_ in made.ends) == ["t0", "t1"]


def test_nothing_of_a_dead_host_goes_on(bench):
    made = bench(warm=False)
    made.take("t")
    stands = made.model_server.order("b", 1, "g", 1)
    made.rest(10 * MILLI)
    made.model_server.stop()
    seen = len(made.tap.events)
    made.rest(SECOND)
    assert not made.ends and stands.value is None and len(made.tap.events) == seen


@pytest.mark.parametrize("seed", range(6))
def test_no_load_and_no_trouble_breaks_what_must_hold(bench, seed):
    chance = random.Random(seed)
    made = bench(
        {
            "copies": chance.choice([1, 3, 6]),
            "queue": 5,
            "loads": chance.choice([1, 4]),
            "keep": SECOND,
            "cold_time": 0,
        },
        warm=seed % 2 == 0,
    )
    works = []
    for step in range(800):
        made.fetched = chance.random() < 0.7
        match chance.randrange(12):
            case 0:
                made.model_server.order(chance.choice("abc"), chance.randrange(4), "g", 1)
            case 1:
                made.model_server.command(
                    {
                        "trouble": chance.choice([*server.FATES, "slow", "heavy"]),
                        "share": 0.3,
                        "factor": 3,
                        "on": chance.random() < 0.5,
                    }
                )
            case 2 if works:
                made.model_server.left(works.pop(chance.randrange(len(works))))
            case 3:
                made.model_server.pool.unload_idle(chance.choice("abc"))
            case _:
                works += filter(None, [made.take(f"t{step}", chance.choice("aaabc"))])
        assert invariants.breaches(made.model_server) == []
        made.rest(round(chance.expovariate(1) * 8 * MILLI))
    assert len(made.ends) == len({name for name, *_ in made.ends}) > 200


def test_a_breach_is_named_and_noted(bench):
    made = bench()
    made.model_server.pool.instances["a"].busy = 9
    made.model_server.pool.loads = -1
    made.rest(60 * MILLI)
    assert {event["check"] for event in made.seen("breach")} == {"lanes", "tasks_at_work", "loads"}
