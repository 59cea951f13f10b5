"""The difference between two tables as bytes: for whoever holds the older one, far behind.

Most rows of a table that is an hour older differ in their hosts and capacity only. Those are told by the
row's place among the names in order, in columns, which compress to a few bytes a row; all other rows that
differ are told whole.
"""

import zlib
from struct import Struct, error

import msgspec

from gaproute.decisions.cells.bounds import MAX_CELLS
from gaproute.decisions.cells.errors import TableError
from gaproute.decisions.cells.table import Cell, CellTable, Version, validate
from gaproute.peers.tables.encoding import MAX_TABLE, Row, cell_of, row_of

CAPACITY_BYTES = 8


class Body(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """`steps`: from each place to the next one; `capacities`: doubles, their first bytes first."""

    removed: list[str]
    rows: list[Row]
    steps: list[int]
    hosts: list[int]
    capacities: bytes


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Body).decode


def encode_difference(after: CellTable, removed, rows, numbers) -> bytes:
    """`removed`: names that are gone; `rows`: names of cells told whole; `numbers`: of those whose hosts and
    capacity alone differ."""
    numbers = set(numbers)
    places = [place for place, cell in enumerate(after.cells) if cell.name in numbers]
    steps = [place - before for place, before in zip(places, [0, *places], strict=False)]
    cells = [after.cells[place] for place in places]
    body = Body(
        list(removed),
        [row_of(after.by_name[name]) for name in rows],
        steps,
        [cell.hosts for cell in cells],
        _columns([cell.capacity for cell in cells]),
    )
    return zlib.compress(_encode(body), 9)


def apply_difference(before: CellTable, version: Version, data: bytes) -> CellTable:
    """The table after the difference. Errors: TableError."""
    body = _read(data)
    cells = dict(before.by_name)
    for name in body.removed:
        cells.pop(name, None)  # it may have come and gone since
    cells.update((row.name, cell_of(row)) for row in body.rows)
    names = sorted(cells)
    place = 0
    for step, hosts, capacity in zip(body.steps, body.hosts, _doubles(body.capacities), strict=True):
        place += step
        if not 0 <= place < len(names):
            raise TableError("the difference names a row that is not there")
        cells[names[place]] = _with_numbers(cells[names[place]], hosts, capacity)
    return validate(before.fleet, version, cells.values())


def _with_numbers(cell, hosts, capacity):
    return Cell(cell.name, cell.region, cell.zone, capacity, hosts, cell.points, cell.entries)


def _read(data):
    inflater = zlib.decompressobj()
    try:
        plain = inflater.decompress(data, MAX_TABLE)
        if not inflater.eof or inflater.unused_data:
            raise TableError("the difference is cut short, too long or followed by something else")
        body = _decode(plain)
    except (zlib.error, msgspec.DecodeError, RecursionError) as fault:
        raise TableError(f"the difference cannot be read: {fault}") from None
    if max(len(body.rows), len(body.removed), len(body.steps)) > MAX_CELLS:
        raise TableError(f"a difference of more than {MAX_CELLS} cells")
    if not len(body.steps) == len(body.hosts) == len(body.capacities) / CAPACITY_BYTES:
        raise TableError("the columns of the difference are not equally long")
    return body


def _columns(numbers):
    """Doubles with all first bytes first, then all second ones: alike bytes stand together."""
    packed = Struct(f">{len(numbers)}d").pack(*numbers)
    return b"".join(packed[place::CAPACITY_BYTES] for place in range(CAPACITY_BYTES))


def _doubles(columns):
    count = len(columns) // CAPACITY_BYTES
    packed = b"".join(columns[place::count] for place in range(count))
    try:
        return Struct(f">{count}d").unpack(packed)
    except error:
        raise TableError("the capacities of the difference cannot be read") from None
