"""A cell table in lines of text: read whole or not at all, with every mistake named by its line.

    table FLEET term TERM number NUMBER
    cell NAME region REGION zone ZONE capacity CAPACITY hosts HOSTS points ORIGIN:FIRST+COUNT,...
        entries NAME=ADDRESS,...

Each cell is on one line; `entries` may be left out. A file beyond the bounds is refused before it is looked
into, and of the mistakes the first thousand are reported.
"""

from collections.abc import Iterator, Sequence
from itertools import islice, pairwise
from pathlib import Path

from gaproute.config.directives.cell_table import CELL_DIRECTIVES, CellLine, TableLine
from gaproute.config.errors import (
    ConfigurationError,
    Mistake,
    error_sorted_by_line,
    expected_line,
    unreadable_file_error,
)
from gaproute.config.files import FilePath
from gaproute.config.parsing import directives_of, parse_lines
from gaproute.decisions.cells import bounds
from gaproute.decisions.cells.errors import RowError, TableError
from gaproute.decisions.cells.table import Cell, CellTable, check_cell, validate
from gaproute.decisions.cells.version import Version

MAX_TABLE_BYTES = 16 << 20  # of a file
MAX_TABLE_LINES = 2 * bounds.MAX_CELLS  # as many comments as cells
MAX_LINE_LENGTH = 16 << 10  # characters of a line
MAX_MISTAKES = 1_000
MAX_FOUND_LENGTH = 300  # characters of what was found


def read_cell_table(path: FilePath, text: str | None = None) -> CellTable:
    """The table of a file. Errors: `ConfigurationError` with all mistakes, the first thousand at most."""
    file = str(path)
    if text is None:
        text = _read_bounded(file)
    _check_size(file, text)
    found, mistakes, first = parse_lines(file, text, CELL_DIRECTIVES, MAX_MISTAKES)
    if "table" not in first:
        mistakes.append(Mistake(file, 0, "table", "no table line", expected_line(TableLine.example)))
    lines = directives_of(found, CellLine)
    mistakes += islice(_cell_mistakes(file, lines), MAX_MISTAKES)
    if not mistakes:
        (head,) = directives_of(found, TableLine)
        try:
            return validate(head.fleet, Version(head.term, head.number), map(_cell_of_line, lines))
        except TableError as error:
            mistakes.append(_table_mistake(file, lines, error))
    raise _bounded_error(mistakes)


def _bounded_error(mistakes: list[Mistake]) -> ConfigurationError:
    """The error of the first of the mistakes, each of a bounded length."""
    first = error_sorted_by_line(mistakes).mistakes[:MAX_MISTAKES]
    return ConfigurationError(mistake._replace(found=mistake.found[:MAX_FOUND_LENGTH]) for mistake in first)


def _read_bounded(file: str) -> str:
    try:
        with Path(file).open(encoding="utf-8") as opened:
            return opened.read(MAX_TABLE_BYTES + 1)
    except (OSError, UnicodeDecodeError) as error:
        raise unreadable_file_error(file, error) from error


def _check_size(file: str, text: str) -> None:
    if len(text) > MAX_TABLE_BYTES:
        raise ConfigurationError(
            [Mistake(file, 0, "", f"more than {MAX_TABLE_BYTES} bytes", "a table is far smaller")]
        )
    if text.count("\n") > MAX_TABLE_LINES:
        expected = f"a table has {bounds.MAX_CELLS} cells at most"
        raise ConfigurationError([Mistake(file, 0, "", f"more than {MAX_TABLE_LINES} lines", expected)])
    long = [number for number, line in enumerate(text.splitlines(), 1) if len(line) > MAX_LINE_LENGTH]
    if long:
        found = f"more than {MAX_LINE_LENGTH} characters"
        raise ConfigurationError(
            Mistake(file, number, "", found, "shorten it") for number in long[:MAX_MISTAKES]
        )


def _cell_of_line(line: CellLine) -> Cell:
    return Cell(line.name, line.region, line.zone, line.capacity, line.hosts, line.points, line.entries)


def _cell_mistakes(file: str, lines: Sequence[CellLine]) -> Iterator[Mistake]:
    """Mistakes of single cells and between cells."""
    yield from _invalid_cells(file, lines)
    yield from _duplicate_cell_names(file, lines)
    yield from _zones_in_two_regions(file, lines)
    yield from _overlapping_ring_points(file, lines)


def _invalid_cells(file: str, lines: Sequence[CellLine]) -> Iterator[Mistake]:
    for line in lines:
        try:
            check_cell(line.line, _cell_of_line(line))
        except RowError as error:
            yield Mistake(file, line.line, "cell", f"cell: {error.reason}", expected_line(CellLine.example))


def _duplicate_cell_names(file: str, lines: Sequence[CellLine]) -> Iterator[Mistake]:
    first: dict[str, int] = {}
    for line in lines:
        before = first.setdefault(line.name, line.line)
        if before != line.line:
            found = f"cell {line.name} stands a second time"
            yield Mistake(file, line.line, "cell", found, f"keep line {before} or this")


def _zones_in_two_regions(file: str, lines: Sequence[CellLine]) -> Iterator[Mistake]:
    first: dict[str, CellLine] = {}
    for line in lines:
        before = first.setdefault(line.zone, line)
        if before.region != line.region:
            found = f"zone {line.zone} lies in region {line.region}, in line {before.line} in {before.region}"
            yield Mistake(file, line.line, "zone", found, "a zone lies in one region")


def _overlapping_ring_points(file: str, lines: Sequence[CellLine]) -> Iterator[Mistake]:
    taken: dict[str, list[tuple[int, int, int]]] = {}  # (first point, count, line) by origin
    for line in lines:
        for points in line.points:
            taken.setdefault(points.origin, []).append((points.first, points.size, line.line))
    for origin, ranges in taken.items():
        for (first, count, one), (following, _, other) in pairwise(sorted(ranges)):
            if following < first + count:
                found = f"ring point {following} of {origin} is also in line {min(one, other)}"
                yield Mistake(file, max(one, other), "points", found, "a ring point belongs to one cell")


def _table_mistake(file: str, lines: Sequence[CellLine], error: TableError) -> Mistake:
    """A mistake that only the table itself finds, such as too many ring points in all."""
    line = lines[error.row - 1].line if isinstance(error, RowError) and error.row else 0
    return Mistake(file, line, "", str(error), "mend the table")
