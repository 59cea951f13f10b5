"""Reading and checking the files of a fleet in cells: the cell table and the host list of each cell."""

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

MAX_HOST_LIST_BYTES = 1 << 20  # 1 KiB for each of MAX_HOSTS_PER_CELL hosts
# Without this last line a truncated file would be accepted as a smaller table of the same version.
TABLE_END_LINE = "end"


def read_complete_cell_table(path: FilePath) -> CellTable:
    """The cell table of a file that ends with TABLE_END_LINE. Errors: `ConfigurationError`."""
    text = _read_bounded_text(path, MAX_TABLE_BYTES).rstrip()
    body, _, last = text.rpartition("\n")
    if last.strip() != TABLE_END_LINE:
        found = f"the cell table is truncated: its last line is not {TABLE_END_LINE!r}"
        expected = f"let the last line be: {TABLE_END_LINE}"
        raise ConfigurationError([Mistake(str(path), text.count("\n") + 1, TABLE_END_LINE, found, expected)])
    return read_cell_table(path, f"{body}\n")


def _read_bounded_text(path: FilePath, max_bytes: int) -> str:
    try:
        size = os.stat(path).st_size
    except OSError:
        size = 0  # the attempt to read the file below reports the reason
    if size > max_bytes:
        found = f"the file has {size} bytes, which is more than {max_bytes}"
        raise ConfigurationError([Mistake(str(path), 0, "", found, "check that this is the intended file")])
    return read_text(path)


def host_list_path(folder: FilePath, cell: str) -> str:
    """The path of a cell's host list."""
    return os.path.join(folder, f"{quote(cell, safe=' ')}.hosts")


def read_cell_hosts(path: FilePath) -> list[HostLine]:
    """The `host` lines of a cell's host list. Errors: `ConfigurationError`."""
    lines = read_hosts(path, _read_bounded_text(path, MAX_HOST_LIST_BYTES))
    if len(lines) > MAX_HOSTS_PER_CELL:
        found = f"the list has {len(lines)} hosts, which is more than a cell may have"
        raise ConfigurationError(
            [
                Mistake(
                    str(path),
                    lines[MAX_HOSTS_PER_CELL].line,
                    "host",
                    found,
                    f"list at most {MAX_HOSTS_PER_CELL} hosts",
                )
            ]
        )
    return lines


def zone_mistakes(path: FilePath, lines: Sequence[HostLine], zone: str) -> list[Mistake]:
    """The mistakes of hosts that name another zone than that of their cell."""
    expected = f"omit the zone, or name zone {zone}"
    return [
        Mistake(
            str(path),
            line.line,
            "zone",
            f"host {line.name} is in zone {line.zone}, but its cell is in zone {zone}",
            expected,
        )
        for line in lines
        if line.zone not in ("", zone)
    ]


def first_duplicate_host(
    paths: Mapping[str, FilePath], lists: Mapping[str, Sequence[HostLine]]
) -> tuple[str, Mistake] | None:
    """The first cell that lists a host of an earlier cell, by name or address, and the mistake; or None."""
    owners: dict[str, str] = {}
    for cell, lines in lists.items():
        for line in lines:
            for identity in (line.name, line.where):
                owner = owners.setdefault(identity, cell)
                if owner != cell:
                    found = f"host {line.name} ({line.where}) is also in cell {owner}"
                    expected = "list the host in one cell only"
                    return cell, Mistake(str(paths[cell]), line.line, "host", found, expected)
    return None


def check_cell_files(configuration: Configuration) -> None:
    """Reads and checks the cell table and the host lists that a configuration names.

    Errors: `ConfigurationError` with all mistakes.
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
    """The mistakes of the host lists in a folder; a list may be absent where no gateway knows the cell."""
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
    while (duplicate := first_duplicate_host(paths, lists)) is not None:
        cell_name, mistake = duplicate
        yield mistake
        del lists[cell_name]


def _location_mistakes(file: str, line: CellsLine, table: CellTable) -> Iterator[Mistake]:
    """The mistakes of the fleet, region and zone that a `cells` line names, compared with the table."""
    if table.fleet != line.fleet:
        expected = f"name the table of fleet {line.fleet}"
        found = f"cells: the table in {line.file} is of fleet {table.fleet}"
        yield Mistake(file, line.line, "cells", found, expected)
    regions = {cell.zone: cell.region for cell in table.cells}
    if line.zone not in regions:
        expected = f"name one of the table's zones: {', '.join(sorted(regions))}"
        yield Mistake(file, line.line, "cells", f"cells: the table has no cell in zone {line.zone}", expected)
    elif regions[line.zone] != line.region:
        found = f"cells: zone {line.zone} is in region {regions[line.zone]}, not in region {line.region}"
        yield Mistake(file, line.line, "cells", found, "name the region of the zone")
