"""The parser of cell tables: valid and invalid text, and the limits of size, time and memory."""

import shlex
import time
import tracemalloc

import pytest
from cells_tables import FLEET, cells, table
from hypothesis import given, settings
from hypothesis import strategies as st

from gaproute.config import ConfigurationError
from gaproute.config.cell_table import MAX_LINE_LENGTH, MAX_MISTAKES, MAX_TABLE_LINES, read_cell_table
from gaproute.decisions.cells.bounds import MAX_CELLS
from gaproute.decisions.cells.table import Cell, EntryGateway, PointRange, validate
from gaproute.decisions.cells.version import Version

TABLE_LINE = "table north term 3 number 17\n"
CELL_LINE = "cell c1 region west zone west-a capacity 640 hosts 51 points c1:0+32 entries g1=10.0.0.1:8090"


def table_text(made):
    """The text of a table."""
    lines = [f"table {shlex.quote(made.fleet)} term {made.version.term} number {made.version.number}"]
    for cell in made.cells:
        points = ",".join(f"{origin}:{first}+{count}" for origin, first, count in cell.points)
        arguments = [
            "cell",
            cell.name,
            "region",
            cell.region,
            "zone",
            cell.zone,
            "capacity",
            repr(cell.capacity),
        ]
        arguments += ["hosts", str(cell.hosts), "points", points]
        if cell.entries:
            arguments += ["entries", ",".join(f"{name}={address}" for name, address in cell.entries)]
        lines.append(" ".join(map(shlex.quote, arguments)))
    return "\n".join(lines) + "\n"


def mistakes_of(text):
    with pytest.raises(ConfigurationError) as caught:
        read_cell_table("cells", text)
    return caught.value.mistakes


def test_a_table_is_read_with_comments_and_without_entries(tmp_path):
    path = tmp_path / "cells"
    path.write_text(
        f"# the fleet\n{TABLE_LINE}\n{CELL_LINE}\n"
        "cell c2 region west zone west-b capacity 1.5 hosts 1 points c2:4+1\n"
    )
    parsed = read_cell_table(path)
    assert (parsed.fleet, parsed.version) == ("north", Version(3, 17))
    assert parsed.by_name["c1"] == Cell(
        "c1", "west", "west-a", 640.0, 51, (PointRange("c1", 0, 32),), (EntryGateway("g1", "10.0.0.1:8090"),)
    )
    assert parsed.by_name["c2"].entries == ()


def test_a_table_of_490_cells_survives_a_round_trip_through_text():
    expected = table(cells(490, sizes=(0.5, 1.0, 1.5)), number=9)
    assert read_cell_table("cells", table_text(expected)) == expected


NAMES = st.text(
    st.characters(blacklist_categories=("C", "Z"), blacklist_characters=",="), min_size=1, max_size=9
)


@settings(max_examples=60, deadline=None)
@given(st.lists(st.tuples(NAMES, NAMES, st.floats(1e-3, 1e6), st.integers(1, 90)), min_size=1, max_size=6))
def test_any_table_survives_a_round_trip_through_text(rows):
    rows_as_cells = [
        Cell(f"{name}{number}", "r", zone, capacity, count, (PointRange(f"{name}:{number}", 3, count),))
        for number, (name, zone, capacity, count) in enumerate(rows)
    ]
    expected = validate(FLEET, Version(1, 2), rows_as_cells)
    assert read_cell_table("cells", table_text(expected)) == expected


@settings(max_examples=200, deadline=None)
@given(st.text(st.sampled_from(CELL_LINE + TABLE_LINE + '\n"#,=+:'), max_size=300))
def test_any_text_is_parsed_or_rejected_with_mistakes(text):
    rejection = None
    try:
        read_cell_table("cells", TABLE_LINE + text)
    except ConfigurationError as error:
        rejection = error
    assert rejection is None or rejection.mistakes


FOUND_BY_INVALID_LINE = {
    CELL_LINE.replace("capacity 640", "capacity nan"): "capacity",
    CELL_LINE.replace("capacity 640", "capacity -1"): "capacity",
    CELL_LINE.replace("hosts 51", "hosts 99999"): "hosts",
    CELL_LINE.replace("hosts 51", "hosts many"): "hosts",
    CELL_LINE.replace("hosts 51 ", ""): "hosts",
    CELL_LINE.replace("c1:0+32", "c1:0-32"): "is not a range of ring points",
    CELL_LINE.replace("c1:0+32", "c1:0+" + "9" * 4_000): "is not a range of ring points",
    CELL_LINE.replace("c1:0+32", "c1:0+32,c1:31+2"): "ring point 31",
    CELL_LINE.replace("c1:0+32", ",".join(f"c1:{n}+1" for n in range(65))): "more than 64",
    CELL_LINE.replace("g1=10.0.0.1:8090", "g1"): "is not an entry gateway",
    CELL_LINE.replace("g1=10.0.0.1:8090", "g1=a:1,g1=b:2"): "named twice",
    CELL_LINE.replace("zone west-a", "zone"): "",
    CELL_LINE + " zones 3": "unknown keyword",
    CELL_LINE.replace("cell", "sell", 1): "did you mean cell",
    'cell "c9': "cannot be split",
    "table north term 3 number 18": "second time",
}


@pytest.mark.parametrize("line", FOUND_BY_INVALID_LINE)
def test_an_invalid_line_is_reported_with_its_number(line):
    (mistake,) = mistakes_of(
        f"{TABLE_LINE}# comment\n{line}\ncell z region a zone b capacity 1 hosts 1 points z:0+1\n"
    )[:1]
    assert mistake.line == 3
    assert FOUND_BY_INVALID_LINE[line] in str(mistake)
    assert len(str(mistake)) < 700


def test_all_mistakes_of_a_table_are_reported_together():
    cell = "cell {} region {} zone {} capacity {} hosts 1 points {}\n"
    text = TABLE_LINE.replace("term 3", "term -1") + "".join(
        (
            cell.format("a", "west", "w", 1, "a:0+4"),
            cell.format("a", "west", "w", 1, "b:0+4"),  # line 3: cell a is defined again
            cell.format("c", "east", "w", 1, "c:0+4"),  # line 4: zone w is in two regions
            cell.format("d", "west", "w", 0, "d:0+4"),  # line 5: the capacity is 0
            cell.format("e", "west", "w", 1, "a:3+4"),  # line 6: ring point 3 of a belongs to line 2
        )
    )
    assert [mistake.line for mistake in mistakes_of(text)] == [1, 3, 4, 5, 6]


def test_a_file_without_a_table_line_or_cells_or_that_cannot_be_read_is_rejected(tmp_path):
    assert "no table line" in str(mistakes_of(CELL_LINE)[0])
    assert "no cells" in str(mistakes_of(TABLE_LINE)[0])
    (tmp_path / "noise").write_bytes(b"\xff\xfe\x00")
    for path in (tmp_path / "missing", tmp_path, tmp_path / "noise"):
        with pytest.raises(ConfigurationError, match="cannot be read"):
            read_cell_table(path)


def test_the_first_thousand_mistakes_are_reported():
    mistakes = mistakes_of(TABLE_LINE + "cell\n" * 3_000)
    assert len(mistakes) == MAX_MISTAKES
    assert mistakes[-1].line == MAX_MISTAKES + 1
    cell = CELL_LINE.replace("capacity 640", "capacity 0")
    mistakes = mistakes_of(
        TABLE_LINE + "".join(f"{cell.replace('c1', f'c{number}')}\n" for number in range(1_500))
    )
    assert len(mistakes) == MAX_MISTAKES
    assert mistakes[-1].line == MAX_MISTAKES + 1


@pytest.mark.parametrize(
    "text",
    [
        TABLE_LINE + "cell x\n" * 1_000_000,
        TABLE_LINE + "\n" * (MAX_TABLE_LINES + 1),
        TABLE_LINE + "x" * (20 << 20),
        TABLE_LINE + "cell " + "x" * MAX_LINE_LENGTH,
        TABLE_LINE + f"cell {'x ' * (MAX_LINE_LENGTH // 2 - 10)}\n" * 900,
        TABLE_LINE + "".join(f"{CELL_LINE.replace('c1', f'c{n}')}\n" for n in range(MAX_CELLS + 1)),
        TABLE_LINE + f"{CELL_LINE}\n" * MAX_CELLS,
    ],
    ids=("lines", "empty lines", "bytes", "long line", "long lines", "cells", "the same cell"),
)
def test_a_file_that_exceeds_a_limit_is_rejected_in_bounded_time_and_memory(text, tmp_path):
    path = tmp_path / "cells"
    path.write_text(text)
    tracemalloc.start()
    started_at = time.process_time()
    try:
        with pytest.raises(ConfigurationError) as caught:
            read_cell_table(path)
        cpu_time, (_, peak) = time.process_time() - started_at, tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert cpu_time < 20
    assert peak < 150 << 20
    assert len(caught.value.mistakes) <= MAX_MISTAKES
    assert len(str(caught.value)) < 1 << 20
