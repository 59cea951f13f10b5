"""Encodes cell tables and changes as MessagePack; a complete table is also compressed.

Decoding is strict, within size limits. The digest of a table is the sum of the hashes of its rows, so that
updating it costs only as much as hashing the changed rows. It detects accidental differences between tables,
but does not protect against forgery.
"""

import zlib
from collections.abc import Iterable

import msgspec
from xxhash import xxh3_64_intdigest

from gaproute.decisions.cells.bounds import MAX_CELLS
from gaproute.decisions.cells.change import TableChange
from gaproute.decisions.cells.errors import TableError
from gaproute.decisions.cells.table import Cell, CellTable, EntryGateway, PointRange, validate
from gaproute.decisions.cells.version import Version

MAX_TABLE_BYTES = 16 << 20  # size of a table before compression
DIGEST_MODULUS = 1 << 64


class Row(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The encoded form of a cell."""

    name: str
    region: str
    zone: str
    capacity: float
    hosts: int
    points: list[tuple[str, int, int]]
    entries: list[tuple[str, str]]


class ChangeBody(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """The encoded form of a change, without its versions, which are sent separately."""

    rows: list[Row]
    removed: list[str]


_encode = msgspec.msgpack.Encoder().encode
_decode_rows = msgspec.msgpack.Decoder(list[Row]).decode
_decode_change = msgspec.msgpack.Decoder(ChangeBody).decode


def _to_row(cell: Cell) -> Row:
    points = [(each.origin, each.first, each.size) for each in cell.points]
    entries = [(entry.name, entry.address) for entry in cell.entries]
    return Row(cell.name, cell.region, cell.zone, float(cell.capacity), cell.hosts, points, entries)


def _to_cell(row: Row) -> Cell:
    points = tuple(PointRange(*points) for points in row.points)
    entries = tuple(EntryGateway(*entry) for entry in row.entries)
    return Cell(row.name, row.region, row.zone, row.capacity, row.hosts, points, entries)


def cells_digest(cells: Iterable[Cell]) -> int:
    """The digest of these cells; does not depend on their order."""
    return sum(xxh3_64_intdigest(_encode(_to_row(cell))) for cell in cells) % DIGEST_MODULUS


def digest_after(digest: int, before: CellTable, change: TableChange) -> int:
    """The digest of the table `before`, whose digest is `digest`, after the change is applied."""
    names = [*change.removed, *(cell.name for cell in change.rows)]
    replaced = [before.by_name[name] for name in names if name in before.by_name]
    return (digest - cells_digest(replaced) + cells_digest(change.rows)) % DIGEST_MODULUS


def encode_table(table: CellTable) -> bytes:
    """Encodes the rows of a table."""
    return zlib.compress(_encode([_to_row(cell) for cell in table.cells]))


def decode_table(fleet: str, version: Version, data: bytes) -> CellTable:
    """Decodes and validates a table. Raises TableError."""
    inflater = zlib.decompressobj()
    try:
        uncompressed = inflater.decompress(data, MAX_TABLE_BYTES)
        if not inflater.eof or inflater.unused_data:
            raise TableError(
                "cannot decode a table: its compressed data is truncated, has trailing bytes or is "
                "larger than MAX_TABLE_BYTES when uncompressed"
            )
        rows = _decode_rows(uncompressed)
    except (zlib.error, msgspec.DecodeError, RecursionError) as fault:
        raise TableError(f"cannot decode a table: {fault}") from None
    return validate(fleet, version, map(_to_cell, rows))


def encode_change(change: TableChange) -> bytes:
    """Encodes a change without its versions."""
    return _encode(ChangeBody([_to_row(cell) for cell in change.rows], list(change.removed)))


def decode_change(fleet: str, base: Version, version: Version, data: bytes) -> TableChange:
    """Decodes a change without checking it against a table. Raises TableError."""
    try:
        body = _decode_change(data)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise TableError(f"cannot decode a change: {fault}") from None
    if len(body.rows) > MAX_CELLS or len(body.removed) > MAX_CELLS:
        raise TableError(f"a change has more than {MAX_CELLS} changed or removed cells")
    return TableChange(fleet, base, version, tuple(map(_to_cell, body.rows)), tuple(body.removed))
