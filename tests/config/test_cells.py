"""Cells in the configuration: its lines, the table's text, host lists of cells, and what `check` says."""

import pytest
from click.testing import CliRunner
from helpers import CONFIGURATION

from gaproute.cli.main import main
from gaproute.config import ConfigurationError, read_configuration
from gaproute.config.cell_files import host_list_path, read_cell_hosts, read_complete_cell_table
from gaproute.config.cell_table import MAX_TABLE_BYTES
from gaproute.decisions.cells.bounds import MAX_HOSTS_PER_CELL
from gaproute.decisions.cells.table import EntryGateway, PointRange
from gaproute.decisions.cells.version import Version

CELLS = "cells north file t look 50ms region west zone west-a"
LISTS = "cell-hosts lists"
PEERS = "listen peers 127.0.0.1:0"
TABLE = """table north term 1 number 3
cell a1 region west zone west-a capacity 100 hosts 2 points a1:0+43 entries ga=127.0.0.1:1,gb=127.0.0.1:2
cell b1 region west zone west-b capacity 50 hosts 2 points a1:100+4,b1:0+16
end
"""


def mistakes_of(read, *given):
    """What is said of a mistake."""
    with pytest.raises(ConfigurationError) as wrong:
        read(*given)
    return [str(mistake) for mistake in wrong.value.mistakes]


def test_a_gateway_of_a_fleet_in_cells_needs_no_host_of_its_own():
    configuration = read_configuration("f", f"{CONFIGURATION}{CELLS} gateways 12\n{LISTS}\n{PEERS}\n")
    line = configuration.cells
    assert (line.fleet, line.file, line.region, line.zone) == ("north", "t", "west", "west-a")
    assert configuration.routing_settings.gateways == 12
    assert configuration.cell_hosts.folder == "lists"


@pytest.mark.parametrize(
    ("lines", "mistake"),
    [
        ((CELLS,), "f:11: cells requires a cell-hosts line"),
        ((CELLS, LISTS), "f:11: cells requires a listen peers line"),
        ((LISTS, "host h 127.0.0.1:9"), "f:11: cell-hosts requires a cells line"),
        ((CELLS, LISTS, "host h 127.0.0.1:9"), "f:13: host and cells lines exclude each other"),
        ((CELLS, LISTS, "hosts-file h"), "f:13: hosts-file and cells lines exclude each other"),
        ((CELLS, LISTS, "memory m"), "f:13: memory and cells lines exclude each other"),
        (
            (CELLS, LISTS, "listen peers 127.0.0.1:0", "weak-word yes"),
            "f:14: weak-word and cells lines exclude each other",
        ),
        ((CELLS, LISTS, "decisions a:B"), "f:13: decisions and cells lines exclude each other"),
        ((CELLS, LISTS, CELLS), "f:13: cells is given a second time"),
        (("cells north region r zone z", LISTS), "f:11: cells: file: Field required"),
        (("cells north file t look 1h region r zone z", LISTS), "f:11: cells: look:"),
        (("cells north file t region r", LISTS), "f:11: cells: zone: Field required"),
        ((CELLS, "cell-hosts"), "f:12: cell-hosts: FOLDER is missing"),
        ((CELLS, "cell-hosts from"), "f:12: cell-hosts: from has no value"),
        ((CELLS, "cell-hosts from nowhere"), "f:12: cell-hosts: from.0: an address is HOST:PORT"),
        ((CELLS, "cell-hosts from 10.0.0.1:7,"), "f:12: cell-hosts: from.1: an address is HOST:PORT"),
        ((CELLS, "cell-hosts from 10.0.0.1:7,10.0.0.1:7"), "f:12: cell-hosts: line: a source is named twice"),
        ((CELLS, "cell-hosts from 10.0.0.1:0"), "f:12: cell-hosts: line: a source needs a port other than 0"),
        ((CELLS, "cell-hosts lists from 10.0.0.1:7"), "f:12: cell-hosts: line: a folder and sources"),
        ((CELLS, "cell-hosts from 10.0.0.1:7 folder x"), "f:12: cell-hosts: unknown keyword 'folder'"),
        (
            (CELLS, "cell-hosts from " + ",".join(f"10.0.0.1:{port}" for port in range(1, 18))),
            "f:12: cell-hosts: line: at most 16 sources are allowed",
        ),
    ],
)
def test_lines_that_are_wrong_or_contradict_each_other_are_named(lines, mistake):
    said = mistakes_of(read_configuration, "f", CONFIGURATION + "\n".join(lines) + "\n")
    assert any(mistake in text for text in said), said


def test_sources_stand_in_place_of_a_folder():
    sources = "cell-hosts from 10.0.0.1:7000,unix:/run/lists look 20ms"
    line = read_configuration("f", f"{CONFIGURATION}{CELLS}\n{sources}\n{PEERS}\n").cell_hosts
    assert line.sources == ("10.0.0.1:7000", "unix:/run/lists")
    assert line.folder is None
    assert line.look == 20_000_000


def test_cells_without_a_name_are_refused():
    configuration = CONFIGURATION.replace("name g\n", "")
    assert (
        "cells requires a name line"
        in mistakes_of(read_configuration, "f", f"{configuration}{CELLS}\n{LISTS}\n{PEERS}\n")[0]
    )


# The table's text


@pytest.fixture
def table(tmp_path):
    """Writes a table and returns its path."""

    def write(text):
        path = tmp_path / "t"
        path.write_text(text)
        return str(path)

    return write


def test_a_table_is_read_with_its_entries_and_ring_points(table):
    read = read_complete_cell_table(table(TABLE))
    assert (read.fleet, read.version, [cell.name for cell in read.cells]) == (
        "north",
        Version(1, 3),
        ["a1", "b1"],
    )
    a1, b1 = read.cells
    assert a1.entries == (EntryGateway("ga", "127.0.0.1:1"), EntryGateway("gb", "127.0.0.1:2"))
    assert a1.points == (PointRange("a1", 0, 43),)
    assert b1.points == (PointRange("a1", 100, 4), PointRange("b1", 0, 16))


@pytest.mark.parametrize(
    ("before", "after", "mistake"),
    [
        ("table north term 1 number 3\n", "", "no table line"),
        ("b1:0+16\nend\n", "b1:0+1", ":3: the cell table is truncated"),
        ("number 3", "number new", ":1: table: number: Input should be a valid integer"),
        ("cell b1", "cell a1", ":3: cell a1 is defined a second time; keep line 2"),
        ("zone west-b", "zone west-a", None),
        (
            "region west zone west-b",
            "region east zone west-a",
            ":3: zone west-a is in region east, but in line 2 in west",
        ),
        (
            "end\n",
            "end\n\ncell c1 region west zone west-a capacity 1 hosts 1\n",
            ":6: the cell table is truncated",
        ),
        ("50 hosts 2 points", "50 hosts 20000 points", ":3: cell: 20000 hosts are not"),
        ("a1:100+4", "a1:0+4", ":3: points: ring point 0 of a1 is also in line 2"),
        ("a1:100+4", "a1:100", ":3: cell: points: 'a1:100' is not a range of ring points"),
        ("capacity 50", "capacity nan", ":3: cell: the capacity nan is not above 0"),
        ("gb=", "ga=", ":2: cell: an entry gateway is named twice"),
        ("cell b1", "cel b1", ":3: unknown directive 'cel'; did you mean cell?"),
    ],
)
def test_a_wrong_table_is_refused_by_line(table, before, after, mistake):
    path = table(TABLE.replace(before, after))
    if mistake is None:
        assert len(read_complete_cell_table(path).cells) == 2
    else:
        said = mistakes_of(read_complete_cell_table, path)
        assert len(said) == 1, said
        assert mistake in said[0]


def test_a_table_that_is_gone_or_far_too_large_is_refused_unread(table, tmp_path):
    assert "cannot be read" in mistakes_of(read_complete_cell_table, str(tmp_path / "none"))[0]
    path = table("")
    with open(path, "wb") as file:
        file.truncate(MAX_TABLE_BYTES + 1)
    assert f"more than {MAX_TABLE_BYTES}" in mistakes_of(read_complete_cell_table, path)[0]


# Host lists


def test_a_cells_name_cannot_lead_out_of_the_folder():
    assert host_list_path("lists", "../x") == "lists/..%2Fx.hosts"
    assert host_list_path("lists", "a b") == "lists/a b.hosts"


def test_a_list_of_more_hosts_than_a_cell_may_have_is_refused_by_line(tmp_path):
    path = tmp_path / "a1.hosts"
    path.write_text(
        "".join(f"host h{number} 127.0.0.1:{number + 1}\n" for number in range(MAX_HOSTS_PER_CELL + 1))
    )
    assert mistakes_of(read_cell_hosts, str(path))[0].startswith(f"{path}:{MAX_HOSTS_PER_CELL + 1}: ")


def check(folder, lists, table=TABLE, place="region west zone west-a", source=None):
    """Exit code and output of `gaproute check`. `source`: in place of the folder."""
    (folder / "lists").mkdir()
    (folder / "t").write_text(table)
    for cell, text in lists.items():
        (folder / "lists" / f"{cell}.hosts").write_text(text)
    file = folder / "g.conf"
    where = f"{folder}/lists" if source is None else f"from {source}"
    file.write_text(f"{CONFIGURATION}cells north file {folder}/t {place}\ncell-hosts {where}\n{PEERS}\n")
    ran = CliRunner().invoke(main, ["check", str(file)])
    return ran.exit_code, ran.output.replace(f"{folder}/", "")


def test_check_is_content_with_what_is_right(tmp_path):
    lists = {"a1": "host x 127.0.0.1:1\n", "b1": "host y 127.0.0.1:2 zone west-b\n"}
    assert check(tmp_path, lists)[0] == 0


@pytest.mark.parametrize(("source", "code"), [("127.0.0.1:7000", 0), ("localhost:7000", 2)])
def test_check_reads_no_lists_where_sources_send_them(tmp_path, source, code):
    ended, said = check(tmp_path, {"a1": "no host list\n"}, source=source)
    assert ended == code
    assert len(said.splitlines()) == (1 if code == 0 else 2)


@pytest.mark.parametrize(
    ("files", "mistake"),
    [
        (
            {"lists": {"a1": "host x 127.0.0.1:1\n", "b1": "\nhost x 127.0.0.1:2\n"}},
            "lists/b1.hosts:2: host x",
        ),
        ({"lists": {"a1": "host x 127.0.0.1:1\n", "b1": "host y 127.0.0.1:1\n"}}, "lists/b1.hosts:1: host y"),
        ({"lists": {"a1": "host x 127.0.0.1:1 zone moon\n"}}, "lists/a1.hosts:1: host x is in zone moon"),
        ({"lists": {"a1": "host x\n"}}, "lists/a1.hosts:1: host: WHERE is missing"),
        ({"lists": {}, "table": f"nonsense\n{TABLE}"}, "t:1: unknown directive 'nonsense'"),
        (
            {"lists": {}, "table": TABLE.replace("north", "south")},
            "g.conf:11: cells: the table in t is of fleet south",
        ),
        (
            {"lists": {}, "place": "region west zone moon"},
            "g.conf:11: cells: the table has no cell in zone moon",
        ),
        (
            {"lists": {}, "place": "region east zone west-a"},
            "g.conf:11: cells: zone west-a is in region west",
        ),
    ],
)
def test_check_names_file_and_line_and_exits_2(tmp_path, files, mistake):
    code, said = check(tmp_path, **files)
    assert code == 2, said
    assert mistake in said
    assert "1 mistake;" in said
