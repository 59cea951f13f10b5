"""Which hosts of cells are in force, whatever change logs send in whatever order."""

import json

from followed_cells import PORTS
from hypothesis import given, settings
from hypothesis import strategies as some

from gaproute.appliance.cell_endpoints import CellEndpoints
from gaproute.config.directives.fleet import HostLine
from gaproute.discovery.cell_members import CellMembers
from gaproute.discovery.cell_reconciler import CellReconciler
from gaproute.discovery.changelog.sse import EventReader
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.discovery.name_numbers import MAX_NUMBERED_NAMES
from gaproute.loop import Loop
from gaproute.standins.event_stream import RESPONSE_HEAD
from gaproute.standins.platform.host_list import member

ZONES = {"a1": "a", "a2": "a", "b1": "b"}
CHANGES = some.tuples(
    some.sampled_from(sorted(ZONES)),
    some.booleans(),  # a whole list
    some.lists(
        some.tuples(
            some.sampled_from(sorted(PORTS)),
            some.integers(1, 4),
            some.sampled_from(("active", "draining", "gone")),
            some.sampled_from(("", "", "a", "b")),
        ),
        max_size=4,
    ),
)


def fleet(complete, rows):
    """A list of an event as it is read from a connection."""
    members = [member(name, f"127.0.0.1:{port}", state, zone) for name, port, state, zone in rows]
    watch_event = {"seq": 1, "fleet": {"complete": complete, "members": members}}
    reader = EventReader()
    return reader.feed(RESPONSE_HEAD + b"data: %b\n\n" % json.dumps(watch_event).encode())[0].fleet


@settings(max_examples=150)
@given(some.lists(CHANGES, max_size=12))
def test_no_name_and_no_address_is_in_force_twice_and_no_drain_is_lost(changes):
    cells, force, anew = {cell: CellMembers() for cell in ZONES}, CellReconciler(), CellReconciler()
    for cell, complete, rows in changes:
        before = force.lines_in_force
        cells[cell].apply(fleet(complete, rows))
        force.reconcile({name: each.reported_lines for name, each in cells.items()}, ZONES)
        anew.reconcile({name: dict(each.reported_lines) for name, each in cells.items()}, ZONES)
        assert (force.lines_in_force, force.rejection_reasons) == (
            anew.lines_in_force,
            anew.rejection_reasons,
        )  # every cell gone through again
        held, refused = force.lines_in_force, force.rejection_reasons
        lines = [line for of_cell in held.values() for line in of_cell.values()]
        assert len({line.name for line in lines}) == len({line.where for line in lines}) == len(lines)
        assert all(line.zone in ("", ZONES[name]) for name in held for line in held[name].values())
        last = {name: (state, zone) for name, _, state, zone in rows}  # the last of each counts
        for name, (state, _) in last.items():
            if name in before.get(cell, {}):
                assert state == "active" or name not in held[cell] or held[cell][name].state == state
        for name, each in cells.items():
            assert set(held[name]) <= set(each.reported_lines)
            missing = set(each.reported_lines) - set(held[name])
            assert missing <= set(refused.get(name, {}))


@settings(max_examples=80)
@given(some.lists(CHANGES, max_size=6))
def test_what_is_in_force_stays_while_no_event_comes(changes):
    cells, force = {cell: CellMembers() for cell in ZONES}, CellReconciler()
    for cell, complete, rows in changes:
        cells[cell].apply(fleet(complete, rows))
        force.reconcile({name: each.reported_lines for name, each in cells.items()}, ZONES)
        held = {name: list(lines.items()) for name, lines in force.lines_in_force.items()}
        force.reconcile({name: dict(each.reported_lines) for name, each in cells.items()}, ZONES)
        assert {name: list(lines.items()) for name, lines in force.lines_in_force.items()} == held


def test_an_address_goes_to_another_host_of_the_cell_once_it_is_let_go():
    cell, force = CellMembers(), CellReconciler()
    cell.apply(fleet(True, [("u", 1, "active", ""), ("v", 2, "active", "")]))
    force.reconcile({"a1": cell.reported_lines}, ZONES)
    cell.apply(fleet(False, [("w", 1, "active", "")]))
    force.reconcile({"a1": cell.reported_lines}, ZONES)
    assert set(force.lines_in_force["a1"]) == {"u", "v"}
    assert list(force.rejection_reasons["a1"]) == ["w"]
    cell.apply(fleet(False, [("u", 1, "gone", "")]))
    force.reconcile({"a1": cell.reported_lines}, ZONES)
    assert set(force.lines_in_force["a1"]) == {"v", "w"}
    assert force.rejection_reasons == {}


# Lines as rows


def line(name, port, **fields):
    """A line of a host list."""
    return HostLine(name=name, where=f"127.0.0.1:{port}", **fields)


def test_only_lines_that_changed_are_made_rows_anew():
    endpoints = CellEndpoints(Loop(), use_capacities=True)
    lists = {"a1": [line("u", 1), line("v", 2)], "b1": [line("w", 3)]}
    before = endpoints.convert(lists, ZONES)
    lists = {"a1": [line("u", 1), line("v", 2, state="draining")], "b1": lists["b1"]}
    after = endpoints.convert(lists, ZONES)
    assert after["b1"] is before["b1"]
    assert after["a1"][0] is before["a1"][0]
    assert [row.listed.state.value for row in after["a1"]] == ["active", "draining"]
    moved = endpoints.convert(lists, ZONES | {"b1": "a"})  # a newer table has the cell in another zone
    assert moved["b1"][0].listed.zone == before["a1"][0].listed.zone != before["b1"][0].listed.zone
    assert endpoints.convert({"b1": lists["b1"]}, ZONES) == {"b1": before["b1"]}
    assert list(endpoints.lists) == ["b1"]


def test_racks_that_no_host_has_any_more_are_forgotten_and_no_number_is_given_twice():
    listing, given = HostLineConverter(Loop()), set()
    for number in range(3 * MAX_NUMBERED_NAMES):
        stays, comes = listing.endpoints([line("u", 1, rack="old"), line("v", 2, rack=f"r{number}")])
        assert stays.listed.cell == 0
        assert comes.listed.cell not in given
        given.add(comes.listed.cell)
        assert len(listing.racks.by_name) <= MAX_NUMBERED_NAMES + 1
