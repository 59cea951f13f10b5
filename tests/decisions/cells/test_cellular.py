"""The gateway of many cells: one cell is the same as no cells; its table, hosts and housekeeping."""

from random import Random

import pytest
from cells_tables import cell, cells, table
from cellular_gateways import PLACE, fleet, function_of
from helpers import TERMS, Drive, row, task

from gaproute import interface as face
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.routing import Gateway

MILLI, SECOND = 1_000_000, 1_000_000_000


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
                state=self.random.choice([face.ListedHostState.ACTIVE] * 5 + [face.ListedHostState.DRAINING]),
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
            self.random.choice(list(face.InstanceStatus)), self.random.choice([None, 1, 9]),
            face.HostLoadReport(in_hand=float(self.random.randrange(20)), memory_busy=self.random.random()),
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
                report = face.HostLoadReport(in_hand=float(self.random.randrange(9)))
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
