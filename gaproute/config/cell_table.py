"""A cell table in lines of text: read whole or not at all, with every mistake named by its line.

    table FLEET term TERM number NUMBER
    cell NAME region REGION zone ZONE capacity CAPACITY hosts HOSTS points ORIGIN:FIRST+COUNT,...
        entries NAME=ADDRESS,...

Each cell is on one line; `entries` may be left out. A file beyond the bounds is refused before it is looked
into, and of the mistakes the first thousand are told.
"""

from itertools import islice, pairwise
from pathlib import Path

from gaproute.config.directives.cell_table import CELL_DIRECTIVES, CellLine, TableLine
from gaproute.config.parsing import ConfigurationError, Mistake, read_lines
from gaproute.decisions.cells import bounds
from gaproute.decisions.cells.errors import RowError, TableError
from gaproute.decisions.cells.table import Cell, CellTable, Version, check_cell, validate

MAX_BYTES = 16 << 20  # of a file
MAX_LINES = 2 * bounds.MAX_CELLS  # as many comments as cells
MAX_LINE = 16 << 10  # characters of a line
MAX_MISTAKES = 1_000
MAX_TEXT = 300  # characters of what is said to be wrong


def read_cells(path, text: str | None = None) -> CellTable:
    """The table of a file. Errors: `ConfigurationError` with all mistakes, the first thousand at most."""
    file = str(path)
    if text is None:
        text = _read_bounded(file)
    _check_size(file, text)
    found, mistakes, first = read_lines(file, text, CELL_DIRECTIVES, MAX_MISTAKES)
    if "table" not in first:
        mistakes.append(Mistake(file, 0, "no table line", f"right would be: {TableLine.example}"))
    lines = [line for word, line in found if word == "cell"]
    mistakes += islice(_across(file, lines), MAX_MISTAKES)
    if not mistakes:
        head = next(line for word, line in found if word == "table")
        try:
            return validate(head.fleet, Version(head.term, head.number), map(_cell, lines))
        except TableError as fault:
            mistakes.append(_mistake_of(file, lines, fault))
    mistakes = sorted(mistakes, key=lambda mistake: mistake.line)[:MAX_MISTAKES]
    raise ConfigurationError([mistake._replace(wrong=mistake.wrong[:MAX_TEXT]) for mistake in mistakes])


def _read_bounded(file):
    try:
        with Path(file).open(encoding="utf-8") as opened:
            return opened.read(MAX_BYTES + 1)
    except (OSError, UnicodeDecodeError) as fault:
        raise ConfigurationError(
            [Mistake(file, 0, f"cannot be read: {fault}", "name a readable text file")]
        ) from fault


def _check_size(file, text):
    if len(text) > MAX_BYTES:
        raise ConfigurationError([Mistake(file, 0, f"more than {MAX_BYTES} bytes", "a table is far smaller")])
    if text.count("\n") > MAX_LINES:
        cure = f"a table has {bounds.MAX_CELLS} cells at most"
        raise ConfigurationError([Mistake(file, 0, f"more than {MAX_LINES} lines", cure)])
    long = [number for number, line in enumerate(text.splitlines(), 1) if len(line) > MAX_LINE]
    if long:
        told = [Mistake(file, number, f"more than {MAX_LINE} characters", "shorten it") for number in long]
        raise ConfigurationError(told[:MAX_MISTAKES])


def _cell(line):
    return Cell(line.name, line.region, line.zone, line.capacity, line.hosts, line.points, line.entries)


def _across(file, lines):
    """Mistakes of single cells and between cells."""
    yield from _single(file, lines)
    yield from _names(file, lines)
    yield from _zones(file, lines)
    yield from _points(file, lines)


def _single(file, lines):
    for line in lines:
        try:
            check_cell(line.line, _cell(line))
        except RowError as fault:
            yield Mistake(file, line.line, f"cell: {fault.reason}", f"right would be: {CellLine.example}")


def _names(file, lines):
    first = {}
    for line in lines:
        before = first.setdefault(line.name, line.line)
        if before != line.line:
            cure = f"keep line {before} or this"
            yield Mistake(file, line.line, f"cell {line.name} stands a second time", cure)


def _zones(file, lines):
    first = {}
    for line in lines:
        before = first.setdefault(line.zone, line)
        if before.region != line.region:
            wrong = f"zone {line.zone} lies in region {line.region}, in line {before.line} in {before.region}"
            yield Mistake(file, line.line, wrong, "a zone lies in one region")


def _points(file, lines):
    taken = {}
    for line in lines:
        for points in line.points:
            taken.setdefault(points.origin, []).append((points.first, points.count, line.line))
    for origin, ranges in taken.items():
        for (first, count, one), (following, _, other) in pairwise(sorted(ranges)):
            if following < first + count:
                wrong = f"ring point {following} of {origin} is also in line {min(one, other)}"
                yield Mistake(file, max(one, other), wrong, "a ring point belongs to one cell")


def _mistake_of(file, lines, fault):
    """A fault that only the table itself finds, such as too many ring points in all."""
    line = lines[fault.row - 1].line if isinstance(fault, RowError) and fault.row else 0
    return Mistake(file, line, str(fault), "mend the table")
