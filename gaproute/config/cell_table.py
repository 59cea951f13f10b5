"""Parser of cell tables, which accepts a table whole or rejects it with every mistake and its line.

    table FLEET term TERM number NUMBER
    cell NAME region REGION zone ZONE capacity CAPACITY hosts HOSTS points ORIGIN:FIRST+COUNT,...
        entries NAME=ADDRESS,...

Each cell is on one line; `entries` is optional. A file that exceeds the limits is rejected before it is
parsed. Only the first thousand mistakes are reported.
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

MAX_TABLE_BYTES = 16 << 20  # bytes or characters of the whole file
MAX_TABLE_LINES = 2 * bounds.MAX_CELLS  # enough for one comment line for each cell
MAX_LINE_LENGTH = 16 << 10  # characters
MAX_MISTAKES = 1_000
MAX_FOUND_LENGTH = 300  # characters of `Mistake.found`


def read_cell_table(path: FilePath, text: str | None = None) -> CellTable:
    """The cell table in `text`, or else in the file. Errors: `ConfigurationError` with the first mistakes."""
    file = str(path)
    if text is None:
        text = _read_bounded(file)
    _check_size(file, text)
    directives, mistakes, first_lines = parse_lines(file, text, CELL_DIRECTIVES, MAX_MISTAKES)
    if "table" not in first_lines:
        mistakes.append(
            Mistake(file, 0, "table", "the file has no table line", expected_line(TableLine.example))
        )
    lines = directives_of(directives, CellLine)
    mistakes += islice(_cell_mistakes(file, lines), MAX_MISTAKES)
    if not mistakes:
        (head,) = directives_of(directives, TableLine)
        try:
            return validate(head.fleet, Version(head.term, head.number), map(_cell_of_line, lines))
        except TableError as error:
            mistakes.append(_table_mistake(file, lines, error))
    raise _bounded_error(mistakes)


def _bounded_error(mistakes: list[Mistake]) -> ConfigurationError:
    """The error with the first mistakes by line, the text of each truncated."""
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
            [
                Mistake(
                    file,
                    0,
                    "",
                    f"the file has more than {MAX_TABLE_BYTES} bytes",
                    "check that this is the intended file",
                )
            ]
        )
    if text.count("\n") > MAX_TABLE_LINES:
        expected = f"list at most {bounds.MAX_CELLS} cells"
        raise ConfigurationError(
            [Mistake(file, 0, "", f"the file has more than {MAX_TABLE_LINES} lines", expected)]
        )
    long = [number for number, line in enumerate(text.splitlines(), 1) if len(line) > MAX_LINE_LENGTH]
    if long:
        found = f"the line has more than {MAX_LINE_LENGTH} characters"
        raise ConfigurationError(
            Mistake(file, number, "", found, "shorten the line") for number in long[:MAX_MISTAKES]
        )


def _cell_of_line(line: CellLine) -> Cell:
    return Cell(line.name, line.region, line.zone, line.capacity, line.hosts, line.points, line.entries)


def _cell_mistakes(file: str, lines: Sequence[CellLine]) -> Iterator[Mistake]:
    """The mistakes of single cells, and the contradictions between cells."""
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
            found = f"cell {line.name} is defined a second time"
            yield Mistake(file, line.line, "cell", found, f"keep line {before} or this line")


def _zones_in_two_regions(file: str, lines: Sequence[CellLine]) -> Iterator[Mistake]:
    first: dict[str, CellLine] = {}
    for line in lines:
        before = first.setdefault(line.zone, line)
        if before.region != line.region:
            found = (
                f"zone {line.zone} is in region {line.region}, but in line {before.line} in {before.region}"
            )
            yield Mistake(file, line.line, "zone", found, "name one region for the zone")


def _overlapping_ring_points(file: str, lines: Sequence[CellLine]) -> Iterator[Mistake]:
    taken: dict[str, list[tuple[int, int, int]]] = {}  # (first point, count, line) by origin
    for line in lines:
        for points in line.points:
            taken.setdefault(points.origin, []).append((points.first, points.size, line.line))
    for origin, ranges in taken.items():
        for (first, count, one), (following, _, other) in pairwise(sorted(ranges)):
            if following < first + count:
                found = f"ring point {following} of {origin} is also in line {min(one, other)}"
                yield Mistake(file, max(one, other), "points", found, "assign each ring point to one cell")


def _table_mistake(file: str, lines: Sequence[CellLine], error: TableError) -> Mistake:
    """The mistake of a table whose lines are valid, such as too many ring points in total."""
    line = lines[error.row - 1].line if isinstance(error, RowError) and error.row else 0
    return Mistake(file, line, "", str(error), "correct the table")
