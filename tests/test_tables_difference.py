"""Differences between tables: what they lead to, how small they are, what is refused."""

import zlib
from dataclasses import replace

import msgspec
import pytest
from cells_tables import FLEET, cell, cells, table

from gaproute.decisions.cells.change import TableChange, TableHolder
from gaproute.decisions.cells.errors import TableError
from gaproute.decisions.cells.table import Version
from gaproute.decisions.chance import Chance
from gaproute.peers.tables import difference, encoding, history
from gaproute.peers.tables.document import TableDocument, encoded_change
from gaproute.shared.dissemination import Change, DocumentError
from gaproute.shared.dissemination.bounds import PART_BYTES
from gaproute.shared.dissemination.messages import NOTHING

HOUR_CHANGES = 1_917  # at 46,000 a day


def document(held):
    holder = TableHolder(FLEET)
    holder.take(held)
    return TableDocument(holder)


def told(held, rows=(), removed=()):
    """The encoded change of a document."""
    version = Version(held.version.term, held.version.number + 1)
    return encoded_change(held, TableChange(FLEET, held.version, version, tuple(rows), tuple(removed)))


def some_change(held, chance, number):
    """Numbers most often, else another shape, a new cell or one that goes."""
    rows = held.holder.table.cells
    row, kind = rows[chance.below(len(rows))], chance.below(10)
    if kind < 6:
        return told(held, [replace(row, hosts=1 + chance.below(300), capacity=0.5 + chance.below(5_000))])
    if kind < 8:
        return told(held, [replace(row, entries=row.entries[1:])])
    if kind < 9 or len(rows) < 10:
        return told(held, [cell(f"new{number}", zone=number)])
    return told(held, removed=[row.name])


def difference_between(newer, older):
    return Change(older.version, newer.version, newer.digest, newer.difference(older.version))


@pytest.mark.parametrize("seed", (1, 2, 3))
def test_a_difference_from_any_version_known_leads_to_the_same_table(seed):
    chance, first = Chance(seed), table(cells(40))
    newest, olders = document(first), [document(first)]
    for number in range(200):
        change = some_change(newest, chance, number)
        newest.apply(change)
        if number % 25 == 0:
            olders.append(document(newest.holder.table))
    for older in olders:
        if older.version < newest.version:
            older.apply_difference(difference_between(newest, older))
        assert older.holder.table == newest.holder.table and older.digest == newest.digest
    # Who took a difference can tell one itself, of what came after its own first version.
    middle = olders[3]
    before = document(first)
    assert middle.difference(before.version) is None
    newest.apply(some_change(newest, chance, 999))
    middle.apply_difference(difference_between(newest, middle))
    assert middle.holder.table == newest.holder.table


def test_an_hours_changes_are_a_few_parts_where_the_whole_is_many():
    chance, first = Chance(7), table(cells(490, entries=3))
    newest, older = document(first), document(first)
    for _ in range(HOUR_CHANGES):
        row = newest.holder.table.cells[chance.below(490)]
        hosts = 200 + chance.below(57)
        newest.apply(told(newest, [replace(row, hosts=hosts, capacity=4.0 * hosts)]))
    data = newest.difference(older.version)
    assert len(data) <= 2 * PART_BYTES < len(newest.whole()) / 4
    older.apply_difference(difference_between(newest, older))
    assert older.holder.table == newest.holder.table


def test_a_whole_table_that_is_taken_ends_no_history():
    first = table(cells(40))
    newest, older = document(first), document(first)
    rows = [replace(row, capacity=9.0) if row.name == "cell7" else row for row in first.cells[1:]]
    later = table(rows, number=9)
    newest.replace(later.version, encoding.cells_digest(later.cells), encoding.encode_table(later))
    assert len(newest.difference(older.version)) < 100
    older.apply_difference(difference_between(newest, older))
    assert older.holder.table == later


def test_the_history_is_bounded_and_knows_no_version_before_it():
    first = table(cells(30))
    held = document(first)
    assert held.difference(Version(1, 0)) is None and held.difference(NOTHING) is None
    assert TableDocument(TableHolder(FLEET)).difference(NOTHING) is None
    for number in range(history.MAX_REMOVED + 10):
        held.apply(told(held, [cell(f"new{number}")]))
        held.apply(told(held, removed=[f"new{number}"]))
    assert len(held.history.removed) == history.MAX_REMOVED
    assert held.difference(first.version) is None
    assert held.difference(Version(1, held.version.number - 100)) is not None
    assert max(len(held.history.numbers), len(held.history.shapes)) <= len(held.holder.table.cells)


def test_a_difference_from_another_history_is_refused_and_the_table_stands():
    first = table(cells(30))
    one, other = document(first), document(first)
    one.apply(told(one, [replace(first.cells[3], capacity=7.0)]))
    other.apply(told(other, [replace(first.cells[5], capacity=8.0)]))
    one.apply(told(one, [replace(first.cells[9], capacity=9.0)]))
    held = other.holder.table
    with pytest.raises(DocumentError, match="digest"):
        other.apply_difference(difference_between(one, other))
    assert other.holder.table is held
    with pytest.raises(DocumentError, match="without"):
        TableDocument(TableHolder(FLEET)).apply_difference(difference_between(one, other))


def body(removed=(), rows=(), steps=(), hosts=(), capacities=b""):
    made = difference.Body(list(removed), list(rows), list(steps), list(hosts), capacities)
    return zlib.compress(msgspec.msgpack.encode(made))


def test_what_is_no_difference_is_refused():
    first = table(cells(30))
    good = difference.encode_difference(first, (), (), ["cell3"])
    assert difference.apply_difference(first, Version(1, 2), good).cells == first.cells
    for data in (
        b"",
        b"noise",
        good[:-4],
        good + b"x",
        zlib.compress(b"noise"),
        zlib.compress(bytes(4 * encoding.MAX_TABLE)),
        body(steps=[30], hosts=[1], capacities=bytes(8)),
        body(steps=[-1], hosts=[1], capacities=bytes(8)),
        body(steps=[1 << 62], hosts=[1], capacities=bytes(8)),
        body(steps=[1], hosts=[], capacities=bytes(8)),
        body(steps=[1], hosts=[1], capacities=bytes(9)),
        body(steps=[1], hosts=[0], capacities=b"\x40" + bytes(7)),
        body(steps=[1], hosts=[1], capacities=b"\x7f\xf8" + bytes(6)),
        body(removed=[row.name for row in first.cells]),
        body(removed=["x"] * 5_000),
    ):
        with pytest.raises(TableError):
            difference.apply_difference(first, Version(1, 2), data)
