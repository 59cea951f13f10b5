"""What gateways send each other with forwarded calls: the header, and the statuses that prove something."""

from dataclasses import replace

import pytest
from cell_fleet import models
from cells_tables import cell

from gaproute.decisions.cells.bounds import MAX_NAME
from gaproute.decisions.cells.entries import MAX_HOPS, EntrySelector, Forwarded
from gaproute.decisions.cells.table import EntryGateway
from gaproute.hosts import forwarding
from gaproute.http1 import Server
from gaproute.loop.addresses import parse_address

CELLS = {"a1": ("a1", ("ga", "gx")), "b1": ("b1", ("gb",))}


@pytest.mark.parametrize("cell", ["a1", "a cell, 100%", "ħall/7", "x" * MAX_NAME, "\U0001f600" * MAX_NAME])
def test_the_header_holds_every_name_of_a_cell(cell):
    name, value = forwarding.encode(Forwarded(cell, 2))
    assert forwarding.decode({name.lower(): value}) == Forwarded(cell, 2)


@pytest.mark.parametrize(
    "value",
    [
        b"",
        b"1",
        b"1 ",
        b"0 a1",
        b"-1 a1",
        b"a1 1",
        b"\xb2 a1",
        b"1 \xff",
        b"1 %ff",
        b"100 a1",
        b"1 %0a",
        b"1 %00",
    ]
    + [b"1 " + b"x" * (MAX_NAME + 1), b"1 " + b"%41" * 4096, b"1 a1, 1 a1" + b"x" * 4096],
)
def test_a_malformed_header_is_ignored(value):
    assert forwarding.decode({forwarding.HEADER: value}) is None


def test_a_call_that_came_too_far_goes_no_further():
    assert forwarding.decode({forwarding.HEADER: b"9 a1"}) == Forwarded("a1", MAX_HOPS)


def test_the_status_of_a_forwarded_call_proves_that_it_never_ran_only_where_that_is_known(cells):
    fleet = cells(CELLS)
    fleet.write_table()
    fleet.start("ga", "a1")
    fleet.up("ga")
    sent = "Gaproute-Forwarded: 1 a1\r\n"

    def end(trouble, model, fields=sent, wheres=fleet.entries):
        for name in ("a1-h0", "a1-h1"):
            fleet.hosts[name].model_server.faults.replace(trouble)
        answer = fleet.wait(fleet.ask("ga", model, f"{trouble} {model}", fields, wheres))
        return answer.status, answer.headers[b"gaproute-outcome"]

    order, check = fleet.homed("order", "a1"), fleet.homed("check", "a1")
    assert end("fail", order) == (504, b"scrapped")
    assert end("fail", check) == (503, b"declined")  # it may have run
    assert end("refuse", order) == (429, b"declined")
    assert end("refuse", check) == (429, b"declined")
    assert end("refuse", check, wheres=fleet.clients) == (
        503,
        b"declined",
    )  # a client that says so chooses nothing
    assert end("refuse", check, "Gaproute-Forwarded: many a1\r\n") == (503, b"declined")
    answer = fleet.wait(fleet.ask("ga", check, "known", "Gaproute-Forwarded: 1 moon\r\n", fleet.entries))
    assert (answer.status, answer.headers[b"gaproute-outcome"]) == (404, b"declined")  # no such cell here
    assert fleet.came("known") == []


def test_a_forwarded_call_reports_the_cells_load_and_retains_its_limit(cells):
    fleet = cells(CELLS)
    fleet.write_table()
    fleet.start("ga", "a1", more="clients way-back 400ms\n")  # a busy machine's share of the limit
    fleet.up("ga")
    model = fleet.homed("order", "a1")
    answer = fleet.wait(fleet.ask("ga", model, "t1", "Gaproute-Forwarded: 1 a1\r\n", fleet.entries))
    assert answer.status == 200
    assert b'"in_hand"' in answer.headers[b"endpoint-load-metrics"]
    for name in ("a1-h0", "a1-h1"):
        fleet.hosts[name].model_server.faults.replace("hang")
    began = fleet.loop.now()
    answer = fleet.wait(
        fleet.ask("ga", model, "t2", "Gaproute-Forwarded: 1 a1\r\nGaproute-Limit-Ms: 600\r\n")
    )
    assert answer.status == 504
    assert fleet.loop.now() - began < 600_000_000


FORWARDED = "Gaproute-Forwarded: 1 {}\r\n"


def test_an_entry_without_a_table_says_that_it_does_not_know_the_cell(cells):
    fleet = cells(CELLS)
    fleet.written = fleet.table_text(number=1)
    fleet.start("gb", "b1")  # no table is there
    fleet.until(lambda: fleet.status("gb"))
    model = fleet.homed("order", "b1")
    answer = fleet.wait(fleet.ask("gb", model, "t", FORWARDED.format("b1"), fleet.entries))
    assert (answer.status, answer.headers[b"gaproute-outcome"]) == (404, b"declined")
    assert int(answer.headers[b"gaproute-retry-after-ms"]) > 0
    assert fleet.came("t") == []
    assert fleet.wait(fleet.ask("gb", model, "u")).status == 503  # a client is declined as ever


class Unknowing:
    """An entry that knows no cell: it answers each call with 404."""

    def __init__(self, fleet, name):
        self.came = 0
        fleet.close_also(Server(fleet.loop, parse_address(fleet.entries[name]), self.handle))

    def handle(self, request):
        self.came += 1
        request.connection.server.answer(request, 404, (), b"")


@pytest.mark.parametrize("others", [1, 0])
def test_calls_pass_an_entry_that_does_not_know_the_cell(cells, others):
    """By the next entry into the same cell, or where there is none to the next cell."""
    first = next(name for name in map("e{}".format, range(99)) if ranks_before("ga", name, "gb"))
    fleet = cells({"a1": ("a1", ("ga",)), "b1": ("b1", (first, "gb")[: 1 + others])})
    unknowing = Unknowing(fleet, first)
    fleet.write_table()
    names = ["ga", *["gb"] * others]
    for name in names:
        fleet.start(name, "a1" if name == "ga" else "b1")
    fleet.up(*names)
    fleet.until(lambda: not others or fleet.cell_status("gb")["known"] == ["b1"])
    for model in [model for model in models("order") if fleet.home(model) == "b1"][:3]:
        answer = fleet.wait(fleet.ask("ga", model, model))
        assert answer.status == 200
        assert [host[:2] for host in fleet.came(model)] == ["b1" if others else "a1"]
    assert unknowing.came == 1  # passed over from then on


def ranks_before(gateway, one, other):
    """Whether the gateway asks the one entry before the other."""
    ways = (EntryGateway(one, ""), EntryGateway(other, ""))
    return EntrySelector(gateway).order(replace(cell("b1"), entries=ways))[0].name == one


def test_forwarded_answers_report_what_the_call_found_at_the_host(cells):
    """Also where an entry that does not know the cell forwarded it once more."""
    fleet = cells(CELLS)
    fleet.write_table()
    for name in ("ga", "gb"):
        fleet.start(name, f"{name[1]}1")
    fleet.up("ga", "gb")
    model = fleet.homed("check", "b1")
    for name, copy in (("gb", b'"copy":1'), ("ga", b'"copy":1')):
        answer = fleet.wait(fleet.ask(name, model, name, FORWARDED.format("b1"), fleet.entries))
        assert answer.status == 200
        assert copy in answer.headers[b"endpoint-load-metrics"]
    for host in ("b1-h0", "b1-h1"):
        fleet.hosts[host].model_server.pool.instances.clear()
    answer = fleet.wait(fleet.ask("ga", model, "cold", FORWARDED.format("b1"), fleet.entries))
    assert answer.status == 200
    assert b'"copy":2' in answer.headers[b"endpoint-load-metrics"]
    answer = fleet.wait(fleet.ask("ga", model, "client"))
    assert answer.status == 200
    assert b"endpoint-load-metrics" not in answer.headers


@pytest.mark.parametrize(
    ("mark", "origin"),
    [
        (b"ga-17-1", "ga-17-1"),
        (b"", ""),
        (b"a b", ""),
        (b"\xff", ""),
        (b"x" * 256, "x" * 256),
        (b"x" * 257, ""),
    ],
)
def test_the_mark_of_a_forwarded_call_is_passed_on_or_ignored_where_it_is_malformed(mark, origin):
    assert forwarding.decode_origin({b"gaproute-task": mark}) == origin


def test_only_a_gateway_names_the_mark_of_a_call(cells):
    fleet = cells(CELLS)
    fleet.write_table()
    fleet.start("ga", "a1")
    fleet.up("ga")
    model = fleet.homed("check", "a1")
    mark = "Gaproute-Task: other-1\r\n"
    for call, fields, wheres in (
        ("client", FORWARDED.format("a1") + mark, fleet.clients),
        ("peer", mark, fleet.entries),
        ("forwarded", FORWARDED.format("a1") + mark, fleet.entries),
    ):
        assert fleet.wait(fleet.ask("ga", model, call, fields, wheres)).status == 200
        marks = {
            event["mark"]
            for tap in fleet.taps.values()
            for event in tap.events
            if event["what"] == "task" and event["id"] == call
        }
        assert (marks == {"other-1"}) == (call == "forwarded")
        assert len(marks) == 1
