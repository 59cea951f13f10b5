"""Forwarded requests between gateways: the header, and what the statuses and fields of the answers state."""

from dataclasses import replace

import pytest
from cell_fleet import models
from cells_tables import cell

from gaproute.decisions.cells.bounds import MAX_NAME_LENGTH
from gaproute.decisions.cells.entries import MAX_HOPS, EntrySelector, Forwarded
from gaproute.decisions.cells.table import EntryGateway
from gaproute.hosts import forwarding
from gaproute.http1 import Server
from gaproute.loop.addresses import parse_address

CELLS = {"a1": ("a1", ("ga", "gx")), "b1": ("b1", ("gb",))}


@pytest.mark.parametrize(
    "cell", ["a1", "a cell, 100%", "ħall/7", "x" * MAX_NAME_LENGTH, "\U0001f600" * MAX_NAME_LENGTH]
)
def test_the_header_can_carry_every_cell_name(cell):
    name, value = forwarding.encode_forwarded(Forwarded(cell, 2))
    assert forwarding.decode_forwarded({name.lower(): value}) == Forwarded(cell, 2)


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
    + [b"1 " + b"x" * (MAX_NAME_LENGTH + 1), b"1 " + b"%41" * 4096, b"1 a1, 1 a1" + b"x" * 4096],
)
def test_a_malformed_header_is_ignored(value):
    assert forwarding.decode_forwarded({forwarding.FORWARDED_HEADER: value}) is None


def test_a_request_with_too_many_hops_counts_as_one_with_the_most():
    assert forwarding.decode_forwarded({forwarding.FORWARDED_HEADER: b"9 a1"}) == Forwarded("a1", MAX_HOPS)


def test_the_status_of_a_forwarded_request_states_that_it_never_ran_only_if_that_is_known(cells):
    fleet = cells(CELLS)
    fleet.write_table()
    fleet.start("ga", "a1")
    fleet.up("ga")
    sent = "Gaproute-Forwarded: 1 a1\r\n"

    def outcome_of(fault, model, fields=sent, addresses=fleet.entries):
        for name in ("a1-h0", "a1-h1"):
            fleet.hosts[name].model_server.faults.replace(fault)
        answer = fleet.wait(fleet.ask("ga", model, f"{fault} {model}", fields, addresses))
        return answer.status, answer.headers[b"gaproute-outcome"]

    order, check = fleet.homed("order", "a1"), fleet.homed("check", "a1")
    assert outcome_of("fail", order) == (504, b"scrapped")
    assert outcome_of("fail", check) == (503, b"declined")  # it may have run
    assert outcome_of("refuse", order) == (429, b"declined")
    assert outcome_of("refuse", check) == (429, b"declined")
    assert outcome_of("refuse", check, addresses=fleet.clients) == (
        503,
        b"declined",
    )  # the header of a client is ignored
    assert outcome_of("refuse", check, "Gaproute-Forwarded: many a1\r\n") == (503, b"declined")
    answer = fleet.wait(fleet.ask("ga", check, "known", "Gaproute-Forwarded: 1 moon\r\n", fleet.entries))
    assert (answer.status, answer.headers[b"gaproute-outcome"]) == (404, b"declined")  # no such cell here
    assert fleet.came("known") == []


def test_a_forwarded_request_reports_the_load_of_the_cell_and_keeps_its_deadline(cells):
    fleet = cells(CELLS)
    fleet.write_table()
    fleet.start("ga", "a1", more="clients way-back 400ms\n")  # time for the answer on a busy machine
    fleet.up("ga")
    model = fleet.homed("order", "a1")
    answer = fleet.wait(fleet.ask("ga", model, "t1", "Gaproute-Forwarded: 1 a1\r\n", fleet.entries))
    assert answer.status == 200
    assert b'"in_hand"' in answer.headers[b"endpoint-load-metrics"]
    for name in ("a1-h0", "a1-h1"):
        fleet.hosts[name].model_server.faults.replace("hang")
    started_at = fleet.loop.now()
    answer = fleet.wait(
        fleet.ask("ga", model, "t2", "Gaproute-Forwarded: 1 a1\r\nGaproute-Limit-Ms: 600\r\n")
    )
    assert answer.status == 504
    assert fleet.loop.now() - started_at < 600_000_000


FORWARDED = "Gaproute-Forwarded: 1 {}\r\n"


def test_an_entry_without_a_table_answers_that_it_does_not_know_the_cell(cells):
    fleet = cells(CELLS)
    fleet.written = fleet.table_text(number=1)
    fleet.start("gb", "b1")  # there is no table file
    fleet.until(lambda: fleet.status("gb"))
    model = fleet.homed("order", "b1")
    answer = fleet.wait(fleet.ask("gb", model, "t", FORWARDED.format("b1"), fleet.entries))
    assert (answer.status, answer.headers[b"gaproute-outcome"]) == (404, b"declined")
    assert int(answer.headers[b"gaproute-retry-after-ms"]) > 0
    assert fleet.came("t") == []
    assert fleet.wait(fleet.ask("gb", model, "u")).status == 503  # a client is rejected as usual


class UnknowingEntry:
    """An entry that knows no cell: it answers each request with 404."""

    def __init__(self, fleet, name):
        self.request_count = 0
        fleet.close_also(Server(fleet.loop, parse_address(fleet.entries[name]), self.handle))

    def handle(self, request):
        self.request_count += 1
        request.connection.server.answer(request, 404, (), b"")


@pytest.mark.parametrize("others", [1, 0])
def test_requests_avoid_an_entry_that_does_not_know_the_cell(cells, others):
    """They go to the next entry of the same cell, or to the next cell if there is none."""
    first = next(name for name in map("e{}".format, range(99)) if is_ranked_before("ga", name, "gb"))
    fleet = cells({"a1": ("a1", ("ga",)), "b1": ("b1", (first, "gb")[: 1 + others])})
    unknowing_entry = UnknowingEntry(fleet, first)
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
    assert unknowing_entry.request_count == 1  # avoided after the first answer


def is_ranked_before(gateway, one, other):
    """Whether the gateway tries entry `one` before entry `other`."""
    entries = (EntryGateway(one, ""), EntryGateway(other, ""))
    return EntrySelector(gateway).ordered_entries(replace(cell("b1"), entries=entries))[0].name == one


def test_forwarded_answers_report_what_the_request_found_at_the_host(cells):
    """Also if an entry that does not know the cell forwarded the request once more."""
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
def test_the_request_id_of_a_forwarded_request_is_kept_or_ignored_if_malformed(mark, origin):
    assert forwarding.decode_origin({b"gaproute-task": mark}) == origin


def test_only_another_gateway_can_set_the_request_id_of_a_request(cells):
    fleet = cells(CELLS)
    fleet.write_table()
    fleet.start("ga", "a1")
    fleet.up("ga")
    model = fleet.homed("check", "a1")
    mark = "Gaproute-Task: other-1\r\n"
    for call, fields, addresses in (
        ("client", FORWARDED.format("a1") + mark, fleet.clients),
        ("peer", mark, fleet.entries),
        ("forwarded", FORWARDED.format("a1") + mark, fleet.entries),
    ):
        assert fleet.wait(fleet.ask("ga", model, call, fields, addresses)).status == 200
        marks = {
            event["mark"]
            for tap in fleet.taps.values()
            for event in tap.events
            if event["what"] == "task" and event["id"] == call
        }
        assert (marks == {"other-1"}) == (call == "forwarded")
        assert len(marks) == 1
