"""The cell table in lines of text: what is read, what is refused, and that it stays bounded."""

import shlex
import time
import tracemalloc

import pytest
from cells_tables import FLEET, cells, table
from hypothesis import given, settings
from hypothesis import strategies as some

from gaproute.config import ConfigurationError
from gaproute.config.cell_table import MAX_LINE_LENGTH, MAX_MISTAKES, MAX_TABLE_LINES, read_cell_table
from gaproute.decisions.cells.bounds import MAX_CELLS
from gaproute.decisions.cells.table import Cell, EntryGateway, PointRange, validate
from gaproute.decisions.cells.version import Version

HEAD = "table north term 3 number 17\n"
GOOD = "cell c1 region west zone west-a capacity 640 hosts 51 points c1:0+32 entries g1=10.0.0.1:8090"


def text_of(made):
    """The lines of a table."""
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
        f"# the fleet\n{HEAD}\n{GOOD}\ncell c2 region west zone west-b capacity 1.5 hosts 1 points c2:4+1\n"
    )
    made = read_cell_table(path)
    assert (made.fleet, made.version) == ("north", Version(3, 17))
    assert made.by_name["c1"] == Cell(
        "c1", "west", "west-a", 640.0, 51, (PointRange("c1", 0, 32),), (EntryGateway("g1", "10.0.0.1:8090"),)
    )
    assert made.by_name["c2"].entries == ()


def test_a_table_of_490_cells_comes_back_as_it_was():
    made = table(cells(490, sizes=(0.5, 1.0, 1.5)), number=9)
    assert read_cell_table("cells", text_of(made)) == made


NAMES = some.text(
    some.characters(blacklist_categories=("C", "Z"), blacklist_characters=",="), min_size=1, max_size=9
)


@settings(max_examples=60, deadline=None)
@given(
    some.lists(
        some.tuples(NAMES, NAMES, some.floats(1e-3, 1e6), some.integers(1, 90)), min_size=1, max_size=6
    )
)
def test_any_table_comes_back_as_it_was(rows):
    made = [
        Cell(f"{name}{number}", "r", zone, capacity, count, (PointRange(f"{name}:{number}", 3, count),))
        for number, (name, zone, capacity, count) in enumerate(rows)
    ]
    made = validate(FLEET, Version(1, 2), made)
    assert read_cell_table("cells", text_of(made)) == made


@settings(max_examples=200, deadline=None)
@given(some.text(some.sampled_from(GOOD + HEAD + '\n"#,=+:'), max_size=300))
def test_any_text_is_read_or_refused_by_its_mistakes(text):
    refused = None
    try:
        read_cell_table("cells", HEAD + text)
    except ConfigurationError as error:
        refused = error
    assert refused is None or refused.mistakes


WRONG_LINES = {
    GOOD.replace("capacity 640", "capacity nan"): "capacity",
    GOOD.replace("capacity 640", "capacity -1"): "capacity",
    GOOD.replace("hosts 51", "hosts 99999"): "hosts",
    GOOD.replace("hosts 51", "hosts many"): "hosts",
    GOOD.replace("hosts 51 ", ""): "hosts",
    GOOD.replace("c1:0+32", "c1:0-32"): "is not a range of ring points",
    GOOD.replace("c1:0+32", "c1:0+" + "9" * 4_000): "is not a range of ring points",
    GOOD.replace("c1:0+32", "c1:0+32,c1:31+2"): "ring point 31",
    GOOD.replace("c1:0+32", ",".join(f"c1:{n}+1" for n in range(65))): "more than 64",
    GOOD.replace("g1=10.0.0.1:8090", "g1"): "is not an entry gateway",
    GOOD.replace("g1=10.0.0.1:8090", "g1=a:1,g1=b:2"): "named twice",
    GOOD.replace("zone west-a", "zone"): "",
    GOOD + " zones 3": "unknown keyword",
    GOOD.replace("cell", "sell", 1): "did you mean cell",
    'cell "c9': "cannot be split",
    "table north term 3 number 18": "second time",
}


@pytest.mark.parametrize("line", WRONG_LINES)
def test_a_wrong_line_is_named(line):
    (mistake,) = mistakes_of(
        f"{HEAD}# comment\n{line}\ncell z region a zone b capacity 1 hosts 1 points z:0+1\n"
    )[:1]
    assert mistake.line == 3
    assert WRONG_LINES[line] in str(mistake)
    assert len(str(mistake)) < 700


def test_every_mistake_is_named_at_once():
    cell = "cell {} region {} zone {} capacity {} hosts 1 points {}\n"
    text = HEAD.replace("term 3", "term -1") + "".join(
        (
            cell.format("a", "west", "w", 1, "a:0+4"),
            cell.format("a", "west", "w", 1, "b:0+4"),  # line 3: a again
            cell.format("c", "east", "w", 1, "c:0+4"),  # 4: zone w in two regions
            cell.format("d", "west", "w", 0, "d:0+4"),  # 5: no capacity
            cell.format("e", "west", "w", 1, "a:3+4"),  # 6: ring point 3 of a is taken
        )
    )
    assert [mistake.line for mistake in mistakes_of(text)] == [1, 3, 4, 5, 6]


def test_a_file_without_a_table_line_or_cells_or_that_cannot_be_read_is_refused(tmp_path):
    assert "no table line" in str(mistakes_of(GOOD)[0])
    assert "no cells" in str(mistakes_of(HEAD)[0])
    (tmp_path / "noise").write_bytes(b"\xff\xfe\x00")
    for path in (tmp_path / "missing", tmp_path, tmp_path / "noise"):
        with pytest.raises(ConfigurationError, match="cannot be read"):
            read_cell_table(path)


def test_the_first_thousand_mistakes_are_reported():
    mistakes = mistakes_of(HEAD + "cell\n" * 3_000)
    assert len(mistakes) == MAX_MISTAKES
    assert mistakes[-1].line == MAX_MISTAKES + 1
    cell = GOOD.replace("capacity 640", "capacity 0")
    mistakes = mistakes_of(HEAD + "".join(f"{cell.replace('c1', f'c{number}')}\n" for number in range(1_500)))
    assert len(mistakes) == MAX_MISTAKES
    assert mistakes[-1].line == MAX_MISTAKES + 1


@pytest.mark.parametrize(
    "text",
    [
        HEAD + "cell x\n" * 1_000_000,
        HEAD + "\n" * (MAX_TABLE_LINES + 1),
        HEAD + "x" * (20 << 20),
        HEAD + "cell " + "x" * MAX_LINE_LENGTH,
        HEAD + f"cell {'x ' * (MAX_LINE_LENGTH // 2 - 10)}\n" * 900,
        HEAD + "".join(f"{GOOD.replace('c1', f'c{n}')}\n" for n in range(MAX_CELLS + 1)),
        HEAD + f"{GOOD}\n" * MAX_CELLS,
    ],
    ids=("lines", "empty lines", "bytes", "long line", "long lines", "cells", "the same cell"),
)
def test_what_is_beyond_the_bounds_is_refused_in_bounded_time_and_memory(text, tmp_path):
    path = tmp_path / "cells"
    path.write_text(text)
    tracemalloc.start()
    begun = time.process_time()
    try:
        with pytest.raises(ConfigurationError) as caught:
            read_cell_table(path)
        spent, (_, peak) = time.process_time() - begun, tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert spent < 20
    assert peak < 150 << 20
    assert len(caught.value.mistakes) <= MAX_MISTAKES
    assert len(str(caught.value)) < 1 << 20
