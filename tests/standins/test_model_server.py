"""The model of a stand-in host, without sockets, on a clock that leaps."""

import random

import pytest
from helpers import ListTap

from gaproute.loop import Loop, Promise, SteppedClock
from gaproute.standins.model_server import (
    HostProfile,
    HostSetup,
    IncomingRequest,
    ModelProfile,
    ModelServer,
    ReceivedLoadOrder,
    RequestEnd,
    invariants,
)
from gaproute.standins.model_server.faults import RequestFault

MILLI, SECOND = 1_000_000, 1_000_000_000
MODELS = {name: ModelProfile(name, "p", 2, 10 * MILLI, 50 * MILLI) for name in ("a", "b", "c")}


class Bench:
    def __init__(self, make=(), *, warm=True, fetched=True):
        self.loop = Loop(SteppedClock(SECOND))
        self.tap, self.ends, self.fetched, self.fetches = ListTap(self.loop.clock), [], fetched, 0
        profile = HostProfile("h", **{"cores": 2, "copies": 5, **dict(make)})
        setup = HostSetup(profile=profile, models=MODELS, seed=1, warm=warm)
        self.model_server = ModelServer(self.loop, setup, self.fetch, self.tap)
        self.model_server.start()

    def fetch(self, model):
        self.fetches += 1
        came = Promise()
        came.set(self.fetched)
        return came

    def take(self, name, model="a"):
        incoming = IncomingRequest(name, name, MODELS[model], 1)
        return self.model_server.receive(
            incoming, lambda request, end: self.ends.append((request.id, end, self.loop.now()))
        )

    def order(self, model, count):
        return self.model_server.order_load(ReceivedLoadOrder(model, count, "g", 1))

    def rest(self, span):
        end = self.loop.now() + span
        timer = self.loop.call_at(end, lambda: None)
        while self.loop.now() < end:
            self.loop.turn()
        timer.cancel()

    def seen(self, what):
        return [event for event in self.tap.events if event["what"] == what]


@pytest.fixture
def bench():
    made = []

    def make(*args, **options):
        made.append(Bench(*args, **options))
        return made[-1]

    yield make
    for each in made:
        each.loop.close()


def test_requests_share_the_cores_and_a_slow_host_takes_as_much_longer(bench):
    for factor in (1, 3):
        made = bench({"cores": 1, "copies": 8})
        made.model_server.command({"trouble": "slow", "factor": factor})
        began = made.loop.now()
        amount = sum(made.take(f"t{number}", "abc"[number % 3]).work_left for number in range(6))
        made.rest(SECOND)
        assert {end for _, end, _ in made.ends} == {RequestEnd.DONE}
        assert len(made.ends) == 6
        assert max(at for *_, at in made.ends) - began == pytest.approx(factor * amount, rel=0.01)


def test_what_finds_no_lane_waits_and_an_instance_is_added_for_it(bench):
    made = bench()
    for number in range(5):
        made.take(f"t{number}")
    assert made.model_server.load_report()[:2] == (3, 5)
    made.rest(SECOND)
    assert len(made.ends) == 5
    assert made.model_server.pool.instances["a"].loaded == 2
    assert [event["found"] for event in made.seen("ran")].count(1) >= 3
    assert len(made.seen("loaded")) == 1


def test_a_cold_host_loads_then_runs_and_keeps_the_instance_for_a_while(bench):
    made = bench({"keep": SECOND}, warm=False)
    made.take("t")
    made.rest(400 * MILLI)
    assert made.ends[0][1] == RequestEnd.DONE
    assert made.seen("ran")[0]["found"] == 2
    assert made.model_server.pool.instance_count() == 1
    made.rest(2 * SECOND)
    assert made.model_server.pool.instance_count() == 0


def test_a_load_unloads_the_instance_longest_idle_and_never_exceeds_the_memory(bench):
    made = bench({"copies": 2}, warm=False)
    for name in "abc":
        made.take(name, name)
        made.rest(300 * MILLI)
        assert made.model_server.pool.instance_count() <= 2
    stand = {name: instances.loaded for name, instances in made.model_server.pool.instances.items()}
    assert stand == {"a": 0, "b": 1, "c": 1}


def test_an_order_is_loaded_or_refused_for_want_of_memory(bench):
    made = bench({"copies": 3}, warm=False)
    stands = made.order("a", 2)
    made.rest(300 * MILLI)
    assert stands.value == 2
    made.take("t")
    assert made.order("b", 3) is None
    assert [event["count"] for event in made.seen("order")] == [2, 3]


def test_a_store_that_refuses_fails_the_load_and_what_waits_for_it(bench):
    made = bench(warm=False, fetched=False)
    made.take("t")
    stands = made.order("b", 1)
    made.rest(5 * SECOND)
    assert [end for _, end, _ in made.ends] == [RequestEnd.LOAD_FAILED]
    assert stands.value == 0
    assert made.fetches == 16
    assert made.model_server.pool.instance_count() == 0


def test_a_cold_host_sent_far_too_much_fails_and_a_warm_one_does_not(bench):
    for warm in (False, True):
        made = bench({"cold_share": 0.1, "queue": 10_000}, warm=warm)
        fallen = []
        made.model_server.on_overload = lambda fallen=fallen: fallen.append(True)
        able = 2 * 0.1 * 1500 * MILLI * made.model_server.profile.fall_multiple  # core time within the tip
        for number in range(round(able // (10 * MILLI)) + 2):
            last = made.take(f"t{number}")
        assert bool(fallen) is not warm
        assert made.model_server.down is not warm
        assert (last is None) is not warm


@pytest.mark.parametrize(
    ("trouble", "ends"),
    [
        ("hang", []),
        ("lost", []),
        ("refuse", ["full"]),
        ("fail", ["error"]),
        ("reset", ["reset"]),
        ("cut", ["cut"]),
    ],
)
def test_faults_affect_the_request_class_they_name_and_end_on_command(bench, trouble, ends):
    made = bench()
    for options in ({"track": "other"}, {}, {"on": False}):
        made.model_server.command({"trouble": trouble, **options})
        made.take("t")
        made.rest(200 * MILLI)
    assert [end for _, end, _ in made.ends] == ["done", *ends, "done"]
    assert len(made.seen("ran")) == 2 + (trouble in ("lost", "cut"))


def test_what_waits_can_be_cancelled_and_what_runs_goes_on(bench):
    made = bench({"adds_copies": False})
    works = [made.take(f"t{number}") for number in range(3)]
    made.model_server.cancel(works[2])
    made.model_server.cancel(works[0])
    made.rest(SECOND)
    assert sorted(name for name, *_ in made.ends) == ["t0", "t1"]


def test_nothing_of_a_dead_host_goes_on(bench):
    made = bench(warm=False)
    made.take("t")
    stands = made.order("b", 1)
    made.rest(10 * MILLI)
    made.model_server.stop()
    seen = len(made.tap.events)
    made.rest(SECOND)
    assert not made.ends
    assert stands.value is None
    assert len(made.tap.events) == seen


@pytest.mark.parametrize("seed", range(6))
def test_no_load_and_no_fault_breaks_the_invariants(bench, seed):
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
                made.order(chance.choice("abc"), chance.randrange(4))
            case 1:
                made.model_server.command(
                    {
                        "trouble": chance.choice([*(fault.value for fault in RequestFault), "slow", "heavy"]),
                        "share": 0.3,
                        "factor": 3,
                        "on": chance.random() < 0.5,
                    }
                )
            case 2 if works:
                made.model_server.cancel(works.pop(chance.randrange(len(works))))
            case 3:
                made.model_server.pool.unload_unused(chance.choice("abc"))
            case _:
                works += filter(None, [made.take(f"t{step}", chance.choice("aaabc"))])
        assert invariants.find_violations(made.model_server) == []
        made.rest(round(chance.expovariate(1) * 8 * MILLI))
    assert len(made.ends) == len({name for name, *_ in made.ends}) > 200


def test_a_violation_is_named_and_noted(bench):
    made = bench()
    made.model_server.pool.instances["a"].busy_lanes = 9
    made.model_server.pool.active_loads = -1
    made.rest(60 * MILLI)
    assert {event["check"] for event in made.seen("breach")} == {"lanes", "tasks_at_work", "loads"}
