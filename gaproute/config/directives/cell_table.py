"""The directives of a cell table."""

from collections.abc import Iterable
from typing import Annotated, ClassVar

from pydantic import BeforeValidator, Field

from gaproute.config.parsing import Directive
from gaproute.decisions.cells import bounds
from gaproute.decisions.cells.table import EntryGateway, PointRange

MAX_VERSION_PART = (1 << 63) - 1

CellTableName = Annotated[str, Field(min_length=1, max_length=bounds.MAX_NAME_LENGTH)]
VersionPart = Annotated[int, Field(ge=0, le=MAX_VERSION_PART)]


def _split_parts(value: str | Iterable[str], max_parts: int, what: str) -> Iterable[str]:
    """Splits text at commas; a value that is not text is returned unchanged."""
    if not isinstance(value, str):
        return value
    if value.count(",") >= max_parts:
        raise ValueError(f"more than {max_parts} {what}")
    return value.split(",")


def _parse_point_ranges(value: str | Iterable[str]) -> tuple[PointRange, ...]:
    return tuple(
        _parse_point_range(part)
        for part in _split_parts(value, bounds.MAX_POINT_RANGES_PER_CELL, "ranges of ring points")
    )


def _parse_point_range(part: str) -> PointRange:
    origin, colon, numbers = part.rpartition(":")
    first, plus, count = numbers.partition("+")
    if not (origin and colon and plus and _is_number(first) and _is_number(count)):
        raise ValueError(f"{part!r:.80} is not a range of ring points: expected ORIGIN:FIRST+COUNT")
    return PointRange(origin, int(first), int(count))


def _is_number(text: str) -> bool:
    return text.isascii() and text.isdigit() and len(text) <= len(str(bounds.MAX_RING_POINTS))


def _parse_entry_gateways(value: str | Iterable[str]) -> tuple[EntryGateway, ...]:
    return tuple(
        _parse_entry_gateway(part)
        for part in _split_parts(value, bounds.MAX_ENTRIES_PER_CELL, "entry gateways")
    )


def _parse_entry_gateway(part: str) -> EntryGateway:
    name, equals, address = part.partition("=")
    if not (name and equals and address):
        raise ValueError(f"{part!r:.80} is not an entry gateway: expected NAME=ADDRESS")
    return EntryGateway(name, address)


class TableLine(Directive):
    """The fleet of the table, and the table's version."""

    positional: ClassVar = ("fleet",)
    example: ClassVar = "table north term 3 number 17"
    once: ClassVar = True
    fleet: CellTableName
    term: VersionPart
    number: VersionPart


class CellLine(Directive):
    """One cell: its location, its capacity and its ring points."""

    positional: ClassVar = ("name",)
    example: ClassVar = (
        "cell c1 region west zone west-a capacity 640 hosts 51 points c1:0+32 entries g1=10.0.0.1:8090"
    )
    name: CellTableName
    region: CellTableName
    zone: CellTableName
    capacity: float
    hosts: int
    points: Annotated[tuple[PointRange, ...], BeforeValidator(_parse_point_ranges)]
    entries: Annotated[tuple[EntryGateway, ...], BeforeValidator(_parse_entry_gateways)] = ()


CELL_DIRECTIVES: dict[str, type[Directive]] = {"table": TableLine, "cell": CellLine}
