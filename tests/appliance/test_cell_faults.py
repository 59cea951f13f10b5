"""Cells by several processes of the program, when tables differ, gateways die and files are wrong: calls are
answered, and none runs twice that must not."""

import signal

import pytest
from cell_fleet import models
from helpers import MILLI

TWO = {"a1": ("a1", ("ga",)), "b1": ("b1", ("gc", "gd"))}
PAIR = TWO | {"b1": ("b1", ("gc",))}
OK, GATEWAY_TIMEOUT = 200, 504


class Calls:
    """Calls of every model at a gateway, one after another, for as long as the test goes on."""

    def __init__(self, fleet, name, label=""):
        self.fleet, self.name, self.label = fleet, name, label
        self.answers, self.going = {}, True  # call: its status
        self.models = [model for pair in zip(models("check"), models("order"), strict=True) for model in pair]
        self.routine = fleet.loop.spawn(self._call())

    def _call(self):
        number = 0
        while self.going:
            model = self.models[number % len(self.models)]
            call = f"{self.label} {number} {model}"
            answer = yield self.fleet.ask(self.name, model, call)
            self.answers[call] = answer.status if answer is not None else None
            number += 1
            yield self.fleet.loop.sleep(2 * MILLI)

    def more(self, count=40):
        """Until so many further calls are answered."""
        least = len(self.answers) + count
        self.fleet.until(lambda: len(self.answers) >= least)

    def all_ends(self):
        """{call: status} of all, when the last call has its answer."""
        self.going = False
        self.fleet.wait(self.routine.done)
        return self.answers

    def end(self):
        """The statuses, as a set."""
        return set(self.all_ends().values())


def started(fleet, *names, **options):
    """The fleet, with these gateways up."""
    fleet.write_table()
    for name in names:
        fleet.start(name, "a1" if name == "ga" else "b1", **options)
    fleet.up(*names)
    return fleet


@pytest.fixture
def two(cells):
    """Two cells in two regions; `ga` leads into the one, `gc` and `gd` into the other."""
    return started(cells(TWO), "ga", "gc", "gd")


@pytest.fixture
def pair(cells):
    """The same, and only `gc` leads into the other."""
    return started(cells(PAIR), "ga", "gc")


def holder(fleet, call):
    """The entry gateway that holds the one call that was forwarded, when that has reached a host."""
    fleet.until(lambda: fleet.came(call))
    (name,) = [name for name in ("gc", "gd") if fleet.cell_status(name)["forwarded_in"]]
    return name


def trouble(fleet, cell, **troubles):
    """What the cell's hosts suffer from now on."""
    for name, host in fleet.hosts.items():
        if name.startswith(cell):
            host.model_server.faults.replace(*troubles)


# Tables that differ


def test_a_gateway_with_the_last_table_sends_on_what_one_with_an_older_sends_it(cells):
    fleet = cells(TWO | {"c1": ("c1", ("ge",))})
    old, new = fleet.folder / "old.table", fleet.folder / "new.table"
    fleet.write_table({"a1": ("a1", ("ga",)), "b1": ("b1", ("ge",)), "c1": ("c1", ())}, path=old)
    fleet.write_table(path=new)
    fleet.write_table(path=fleet.table)
    for name, zone in (("gc", "b1"), ("gd", "b1"), ("ge", "c1")):
        fleet.start(name, zone, table=new)
    fleet.up("gc", "gd", "ge", version="1.2")
    # `ga` starts last: within a second of its start the other gateways send it the newer table.
    fleet.start("ga", "a1", table=old)  # in the old table `ge` is the entry gateway of b1
    fleet.up("ga", version="1.1")
    call = fleet.ask("ga", fleet.homed("order", "b1"), "t1")
    assert fleet.wait(call).status == OK
    assert len(fleet.came("t1")) == 1
    assert fleet.came("t1")[0].startswith("b1")
    statuses = {name: fleet.cell_status(name) for name in ("ga", "gc", "gd", "ge")}
    assert [statuses[name]["forwarded_out"] for name in ("ga", "ge")] == [1, 1]
    assert statuses["gc"]["forwarded_in"] + statuses["gd"]["forwarded_in"] == 1


def test_gateways_that_take_each_other_for_the_entry_pass_a_call_twice_at_most(cells):
    fleet = cells({"a1": ("a1", ("gx", "gy")), "b1": ("b1", ("gz",))}, hosts=1)
    tables = {"gx": fleet.folder / "x.table", "gy": fleet.folder / "y.table"}
    for name, other in (("gx", "gy"), ("gy", "gx")):
        fleet.write_table({"a1": ("a1", ()), "b1": ("b1", (other,))}, path=tables[name])
    fleet.write_table()
    for name, table in tables.items():
        fleet.start(name, "a1", table=table)
    fleet.up("gx", version="1.1")
    fleet.up("gy", version="1.2")
    answer = fleet.wait(fleet.ask("gx", fleet.homed("order", "b1"), "t1"))
    # Nobody of them leads into b1: it is refused there, and a1 may take it or the client hears of it.
    assert answer.status in (OK, 503)
    assert len(fleet.came("t1")) <= 1
    statuses = {name: fleet.cell_status(name) for name in tables}
    assert [statuses["gx"][way] for way in ("forwarded_out", "forwarded_in")] == [1, 1]
    assert [statuses["gy"][way] for way in ("forwarded_out", "forwarded_in")] == [1, 1]


# Gateways that die


def test_an_entry_that_gets_no_answer_says_so_before_the_first_gateways_time_is_up(cells):
    fleet = started(cells(PAIR), "ga", "gc", more="clients way-back 200ms\n")
    trouble(fleet, "b1", hang=True)
    began = fleet.loop.now()
    answer = fleet.wait(fleet.ask("ga", fleet.homed("order", "b1"), "t1", "Gaproute-Limit-Ms: 1000\r\n"))
    assert answer.status == GATEWAY_TIMEOUT
    assert fleet.loop.now() - began < 1000 * MILLI
    counts = [fleet.status(name)["counts"] for name in ("ga", "gc")]
    assert all(each["scrapped"] == {"order": 1} and "left" not in each for each in counts)


def test_of_many_calls_under_way_as_an_entry_is_killed_none_runs_twice_that_must_not(two):
    calls = [Calls(two, "ga", label=f"c{number}") for number in range(6)]
    for each in calls:
        each.more(10)
    two.stop("gc", signal.SIGKILL)
    for each in calls:
        each.more(30)
    ends = {call: status for each in calls for call, status in each.all_ends().items()}
    assert {status for call, status in ends.items() if "check" in call} == {OK}
    assert {status for call, status in ends.items() if "order" in call} <= {OK, GATEWAY_TIMEOUT}
    assert all(len(two.ran(call)) <= 1 for call in ends if "order" in call)


def test_a_call_that_must_not_run_twice_is_scrapped_when_the_entry_that_holds_it_dies(pair):
    trouble(pair, "b1", hang=True)
    call = pair.ask("ga", pair.homed("order", "b1"), "t1")
    pair.until(lambda: pair.came("t1"))
    pair.stop("gc", signal.SIGKILL)
    answer = pair.wait(call)
    assert (answer.status, answer.headers[b"gaproute-outcome"]) == (GATEWAY_TIMEOUT, b"scrapped")
    assert len(pair.came("t1")) == 1


def test_a_pure_call_is_served_by_another_entry_when_the_one_that_holds_it_dies(two):
    trouble(two, "b1", hang=True)
    call = two.ask("ga", two.homed("check", "b1"), "t1")
    dead = holder(two, "t1")
    trouble(two, "b1")
    two.stop(dead, signal.SIGKILL)
    assert two.wait(call).status == OK
    (left,) = {"gc", "gd"} - {dead}
    assert two.cell_status(left)["forwarded_in"] == 1
    assert two.ran("t1")[0].startswith("b1")


def test_calls_are_served_while_an_entry_stops_and_comes_back(two):
    calls = Calls(two, "ga")
    calls.more()
    two.stop("gc")
    calls.more(60)
    two.start("gc", "b1")
    two.up("gc")
    calls.more()
    assert calls.end() == {OK}
    assert all(len(two.ran(call)) == 1 for call in calls.answers if "order" in call)


def restarted_without_a_table(fleet):
    """`ga`, started anew while there is no file of the table; the file's text."""
    fleet.stop("ga")
    text = fleet.table.read_text()
    fleet.table.unlink()
    fleet.start("ga", "a1")
    fleet.until(lambda: fleet.events("ga", "started")[1:])
    return text


def test_a_gateway_restarted_while_the_table_is_gone_declines_and_serves_when_it_is_back(pair):
    pair.stop("gc")  # which would send it the table
    text = restarted_without_a_table(pair)
    for cell in PAIR:
        answer = pair.wait(pair.ask("ga", pair.homed("order", cell), "t1"))
        assert answer.status == 503
        assert pair.came("t1") == []
    assert pair.cell_status("ga")["version"] is None
    pair.replace(pair.table, text)
    pair.start("gc", "b1")
    pair.up("ga", "gc")
    assert pair.wait(pair.ask("ga", pair.homed("order", "a1"), "t2")).status == OK
    assert pair.wait(pair.ask("ga", pair.homed("order", "b1"), "t3")).status == OK


def test_a_gateway_restarted_while_the_table_is_gone_gets_it_from_another_one(pair):
    restarted_without_a_table(pair)
    assert pair.cell_status("gc")["version"] == "1.1"
    assert pair.wait(pair.ask("gc", pair.homed("order", "b1"), "t1")).status == OK
    pair.up("ga")
    assert pair.cell_status("ga")["version"] == "1.1"
    assert not pair.table.exists()
    assert pair.wait(pair.ask("ga", pair.homed("order", "b1"), "t2")).status == OK


# Files that change or are wrong


def test_no_call_is_lost_while_a_cell_is_drained(pair):
    calls = Calls(pair, "ga")
    calls.more(100)
    pair.write_table({"a1": PAIR["a1"]})
    pair.up("ga", "gc")
    reached = sum(len(pair.came(call)) for call in calls.answers)
    begun = set(calls.answers)
    calls.more(100)
    assert calls.end() == {OK}
    assert reached >= 100
    late = [call for call in calls.answers if call not in begun][4:]
    assert {host[:2] for call in late for host in pair.came(call)} == {"a1"}
    assert all(len(pair.ran(call)) == 1 for call in calls.answers if "order" in call)


def test_no_call_is_lost_while_tables_are_refused_and_each_is_counted(pair):
    calls = Calls(pair, "ga")
    calls.more()
    pair.write_table()
    pair.up("ga", "gc")
    whole = pair.table.read_text()
    wrong = {
        "wrong file": whole[: len(whole) // 2],
        "older": pair.table_text(number=1),
        "contradicts": pair.table_text({"a1": PAIR["a1"], "b1": ("b1", ("ga", "gc"))}),
        "other fleet": pair.table_text(number=9, fleet="south"),
    }
    for reason, text in wrong.items():
        pair.replace(pair.table, text)
        pair.until(lambda reason=reason: pair.cell_status("ga")["refused"].get(reason) == 1)
        calls.more(20)
    pair.table.unlink()
    calls.more(20)
    pair.write_table()
    pair.up("ga", "gc")
    assert calls.end() == {OK}
    refused = pair.cell_status("ga")["refused"]
    assert refused.pop("wrong file") == 2
    assert refused == dict.fromkeys(("older", "contradicts", "other fleet"), 1)
    assert len(pair.events("ga", "cell_table_rejected")) == 5
    assert not pair.events("ga", "peer_cell_table_rejected")
