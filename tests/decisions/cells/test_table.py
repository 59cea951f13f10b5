"""The cell table: rejected tables and rows with their errors, changes, and splits."""

from dataclasses import replace

import pytest
from cells_tables import FLEET, cell, cells, table
from hypothesis import given, settings, strategies

from gaproute.decisions.cells import bounds
from gaproute.decisions.cells.change import TableChange, TableHolder, apply_change
from gaproute.decisions.cells.errors import (
    FullTableNeededError,
    OtherFleetError,
    RowError,
    StaleVersionError,
    TableError,
    TooManyCellsError,
)
from gaproute.decisions.cells.table import EntryGateway, PointRange, split_cell, validate
from gaproute.decisions.cells.version import Version


def test_cells_have_an_order_that_does_not_depend_on_the_rows_order():
    rows = cells(20)
    assert table(rows) == table(rows[::-1])


def test_a_table_without_a_valid_fleet_version_or_cells_is_rejected():
    for fleet, version, rows in (
        ("", Version(1, 1), cells(2)),
        (FLEET, (1, 1), cells(2)),
        (FLEET, Version(-1, 1), cells(2)),
        (FLEET, Version(1, True), cells(2)),
        (FLEET, Version(1, 1), []),
    ):
        with pytest.raises(TableError):
            validate(fleet, version, rows)


INVALID_ROWS = {
    "twice": cell("cell0"),
    "no name": replace(cell("x"), name=""),
    "a name that is no text": replace(cell("x"), name=7),
    "a name with a line break": replace(cell("x"), name="a\nb"),
    "a long name": replace(cell("x"), name="x" * (bounds.MAX_NAME_LENGTH + 1)),
    "no region": replace(cell("x"), region=""),
    "a zone in two regions": replace(cell("x", zone=1), region="region4"),
    "no hosts": replace(cell("x"), hosts=0),
    "too many hosts": replace(cell("x"), hosts=bounds.MAX_HOSTS_PER_CELL + 1),
    "a fraction of hosts": replace(cell("x"), hosts=1.5),
    "no capacity": replace(cell("x"), capacity=0.0),
    "capacity that is not a number": replace(cell("x"), capacity=float("nan")),
    "infinite capacity": replace(cell("x"), capacity=float("inf")),
    "capacity as text": replace(cell("x"), capacity="9"),
    "no points": replace(cell("x"), points=()),
    "points of another cell": replace(cell("x"), points=(PointRange("cell0", 15, 2),)),
    "the same points twice": replace(cell("x"), points=(PointRange("x", 0, 9), PointRange("x", 8, 2))),
    "negative points": replace(cell("x"), points=(PointRange("x", -1, 9),)),
    "an empty range": replace(cell("x"), points=(PointRange("x", 0, 0),)),
    "too many points": replace(cell("x"), points=(PointRange("x", 0, bounds.MAX_RING_POINTS_PER_CELL + 1),)),
    "too many ranges": replace(cell("x"), points=tuple(PointRange("x", n, 1) for n in range(99))),
    "too many entries": replace(cell("x"), entries=tuple(EntryGateway(f"g{n}", "a") for n in range(33))),
    "an entry twice": replace(cell("x"), entries=(EntryGateway("g", "a"), EntryGateway("g", "b"))),
    "an entry without address": replace(cell("x"), entries=(EntryGateway("g", ""),)),
}


@pytest.mark.parametrize("row", INVALID_ROWS.values(), ids=INVALID_ROWS.keys())
def test_the_error_for_an_invalid_row_has_its_row_number(row):
    with pytest.raises(RowError) as error:
        table([*cells(3), row, *cells(3)[:0]])
    assert error.value.row == 4
    assert "row 4" in str(error.value)
    assert len(str(error.value)) < 400


@pytest.mark.parametrize("row", INVALID_ROWS.values(), ids=INVALID_ROWS.keys())
def test_a_change_with_an_invalid_row_leaves_the_table_unchanged(row):
    before = table(cells(3))
    if row.name == "cell0":
        row = replace(row, points=(PointRange("cell1", 0, 1),))
    change = TableChange(FLEET, before.version, Version(1, 2), (cell("new"), row))
    holder = TableHolder(FLEET)
    holder.replace(before)
    with pytest.raises(RowError) as error:
        holder.apply(change)
    assert error.value.row == 2
    assert holder.table is before
    assert holder.needs_full_table


def test_reading_of_a_million_rows_stops_after_the_bound():
    read = []

    def rows():
        for place in range(1_000_000):
            read.append(place)
            yield cell(f"cell{place}", entries=0, capacity=1.0)

    with pytest.raises(TooManyCellsError):
        table(rows())
    assert len(read) == bounds.MAX_CELLS + 1


def test_the_ring_points_of_a_table_are_bounded():
    rows = [replace(cell(f"c{n}"), points=(PointRange(f"c{n}", 0, 1024),)) for n in range(257)]
    with pytest.raises(TableError, match="ring points in all"):
        table(rows)


def test_the_holder_accepts_only_higher_versions_of_its_fleet():
    holder = TableHolder(FLEET)
    with pytest.raises(FullTableNeededError):
        holder.apply(TableChange(FLEET, Version(1, 1), Version(1, 2)))
    holder.replace(table(cells(3), number=5, term=2))
    current = holder.table
    for offered in (table(cells(4), number=5, term=2), table(cells(4), number=9, term=1)):
        with pytest.raises(StaleVersionError):
            holder.replace(offered)
    with pytest.raises(OtherFleetError):
        holder.replace(replace(table(cells(4), number=9, term=9), fleet="south"))
    with pytest.raises(OtherFleetError):
        holder.apply(TableChange("south", current.version, Version(9, 9)))
    with pytest.raises(StaleVersionError):
        holder.apply(TableChange(FLEET, Version(2, 4), Version(2, 5)))
    assert holder.table is current
    assert not holder.needs_full_table
    with pytest.raises(FullTableNeededError):
        holder.apply(TableChange(FLEET, Version(2, 4), Version(2, 6)))
    assert holder.table is current
    assert holder.needs_full_table
    holder.replace(table(cells(4), number=0, term=3))
    assert len(holder.table.cells) == 4
    assert not holder.needs_full_table


def test_a_change_gives_the_same_table_as_the_complete_rows():
    before = table(cells(30))
    rows = (replace(cell("cell3", zone=3), capacity=7.0), cell("new", zone=4))
    after = apply_change(before, TableChange(FLEET, before.version, Version(1, 2), rows, ("cell8",)))
    whole = [row for row in cells(30) if row.name not in ("cell3", "cell8")]
    assert after == table([*whole, *rows], number=2)
    assert before == table(cells(30))


def test_a_change_may_not_remove_missing_cells_or_all_cells():
    before = table(cells(2))
    for removed in (("cell9",), ("cell0", "cell0"), ("cell0", "cell1")):
        with pytest.raises(TableError):
            apply_change(before, TableChange(FLEET, before.version, Version(1, 2), (), removed))
    with pytest.raises(RowError, match="set and removed"):
        apply_change(before, TableChange(FLEET, before.version, Version(1, 2), (cell("cell0"),), ("cell0",)))


def test_a_split_halves_points_hosts_and_capacity():
    whole = replace(cell("a", hosts=101), points=(PointRange("a", 0, 5), PointRange("b", 3, 4)))
    old, new = split_cell(whole, "c", (EntryGateway("g", "x"),))
    assert old.points == (PointRange("a", 0, 5),)
    assert new.points == (PointRange("b", 3, 4),)
    assert old.hosts + new.hosts == 101
    assert new.hosts == 50
    assert old.capacity + new.capacity == pytest.approx(whole.capacity)
    before = table([whole])
    after = apply_change(before, TableChange(FLEET, before.version, Version(1, 2), (old, new)))
    assert set(after.by_name) == {"a", "c"}
    with pytest.raises(TableError):
        split_cell(replace(whole, points=(PointRange("a", 0, 1),)), "c")


@settings(max_examples=60, deadline=None)
@given(strategies.data())
def test_after_any_sequence_of_changes_the_table_is_valid(data):
    """Random changes, valid and invalid: the holder always has a table that `validate` accepts unchanged."""
    holder, number = TableHolder(FLEET), 1
    holder.replace(table(cells(5)))
    for _ in range(data.draw(strategies.integers(1, 8))):
        number += 1
        names = strategies.sampled_from([f"cell{n}" for n in range(9)])
        chosen = data.draw(strategies.lists(names, max_size=4))
        rows = tuple(
            cell(
                name, zone=data.draw(strategies.integers(0, 20)), hosts=data.draw(strategies.integers(0, 60))
            )
            for name in chosen
        )
        removed = tuple(data.draw(strategies.lists(names, max_size=3)))
        base = data.draw(strategies.sampled_from([holder.table.version, Version(1, number - 2)]))
        current = holder.table
        try:
            holder.apply(TableChange(FLEET, base, Version(1, number), rows, removed))
        except TableError:
            assert holder.table is current
            holder.needs_full_table = False
        else:
            assert holder.table.version > current.version
        again = validate(FLEET, holder.table.version, holder.table.cells)
        assert again == holder.table
