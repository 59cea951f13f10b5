"""The text form of the cell table: lines as those of the configuration, refused whole where one is wrong.

    table north version 1.3
    cell a1 region west zone west-a capacity 100 hosts 51 entries gate-1=127.0.0.1:8080,gate-2=127.0.0.1:8081
    cell a2 region west zone west-b capacity 100 hosts 51 points a1:16+16,a2:0+16
    end

Without `points` a cell has those of its own name, in proportion to its capacity; a split names them. The last
line shows that the file is not torn.
"""

import os
from typing import Annotated, ClassVar

from pydantic import BeforeValidator, Field

from gaproute.conf.lines import Directive, Mistake, Mistakes, read_lines
from gaproute.conf.reading import read_text
from gaproute.decisions.cells.bounds import MAX_CAPACITY
from gaproute.decisions.cells.errors import RowError, TableError
from gaproute.decisions.cells.table import Cell, Entry, Points, Version, own_points, validate

MAX_BYTES = 16 << 20  # of a file: 4,096 cells with all their entries take less


def _version(value):
    term, _, number = value.partition(".") if isinstance(value, str) else ("", "", "")
    if not (term.isdecimal() and number.isdecimal() and len(value) <= 32):
        raise ValueError(f"{value!r:.40} is no version: TERM.NUMBER, such as 1.3")
    return Version(int(term), int(number))


def _entries(value):
    pairs = [each.partition("=") for each in value.split(",")] if isinstance(value, str) else value
    return tuple(Entry(name, where) for name, _, where in pairs)


def _points(value):
    made = []
    for each in value.split(",") if isinstance(value, str) else ():
        origin, _, counted = each.rpartition(":")
        first, _, count = counted.partition("+")
        if not (first.isdecimal() and count.isdecimal() and len(counted) <= 32):
            raise ValueError(f"{each!r:.80} is no range of points: ORIGIN:FIRST+COUNT, such as a1:0+32")
        made.append(Points(origin, int(first), int(count)))
    return tuple(made)


class TableLine(Directive):
    """The first line: what fleet and version the table is of."""

    places: ClassVar = ("fleet",)
    example: ClassVar = "table north version 1.3"
    once: ClassVar = True
    fleet: str
    version: Annotated[Version, BeforeValidator(_version)]


class CellLine(Directive):
    """One cell."""

    places: ClassVar = ("name",)
    example: ClassVar = "cell a1 region west zone west-a capacity 100 hosts 51 entries gate-1=127.0.0.1:8080"
    name: str
    region: str
    zone: str
    capacity: float = Field(gt=0, le=MAX_CAPACITY, allow_inf_nan=False)
    hosts: int
    points: Annotated[tuple[Points, ...], BeforeValidator(_points)] = ()
    entries: Annotated[tuple[Entry, ...], BeforeValidator(_entries)] = ()


class EndLine(Directive):
    """The last line."""

    example: ClassVar = "end"
    once: ClassVar = True


WORDS = {"table": TableLine, "cell": CellLine, "end": EndLine}


def read_cells(path):
    """The cell table of a file. Errors: `Mistakes`."""
    path = str(path)
    found, mistakes, first = read_lines(path, bounded_text(path, MAX_BYTES), WORDS)
    heads = [line for word, line in found if word == "table"]
    lines = [line for word, line in found if word == "cell"]
    for word, kind in (("table", TableLine), ("end", EndLine)):
        if word not in first and not mistakes:
            mistakes.append(Mistake(path, 0, f"no {word} line", f"right would be: {kind.example}"))
    after = next((line for _, line in found if line.line > first.get("end", line.line)), None)
    if after is not None:
        mistakes.append(Mistake(path, after.line, "a line after the end", "put it before the end"))
    if mistakes:
        raise Mistakes(mistakes)
    mean = sum(line.capacity for line in lines) / max(1, len(lines))
    try:
        return validate(heads[0].fleet, heads[0].version, (_cell(line, mean) for line in lines))
    except RowError as wrong:
        raise Mistakes([Mistake(path, lines[wrong.row - 1].line, str(wrong), "mend this line")]) from None
    except TableError as wrong:
        raise Mistakes([Mistake(path, 0, str(wrong), "mend the table")]) from None


def _cell(line, mean):
    points = line.points or own_points(line.name, line.capacity, mean)
    return Cell(line.name, line.region, line.zone, line.capacity, line.hosts, points, line.entries)


def bounded_text(path, most):
    """The text of a file of at most so many bytes. Errors: `Mistakes`."""
    try:
        size = os.stat(path).st_size
    except OSError:
        size = 0  # said by whoever reads it
    if size > most:
        raise Mistakes([Mistake(path, 0, f"{size} bytes are more than {most}", "is this the right file?")])
    return read_text(path)
