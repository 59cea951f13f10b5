"""The files of a fleet in cells: its table, which ends with a line `end`, and the host list of each cell."""

import os
from collections.abc import Iterator, Mapping, Sequence
from urllib.parse import quote

from gaproute.config.cell_table import MAX_TABLE_BYTES, read_cell_table
from gaproute.config.configuration import Configuration
from gaproute.config.directives.fleet import CellsLine, HostLine
from gaproute.config.errors import ConfigurationError, Mistake
from gaproute.config.files import FilePath, read_hosts, read_text
from gaproute.decisions.cells.bounds import MAX_HOSTS_PER_CELL
from gaproute.decisions.cells.table import CellTable

MAX_HOST_LIST_BYTES = 1 << 20  # of a host list: 1 KiB for each of the most hosts
TABLE_END_LINE = (
    "end"  # the last line of a table: a torn file would else pass for a smaller table of the same version
)


def read_complete_cell_table(path: FilePath) -> CellTable:
    """The cell table of a file. Errors: `ConfigurationError`."""
    text = _read_bounded_text(path, MAX_TABLE_BYTES).rstrip()
    body, _, last = text.rpartition("\n")
    if last.strip() != TABLE_END_LINE:
        found = "the table is torn: it has no end"
        expected = f"let the last line be: {TABLE_END_LINE}"
        raise ConfigurationError([Mistake(str(path), text.count("\n") + 1, TABLE_END_LINE, found, expected)])
    return read_cell_table(path, f"{body}\n")


def _read_bounded_text(path: FilePath, max_bytes: int) -> str:
    try:
        size = os.stat(path).st_size
    except OSError:
        size = 0  # reading it says why
    if size > max_bytes:
        found = f"{size} bytes are more than {max_bytes}"
        raise ConfigurationError([Mistake(str(path), 0, "", found, "is this the right file?")])
    return read_text(path)


def host_list_path(folder: FilePath, cell: str) -> str:
    """The file of a cell's hosts."""
    return os.path.join(folder, f"{quote(cell, safe=' ')}.hosts")


def read_cell_hosts(path: FilePath) -> list[HostLine]:
    """The `host` lines of a cell's file. Errors: `ConfigurationError`."""
    lines = read_hosts(path, _read_bounded_text(path, MAX_HOST_LIST_BYTES))
    if len(lines) > MAX_HOSTS_PER_CELL:
        found = f"{len(lines)} hosts are more than a cell may have"
        raise ConfigurationError(
            [
                Mistake(
                    str(path), lines[MAX_HOSTS_PER_CELL].line, "host", found, f"{MAX_HOSTS_PER_CELL} at most"
                )
            ]
        )
    return lines


def zone_mistakes(path: FilePath, lines: Sequence[HostLine], zone: str) -> list[Mistake]:
    """Mistakes of hosts that are in another zone than their cell."""
    expected = f"leave the zone out, or name {zone}"
    return [
        Mistake(
            str(path),
            line.line,
            "zone",
            f"host {line.name} stands in zone {line.zone}, its cell in {zone}",
            expected,
        )
        for line in lines
        if line.zone not in ("", zone)
    ]


def first_duplicate_host(
    paths: Mapping[str, FilePath], lists: Mapping[str, Sequence[HostLine]]
) -> tuple[str, Mistake] | None:
    """The first cell that names a host of an earlier one, by name or address, and the mistake; or None."""
    owners: dict[str, str] = {}
    for cell, lines in lists.items():
        for line in lines:
            for identity in (line.name, line.where):
                owner = owners.setdefault(identity, cell)
                if owner != cell:
                    found = f"host {line.name} ({line.where}) is also in cell {owner}"
                    expected = "keep it in one of the two"
                    return cell, Mistake(str(paths[cell]), line.line, "host", found, expected)
    return None


def check_cell_files(configuration: Configuration) -> None:
    """Reads the table and the host lists that a configuration names.

    Errors: `ConfigurationError` with all that is wrong.
    """
    line, source = configuration.cells, configuration.cell_hosts
    if line is None or source is None:
        return
    table = read_complete_cell_table(line.file)
    mistakes = list(_location_mistakes(configuration.file, line, table))
    if source.folder is not None:
        mistakes += _host_list_mistakes(source.folder, table)
    if mistakes:
        raise ConfigurationError(mistakes)


def _host_list_mistakes(folder: str, table: CellTable) -> Iterator[Mistake]:
    """Mistakes of the host lists in a folder; only the gateways that know a cell need its list."""
    lists: dict[str, list[HostLine]] = {}
    paths = {cell.name: host_list_path(folder, cell.name) for cell in table.cells}
    for cell in table.cells:
        path = paths[cell.name]
        if not os.path.exists(path):
            continue
        try:
            lists[cell.name] = read_cell_hosts(path)
        except ConfigurationError as error:
            yield from error.mistakes
            continue
        yield from zone_mistakes(path, lists[cell.name], cell.zone)
    while (clash := first_duplicate_host(paths, lists)) is not None:
        cell_name, mistake = clash
        yield mistake
        del lists[cell_name]


def _location_mistakes(file: str, line: CellsLine, table: CellTable) -> Iterator[Mistake]:
    """Mistakes of where the gateway says it is, beside the table."""
    if table.fleet != line.fleet:
        expected = f"name the table of fleet {line.fleet}"
        found = f"cells: {line.file} is of fleet {table.fleet}"
        yield Mistake(file, line.line, "cells", found, expected)
    regions = {cell.zone: cell.region for cell in table.cells}
    if line.zone not in regions:
        expected = f"the zones there: {', '.join(sorted(regions))}"
        yield Mistake(file, line.line, "cells", f"cells: the table has no cell in zone {line.zone}", expected)
    elif regions[line.zone] != line.region:
        found = f"cells: zone {line.zone} lies in region {regions[line.zone]}, not {line.region}"
        yield Mistake(file, line.line, "cells", found, "name that region")
