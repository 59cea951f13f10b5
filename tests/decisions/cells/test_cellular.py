"""The gateway of many cells: one cell is as no cells; what goes on to the next cell, and what never does."""

from dataclasses import replace
from random import Random

import pytest
from cells_tables import cell, cells, table
from helpers import TERMS, Drive, row, task

from gaproute import interface as face
from gaproute.decisions.cells.cell_router import MAX_CELLS_TRIED
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.entries import MAX_HOPS, ForwardAttempt, Forwarded
from gaproute.decisions.cells.health import IDEMPOTENT_TRIAL_WAIT
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.routing import Gateway

MILLI, SECOND = 1_000_000, 1_000_000_000
IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT = 0, 1, 2
PLACE = GatewayLocation("gateway1", "region0", "zone0")


class Script:
    """Plays many tasks, answers, lists and probes against a gateway, by a seed; keeps every wish."""

    def __init__(self, made, seed, cell_known):
        self.made, self.random, self.cell_known = made, Random(seed), cell_known
        self.now, self.wishes, self.tasks, self.out = 0, [], {}, []
        self.names = [f"host{number}" for number in range(8)]

    def play(self, steps):
        self.list(True)
        self.housekeeping = self.made.housekeep(0)
        self.keep(next(self.housekeeping))
        for step in range(steps):
            self.now += self.random.randrange(1, 60) * MILLI
            act = self.random.choice([self.begin] * 4 + [self.answer] * 5 + [self.late] * 2 + [self.other])
            act(step)
        return self.wishes

    def list(self, complete):
        some = self.names if complete else self.random.sample(self.names, 3)
        rows = [
            row(
                name,
                zone=self.random.randrange(2),
                state=self.random.choice([face.State.ACTIVE] * 5 + [face.State.DRAINING]),
                started=self.random.choice([None, 0]),
            )
            for name in some
        ]
        options = {"cell": "only"} if self.cell_known else {}
        self.made.update_hosts(self.now, rows, complete=complete, **options)

    def begin(self, step):
        function, track = f"f{self.random.randrange(6)}", self.random.randrange(3)
        serve = self.made.serve(self.now, task(f"t{step}", function, track))
        self.tasks[f"t{step}"] = [serve, 0]
        self.advance(f"t{step}", None)

    def advance(self, name, value):
        held = self.tasks.get(name)
        if held is None:
            return
        while True:
            try:
                wish = held[0].send(value)
            except StopIteration:
                del self.tasks[name]
                return
            self.wishes.append((self.now, name, wish))
            value = None
            if isinstance(wish, face.Wait):
                return
            if isinstance(wish, face.Attempt):
                value, held[1] = held[1], held[1] + 1
                self.out.append((name, value, wish.host, self.now))

    def answer(self, step):
        if not self.out:
            return
        name, relay, worker, sent = self.out.pop(self.random.randrange(len(self.out)))
        result = self.random.choice(
            [face.Result.OK] * 6
            + [r for r in face.Result if r not in (face.Result.STREAM_STARTED, face.Result.CLIENT_LEFT)]
        )
        outcome = face.Outcome(
            name, relay, worker, result, self.now - sent, result is face.Result.OK,
            self.random.choice(list(face.Found)), self.random.choice([None, 1, 9]),
            face.Report(in_hand=float(self.random.randrange(20)), memory_busy=self.random.random()),
        )  # fmt: skip
        self.made.attempt_ended(self.now, outcome)
        self.advance(name, (self.now, outcome))

    def late(self, step):
        if self.tasks:
            self.advance(self.random.choice(sorted(self.tasks)), (self.now, None))

    def other(self, step):
        match self.random.randrange(4):
            case 0:
                self.list(self.random.random() < 0.5)
            case 1:
                worker = self.random.choice(self.names)
                report = face.Report(in_hand=float(self.random.randrange(9)))
                self.wishes.append(
                    self.made.probe_ended(self.now, worker, report, good=self.random.random() < 0.8)
                )
            case 2:
                name = self.random.choice(self.names)
                self.made.load_order_ended(self.now, name, f"f{self.random.randrange(6)}", face.Result.OK, 1)
            case _:
                self.keep(self.housekeeping.send((self.now, None)))

    def keep(self, wish):
        while not isinstance(wish, face.Wait):
            self.wishes.append((self.now, "", wish))
            wish = self.housekeeping.send(None)
        self.wishes.append((self.now, "", wish))


@pytest.mark.parametrize("seed", range(12))
def test_one_cell_is_the_same_as_no_cells_wish_by_wish(seed):
    terms = TERMS._replace(reports_by_probe=True, reported_figures=("in_hand",), probe_price=0.0)
    plain = Script(Gateway(7, terms, 0), seed, False).play(2500)
    bare = Script(CellularGateway(7, terms, 0), seed, False).play(2500)
    made = CellularGateway(7, terms, 0, PLACE)
    made.adopt(0, table([cell("only")]))
    assert made.wanted() == ("only",)
    celled = Script(made, seed, True).play(2500)
    assert len(plain) > 2000
    for at, (one, other, third) in enumerate(zip(plain, bare, celled, strict=True)):
        assert one == other == third, at


def test_what_carriers_ask_of_one_cell_is_answered():
    made = CellularGateway(7, TERMS, 0)
    made.update_hosts(0, [row("a"), row("b")], complete=True)
    assert made.active_hosts == made.single.active_hosts
    assert made.hint_instance("a", "f", 4, 5)
    with pytest.raises(ValueError, match="without a place"):
        made.adopt(0, table(cells(2)))


def fleet(count=26, own=("cell0",), **terms):
    """A gateway of zone 0 that knows some cells' hosts."""
    made = CellularGateway(7, TERMS._replace(**{"hedging_allowed": False, **terms}), 0, PLACE)
    made.adopt(0, table(cells(count)))
    for name in made.wanted():
        if name in own:
            made.update_hosts(0, [row(f"{name}-{host}") for host in "abc"], complete=True, cell=name)
    return made


def functions(made, wanted, number=1):
    """Functions whose first home is one of the cells wanted."""
    found = (f"f{place}" for place in range(100_000) if made.homes.first(f"f{place}") in wanted)
    return [next(found) for _ in range(number)]


def function_of(made, name):
    return functions(made, (name,))[0]


def test_a_known_cell_is_served_at_its_hosts():
    made = fleet()
    drive = Drive(made, task("t", function_of(made, "cell0")))
    assert drive.sent[0].startswith("cell0-")
    drive.hears(100 * MILLI, face.Result.OK)
    assert drive.ended
    assert not made.recorder.attempts


def test_an_unknown_cell_is_reached_by_an_entry_that_is_told_cell_and_hops():
    made = fleet()
    drive = Drive(made, task("t", function_of(made, "cell7")))
    wish = drive.wishes[0]
    assert isinstance(wish, ForwardAttempt)
    assert wish.forwarded == Forwarded("cell7", 1)
    assert (wish.host, wish.address) in made.table.by_name["cell7"].entries
    drive.hears(100 * MILLI, face.Result.OK)
    assert drive.ended


def test_an_entry_serves_in_its_cell_and_nowhere_else():
    made = fleet()
    serve = made.serve(0, task("t", function_of(made, "cell7")), Forwarded("cell0", 1))
    assert next(serve).host.startswith("cell0-")
    made.update_hosts(0, [], complete=True, cell="cell0")
    serve = made.serve(0, task("u"), Forwarded("cell0", 1))
    assert isinstance(next(serve), face.Reject)


def test_an_entry_that_found_its_cell_ill_declines_at_once_but_for_the_trial():
    made = fleet()
    made.health.record_unreachable(0, "cell0")
    assert isinstance(next(made.serve(0, task("t"), Forwarded("cell0", 1))), face.Reject)
    effectful = made.serve(2 * SECOND, task("e", request_class=NON_IDEMPOTENT), Forwarded("cell0", 1))
    assert isinstance(next(effectful), face.Reject)
    assert next(made.serve(2 * SECOND, task("u"), Forwarded("cell0", 1))).host.startswith("cell0-")
    assert isinstance(next(made.serve(2 * SECOND, task("v"), Forwarded("cell0", 1))), face.Reject)


def test_an_entry_that_knows_the_cell_no_more_forwards_once():
    made = fleet()
    wish = next(made.serve(0, task("t"), Forwarded("cell7", 1)))
    assert isinstance(wish, ForwardAttempt)
    assert wish.forwarded == Forwarded("cell7", MAX_HOPS)
    assert isinstance(next(made.serve(0, task("u"), Forwarded("cell7", MAX_HOPS))), face.Reject)
    assert isinstance(next(made.serve(0, task("v"), Forwarded("nowhere", 1))), face.Reject)


@pytest.mark.parametrize(
    ("track", "ending"),
    [(IDEMPOTENT, face.Reject), (IDEMPOTENT_WITH_KEY, face.Fail), (NON_IDEMPOTENT, face.Fail)],
)
def test_a_forwarded_task_has_its_answer_before_the_process_ends(track, ending):
    made = fleet()
    drive = Drive(made, task("t", function_of(made, "cell7"), track, time_left=10 * SECOND))
    made.end_by = 2 * SECOND
    assert not any(isinstance(wish, (face.Reject, face.Fail)) for wish in drive.late(SECOND))
    wishes = drive.late(2 * SECOND)
    assert isinstance(wishes[-1], ending)
    assert drive.sent == drive.sent[:1]


def test_what_comes_shortly_before_the_process_ends_is_forwarded_with_the_time_that_is_left():
    made = fleet()
    made.end_by = 2 * SECOND
    wish = Drive(made, task("t", function_of(made, "cell7")), now=SECOND).wishes[0]
    assert isinstance(wish, ForwardAttempt)
    assert wish.until < 2 * SECOND
    late = Drive(made, task("u", function_of(made, "cell7")), now=2 * SECOND)
    assert isinstance(late.wishes[-1], face.Reject)
    assert late.sent == []


@pytest.mark.parametrize("track", [IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT])
def test_what_provably_did_not_run_goes_to_another_entry_and_then_to_the_next_home(track):
    made = fleet()
    name = function_of(made, "cell7")
    drive = Drive(made, task("t", name, track), now=0)
    for relay in range(2):
        assert drive.wishes[0].forwarded.cell == "cell7"
        drive.hears(10 * MILLI, face.Result.CONNECT_FAILED, relay)
    second = made.homes.order(name, 2)[1]
    assert drive.wishes[0].forwarded.cell == second
    assert len(set(drive.sent)) == 3
    assert made.health.is_faulty("cell7")  # both of its entries failed


@pytest.mark.parametrize("track", [IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT])
@pytest.mark.parametrize("result", [face.Result.ERROR, face.Result.RESET, face.Result.TIMEOUT])
def test_what_may_have_run_is_not_sent_again(track, result):
    made = fleet()
    drive = Drive(made, task("t", function_of(made, "cell7"), track))
    wishes = drive.hears(10 * MILLI, result)
    assert [type(wish) for wish in wishes] == [face.Fail]


def test_pure_work_that_may_have_run_goes_on():
    made = fleet()
    drive = Drive(made, task("t", function_of(made, "cell7"), IDEMPOTENT))
    drive.hears(10 * MILLI, face.Result.RESET)
    drive.hears(20 * MILLI, face.Result.RESET, 1)
    assert len(drive.sent) == 3
    assert not drive.ended


def test_what_a_cell_refuses_moves_within_a_budget():
    made, moved = fleet(), 0
    for number, name in enumerate(functions(made, ("cell7",), 300)):
        now = number * MILLI
        drive = Drive(made, task(f"t{number}", name), now)
        drive.hears(now, face.Result.FULL)
        moved += len(drive.sent) > 1
        made.health.faults.clear()
        while not drive.ended:
            drive.hears(now, face.Result.OK, len(drive.sent) - 1)
    assert 20 <= moved <= 20 + 30


def test_a_full_cell_is_passed_over_until_a_trial_succeeds():
    made = fleet()
    *names, after, trial, beside = functions(made, ("cell7",), 8)
    for number, name in enumerate(names):
        drive = Drive(made, task(f"t{number}", name), now=0)
        drive.hears(0, face.Result.FULL)
    assert Drive(made, task("after", after), now=MILLI).wishes[0].forwarded.cell != "cell7"
    drives = [Drive(made, task(name, name), now=2 * SECOND) for name in (trial, beside)]
    assert drives[0].wishes[0].forwarded.cell == "cell7"
    assert drives[1].wishes[0].forwarded.cell != "cell7"


def test_a_trial_is_not_made_of_what_must_not_run_twice():
    made = fleet()
    name = function_of(made, "cell7")
    made.health.record_unreachable(0, "cell7")
    drive = Drive(made, task("t", name, NON_IDEMPOTENT), now=2 * SECOND)
    assert drive.wishes[0].forwarded.cell != "cell7"
    # But where no pure call comes for long, any call is better than none: the cell would stay out for good.
    late = 2 * SECOND + IDEMPOTENT_TRIAL_WAIT
    drive = Drive(made, task("u", name, NON_IDEMPOTENT), now=late)
    assert drive.wishes[0].forwarded.cell == "cell7"
    drive = Drive(made, task("v", name, NON_IDEMPOTENT), now=late)
    assert drive.wishes[0].forwarded.cell != "cell7"


def test_relays_and_cells_for_one_task_are_bounded():
    made = fleet(attempt_limit=4)
    drive = Drive(made, task("t", function_of(made, "cell7")))
    for relay in range(4):
        drive.hears(10 * MILLI, face.Result.CONNECT_FAILED, relay)
    assert drive.ended
    assert isinstance(drive.wishes[-1], face.Reject)
    assert len(drive.sent) == 4
    made = fleet(attempt_limit=50)
    drive = Drive(made, task("t", function_of(made, "cell7")))
    for relay in range(2 * MAX_CELLS_TRIED):
        drive.hears(10 * MILLI, face.Result.CONNECT_FAILED, relay)
    assert drive.ended
    assert len(drive.sent) == 2 * MAX_CELLS_TRIED


def test_a_known_cell_without_hosts_sends_its_calls_to_the_next_home():
    made = fleet()
    name = function_of(made, "cell0")
    made.update_hosts(0, [], complete=True, cell="cell0")
    drive = Drive(made, task("t", name))
    assert drive.wishes[0].forwarded.cell == made.homes.order(name, 2)[1]
    assert made.health.is_faulty("cell0")


def test_where_nothing_else_is_left_a_home_that_is_well_again_is_used():
    made = fleet(count=2)
    for name in ("cell0", "cell1"):
        made.health.record_unreachable(0, name)
    drive = Drive(made, task("t", "f", NON_IDEMPOTENT), now=SECOND)
    assert drive.ended
    assert not drive.sent
    for name in ("cell0", "cell1"):  # the trial of the other has no answer yet
        made.health.trial_sent(600 * SECOND, name)
    made.health.record_outcome(600 * SECOND, "cell1", face.Result.OK)
    for number in range(20):
        drive = Drive(made, task(f"t{number}", f"f{number}", NON_IDEMPOTENT), now=600 * SECOND)
        assert drive.wishes[0].forwarded.cell == "cell1"


def test_overdue_calls_by_two_entries_prove_a_cell_silent_and_free_pure_work():
    made = fleet()
    first, *rest = functions(made, ("cell7",), 4)
    drives = [Drive(made, task("t0", first), now=0)]
    drives[0].late(4 * SECOND - 100 * MILLI)  # overdue: its entry is in doubt
    drives += [Drive(made, task(f"u{n}", name), now=4 * SECOND) for n, name in enumerate(rest)]
    assert drives[1].sent != drives[0].sent
    assert not made.health.is_faulty("cell7")
    wishes = drives[1].late(7 * SECOND)
    assert made.health.is_faulty("cell7")
    assert wishes[0] == face.Cancel(0)
    wishes = drives[1].hears(7 * SECOND, face.Result.CANCELLED)
    assert wishes[0].forwarded.cell != "cell7"


def test_an_entry_that_answers_for_another_cell_proves_with_two_calls_that_the_cell_is_silent():
    """Else a gateway would go on by that one entry, as nothing speaks against it."""
    rows = cells(26)
    both = rows[7].entries
    rows[20] = replace(rows[20], entries=both)  # cells 7 and 20 lie in one zone
    made = fleet()
    made.adopt(0, table(rows, number=2))
    for turn, name in enumerate(functions(made, ("cell7",), 2)):
        now = 10 * turn * SECOND
        assert not made.health.is_faulty("cell7")
        drive = Drive(made, task(f"t{turn}", name, time_left=8 * SECOND), now)
        entry = drive.sent[0]
        for number, other in enumerate(functions(made, ("cell20",), 3)):
            beside = Drive(made, task(f"u{turn}.{number}", other), now + SECOND)
            if beside.sent[0] == entry:
                beside.hears(now + 2 * SECOND, face.Result.OK)
        drive.late(now + 4 * SECOND)
    assert made.health.is_faulty("cell7")
    assert not made.entries.backoffs


def test_the_table_changes_under_tasks_in_hand():
    made = fleet()
    drive = Drive(made, task("t", function_of(made, "cell7")))
    made.adopt(0, table([each for each in cells(26) if each.name not in ("cell7", "cell0")], number=2))
    assert "cell0" not in made.local.gateways
    drive.hears(MILLI, face.Result.CONNECT_FAILED)
    assert not drive.ended
    one = table([cell("only")], number=3)
    made.adopt(0, one)
    drive.hears(2 * MILLI, face.Result.OK, 1)
    assert drive.ended
    assert made.wanted() == ("only",)
    made.adopt(0, table(cells(26), number=4))
    assert Drive(made, task("n", function_of(made, "cell7"))).sent


def test_one_cell_becomes_several_and_its_tasks_end_well():
    made = CellularGateway(7, TERMS, 0, PLACE)
    made.adopt(0, table(cells(1)))
    made.update_hosts(0, [row("a"), row("b")], complete=True, cell="cell0")
    drive = Drive(made, task("t"))
    made.adopt(0, table(cells(26), number=2))
    assert "cell0" in made.local.gateways or "cell0" not in made.wanted()
    drive.hears(MILLI, face.Result.OK)
    assert drive.ended
    assert not made.previous_single.tracker.in_flight


def test_all_known_cells_share_one_ration():
    made = fleet(own=("cell0", "cell13"))
    made.update_hosts(0, [row("x")], complete=True, cell=made.wanted()[0])
    made.update_hosts(0, [row("y")], complete=True, cell=made.wanted()[1])
    limiters = {id(gateway.load_order_limiter) for gateway in made.local.gateways.values()}
    assert len(made.local.gateways) == 2
    assert limiters == {id(made.local.load_order_limiter)}


def test_housekeeping_probes_the_hosts_of_all_known_cells():
    made = fleet(reports_by_probe=True, reported_figures=("in_hand",))
    for name in made.wanted():
        made.update_hosts(0, [row(f"{name}-{host}") for host in "ab"], complete=True, cell=name)
    housekeeping, now, probed = made.housekeep(0), 0, set()
    wish = next(housekeeping)
    for _ in range(200):
        if isinstance(wish, face.Wait):
            now = max(now, wish.until)
            wish = housekeeping.send((now, None))
        else:
            probed.add(wish.host)
            wish = housekeeping.send(None)
    assert {worker.rsplit("-", 1)[0] for worker in probed} == set(made.wanted())
