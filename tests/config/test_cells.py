"""Configuration of a fleet in cells: its lines, the cell table, the host lists and `gaproute check`."""

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
CELL_HOSTS = "cell-hosts lists"
LISTEN_PEERS = "listen peers 127.0.0.1:0"
TABLE_TEXT = """table north term 1 number 3
cell a1 region west zone west-a capacity 100 hosts 2 points a1:0+43 entries ga=127.0.0.1:1,gb=127.0.0.1:2
cell b1 region west zone west-b capacity 50 hosts 2 points a1:100+4,b1:0+16
end
"""


def mistakes_of(read, *arguments):
    """The texts of the mistakes that a reader reports."""
    with pytest.raises(ConfigurationError) as caught:
        read(*arguments)
    return [str(mistake) for mistake in caught.value.mistakes]


def test_a_gateway_of_a_fleet_in_cells_needs_no_host_lines():
    configuration = read_configuration(
        "f", f"{CONFIGURATION}{CELLS} gateways 12\n{CELL_HOSTS}\n{LISTEN_PEERS}\n"
    )
    line = configuration.cells
    assert (line.fleet, line.file, line.region, line.zone) == ("north", "t", "west", "west-a")
    assert configuration.routing_settings.gateways == 12
    assert configuration.cell_hosts.folder == "lists"


@pytest.mark.parametrize(
    ("lines", "mistake"),
    [
        ((CELLS,), "f:11: cells requires a cell-hosts line"),
        ((CELLS, CELL_HOSTS), "f:11: cells requires a listen peers line"),
        ((CELL_HOSTS, "host h 127.0.0.1:9"), "f:11: cell-hosts requires a cells line"),
        ((CELLS, CELL_HOSTS, "host h 127.0.0.1:9"), "f:13: host and cells lines exclude each other"),
        ((CELLS, CELL_HOSTS, "hosts-file h"), "f:13: hosts-file and cells lines exclude each other"),
        ((CELLS, CELL_HOSTS, "memory m"), "f:13: memory and cells lines exclude each other"),
        (
            (CELLS, CELL_HOSTS, "listen peers 127.0.0.1:0", "weak-word yes"),
            "f:14: weak-word and cells lines exclude each other",
        ),
        ((CELLS, CELL_HOSTS, "decisions a:B"), "f:13: decisions and cells lines exclude each other"),
        ((CELLS, CELL_HOSTS, CELLS), "f:13: cells is given a second time"),
        (("cells north region r zone z", CELL_HOSTS), "f:11: cells: file: Field required"),
        (("cells north file t look 1h region r zone z", CELL_HOSTS), "f:11: cells: look:"),
        (("cells north file t region r", CELL_HOSTS), "f:11: cells: zone: Field required"),
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
def test_invalid_and_contradictory_lines_are_reported(lines, mistake):
    reported = mistakes_of(read_configuration, "f", CONFIGURATION + "\n".join(lines) + "\n")
    assert any(mistake in text for text in reported), reported


def test_cell_hosts_may_name_sources_instead_of_a_folder():
    sources = "cell-hosts from 10.0.0.1:7000,unix:/run/lists look 20ms"
    line = read_configuration("f", f"{CONFIGURATION}{CELLS}\n{sources}\n{LISTEN_PEERS}\n").cell_hosts
    assert line.sources == ("10.0.0.1:7000", "unix:/run/lists")
    assert line.folder is None
    assert line.look == 20_000_000


def test_cells_without_a_name_line_are_rejected():
    configuration = CONFIGURATION.replace("name g\n", "")
    assert (
        "cells requires a name line"
        in mistakes_of(read_configuration, "f", f"{configuration}{CELLS}\n{CELL_HOSTS}\n{LISTEN_PEERS}\n")[0]
    )


# The cell table


@pytest.fixture
def write_table(tmp_path):
    """Writes a table and returns its path."""

    def write(text):
        path = tmp_path / "t"
        path.write_text(text)
        return str(path)

    return write


def test_a_table_is_read_with_its_entry_gateways_and_ring_points(write_table):
    table = read_complete_cell_table(write_table(TABLE_TEXT))
    assert (table.fleet, table.version, [cell.name for cell in table.cells]) == (
        "north",
        Version(1, 3),
        ["a1", "b1"],
    )
    a1, b1 = table.cells
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
def test_an_invalid_table_is_rejected_with_its_line(write_table, before, after, mistake):
    path = write_table(TABLE_TEXT.replace(before, after))
    if mistake is None:
        assert len(read_complete_cell_table(path).cells) == 2
    else:
        reported = mistakes_of(read_complete_cell_table, path)
        assert len(reported) == 1, reported
        assert mistake in reported[0]


def test_a_missing_or_oversized_table_is_rejected_without_parsing(write_table, tmp_path):
    assert "cannot be read" in mistakes_of(read_complete_cell_table, str(tmp_path / "none"))[0]
    path = write_table("")
    with open(path, "wb") as file:
        file.truncate(MAX_TABLE_BYTES + 1)
    assert f"more than {MAX_TABLE_BYTES}" in mistakes_of(read_complete_cell_table, path)[0]


# Host lists


def test_a_cell_name_cannot_escape_the_folder():
    assert host_list_path("lists", "../x") == "lists/..%2Fx.hosts"
    assert host_list_path("lists", "a b") == "lists/a b.hosts"


def test_a_list_with_too_many_hosts_is_rejected_with_its_line(tmp_path):
    path = tmp_path / "a1.hosts"
    path.write_text(
        "".join(f"host h{number} 127.0.0.1:{number + 1}\n" for number in range(MAX_HOSTS_PER_CELL + 1))
    )
    assert mistakes_of(read_cell_hosts, str(path))[0].startswith(f"{path}:{MAX_HOSTS_PER_CELL + 1}: ")


def run_check(folder, lists, table=TABLE_TEXT, location="region west zone west-a", source=None):
    """Exit code and output of `gaproute check`; `source` replaces the folder of host lists."""
    (folder / "lists").mkdir()
    (folder / "t").write_text(table)
    for cell, text in lists.items():
        (folder / "lists" / f"{cell}.hosts").write_text(text)
    file = folder / "g.conf"
    where = f"{folder}/lists" if source is None else f"from {source}"
    file.write_text(
        f"{CONFIGURATION}cells north file {folder}/t {location}\ncell-hosts {where}\n{LISTEN_PEERS}\n"
    )
    result = CliRunner().invoke(main, ["check", str(file)])
    return result.exit_code, result.output.replace(f"{folder}/", "")


def test_check_accepts_valid_files(tmp_path):
    lists = {"a1": "host x 127.0.0.1:1\n", "b1": "host y 127.0.0.1:2 zone west-b\n"}
    assert run_check(tmp_path, lists)[0] == 0


@pytest.mark.parametrize(("source", "expected_code"), [("127.0.0.1:7000", 0), ("localhost:7000", 2)])
def test_check_reads_no_lists_if_sources_are_configured(tmp_path, source, expected_code):
    exit_code, reported = run_check(tmp_path, {"a1": "no host list\n"}, source=source)
    assert exit_code == expected_code
    assert len(reported.splitlines()) == (1 if expected_code == 0 else 2)


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
        ({"lists": {}, "table": f"nonsense\n{TABLE_TEXT}"}, "t:1: unknown directive 'nonsense'"),
        (
            {"lists": {}, "table": TABLE_TEXT.replace("north", "south")},
            "g.conf:11: cells: the table in t is of fleet south",
        ),
        (
            {"lists": {}, "location": "region west zone moon"},
            "g.conf:11: cells: the table has no cell in zone moon",
        ),
        (
            {"lists": {}, "location": "region east zone west-a"},
            "g.conf:11: cells: zone west-a is in region west",
        ),
    ],
)
def test_check_reports_file_and_line_and_exits_with_2(tmp_path, files, mistake):
    exit_code, reported = run_check(tmp_path, **files)
    assert exit_code == 2, reported
    assert mistake in reported
    assert "1 mistake;" in reported
