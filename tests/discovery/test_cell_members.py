"""Which hosts of cells are in force, whatever logs tell in whatever order."""

import json

from followed_cells import PORTS
from hypothesis import given, settings
from hypothesis import strategies as some

from gaproute.appliance.cell_rows import CellRows
from gaproute.config.directives.fleet import HostLine
from gaproute.discovery.cell_members import CellMembers
from gaproute.discovery.cells_in_force import CellsInForce
from gaproute.discovery.changelog.events import Reader
from gaproute.discovery.listing import MAX_NUMBERED, Listing
from gaproute.loop import Loop
from gaproute.standins.cell_source import HEAD
from gaproute.standins.platform.listing import member

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
    told = {"seq": 1, "fleet": {"complete": complete, "members": members}}
    reader = Reader()
    return reader.feed(HEAD + b"data: %b\n\n" % json.dumps(told).encode())[0].fleet


@settings(max_examples=150)
@given(some.lists(CHANGES, max_size=12))
def test_no_name_and_no_address_is_in_force_twice_and_no_drain_is_lost(changes):
    cells, force, anew = {cell: CellMembers() for cell in ZONES}, CellsInForce(), CellsInForce()
    for cell, complete, rows in changes:
        before = force.lists
        cells[cell].take(fleet(complete, rows))
        force.settle({name: each.offered for name, each in cells.items()}, ZONES)
        anew.settle({name: dict(each.offered) for name, each in cells.items()}, ZONES)
        assert (force.lists, force.refused) == (anew.lists, anew.refused)  # every cell gone through again
        held, refused = force.lists, force.refused
        lines = [line for of_cell in held.values() for line in of_cell.values()]
        assert len({line.name for line in lines}) == len({line.where for line in lines}) == len(lines)
        assert all(line.zone in ("", ZONES[name]) for name in held for line in held[name].values())
        last = {name: (state, zone) for name, _, state, zone in rows}  # the last of each counts
        for name, (state, _) in last.items():
            if name in before.get(cell, {}):
                assert state == "active" or name not in held[cell] or held[cell][name].state == state
        for name, each in cells.items():
            assert set(held[name]) <= set(each.offered)
            missing = set(each.offered) - set(held[name])
            assert missing <= set(refused.get(name, {}))


@settings(max_examples=80)
@given(some.lists(CHANGES, max_size=6))
def test_what_is_in_force_stays_while_nothing_is_told(changes):
    cells, force = {cell: CellMembers() for cell in ZONES}, CellsInForce()
    for cell, complete, rows in changes:
        cells[cell].take(fleet(complete, rows))
        force.settle({name: each.offered for name, each in cells.items()}, ZONES)
        held = {name: list(lines.items()) for name, lines in force.lists.items()}
        force.settle({name: dict(each.offered) for name, each in cells.items()}, ZONES)
        assert {name: list(lines.items()) for name, lines in force.lists.items()} == held


def test_an_address_goes_to_another_host_of_the_cell_once_it_is_let_go():
    cell, force = CellMembers(), CellsInForce()
    cell.take(fleet(True, [("u", 1, "active", ""), ("v", 2, "active", "")]))
    force.settle({"a1": cell.offered}, ZONES)
    cell.take(fleet(False, [("w", 1, "active", "")]))
    force.settle({"a1": cell.offered}, ZONES)
    assert set(force.lists["a1"]) == {"u", "v"} and list(force.refused["a1"]) == ["w"]
    cell.take(fleet(False, [("u", 1, "gone", "")]))
    force.settle({"a1": cell.offered}, ZONES)
    assert set(force.lists["a1"]) == {"v", "w"} and force.refused == {}


# Lines as rows


def line(name, port, **told):
    """A line of a host list."""
    return HostLine(name=name, where=f"127.0.0.1:{port}", **told)


def test_only_lines_that_changed_are_made_rows_anew():
    rows = CellRows(Loop(), True)
    lists = {"a1": [line("u", 1), line("v", 2)], "b1": [line("w", 3)]}
    before = rows.of(lists, ZONES)
    lists = {"a1": [line("u", 1), line("v", 2, state="draining")], "b1": lists["b1"]}
    after = rows.of(lists, ZONES)
    assert after["b1"] is before["b1"] and after["a1"][0] is before["a1"][0]
    assert [row.listed.state.value for row in after["a1"]] == ["active", "draining"]
    moved = rows.of(lists, ZONES | {"b1": "a"})  # a newer table has the cell in another zone
    assert moved["b1"][0].listed.zone == before["a1"][0].listed.zone != before["b1"][0].listed.zone
    assert rows.of({"b1": lists["b1"]}, ZONES) == {"b1": before["b1"]} and list(rows.lists) == ["b1"]


def test_racks_that_no_host_has_any_more_are_forgotten_and_no_number_is_given_twice():
    listing, given = Listing(Loop()), set()
    for number in range(3 * MAX_NUMBERED):
        stays, comes = listing.rows([line("u", 1, rack="old"), line("v", 2, rack=f"r{number}")])
        assert stays.listed.cell == 0 and comes.listed.cell not in given
        given.add(comes.listed.cell)
        assert len(listing.racks.of) <= MAX_NUMBERED + 1
