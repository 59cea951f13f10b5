"""The files of a fleet in cells: its table, which ends with a line `end`, and the host list of each cell."""

import os
from urllib.parse import quote

from gaproute.config.cell_table import MAX_BYTES, read_cells
from gaproute.config.files import read_hosts, read_text
from gaproute.config.parsing import ConfigurationError, Mistake
from gaproute.decisions.cells.bounds import MAX_HOSTS

MAX_LIST_BYTES = 1 << 20  # of a host list: 1 KiB for each of the most hosts
END = "end"  # the last line of a table: a torn file would else pass for a smaller table of the same version


def read_table(path):
    """The cell table of a file. Errors: `ConfigurationError`."""
    text = _bounded_text(path, MAX_BYTES).rstrip()
    body, _, last = text.rpartition("\n")
    if last.strip() != END:
        cure = f"let the last line be: {END}"
        raise ConfigurationError(
            [Mistake(path, text.count("\n") + 1, "the table is torn: it has no end", cure)]
        )
    return read_cells(path, f"{body}\n")


def _bounded_text(path, most):
    try:
        size = os.stat(path).st_size
    except OSError:
        size = 0  # said by whoever reads it
    if size > most:
        raise ConfigurationError(
            [Mistake(path, 0, f"{size} bytes are more than {most}", "is this the right file?")]
        )
    return read_text(path)


def path_of(folder, cell):
    """The file of a cell's hosts."""
    return os.path.join(folder, f"{quote(cell, safe=' ')}.hosts")


def read_cell_hosts(path):
    """The `host` lines of a cell's file. Errors: `ConfigurationError`."""
    lines = read_hosts(path, _bounded_text(path, MAX_LIST_BYTES))
    if len(lines) > MAX_HOSTS:
        mistake = f"{len(lines)} hosts are more than a cell may have"
        raise ConfigurationError([Mistake(path, lines[MAX_HOSTS].line, mistake, f"{MAX_HOSTS} at most")])
    return lines


def zone_mistakes(path, lines, zone):
    """Mistakes of hosts that stand in another zone than their cell."""
    cure = f"leave the zone out, or name {zone}"
    return [
        Mistake(path, line.line, f"host {line.name} stands in zone {line.zone}, its cell in {zone}", cure)
        for line in lines
        if line.zone not in ("", zone)
    ]


def first_clash(paths, lists):
    """(cell, Mistake) of the first cell that names a host of an earlier one, by name or address; or None."""
    owners = {}
    for cell, lines in lists.items():
        for line in lines:
            for what in (line.name, line.where):
                owner = owners.setdefault(what, cell)
                if owner != cell:
                    text = f"host {line.name} ({line.where}) is also in cell {owner}"
                    return cell, Mistake(paths[cell], line.line, text, "keep it in one of the two")
    return None


def check_cells(configuration):
    """Read the table and the host lists that a configuration names.

    Errors: `ConfigurationError` with all that is wrong.
    """
    line, folder = configuration.cells, configuration.cell_hosts.folder
    table = read_table(line.file)
    mistakes, lists, paths = list(_place_mistakes(configuration.file, line, table)), {}, {}
    for cell in table.cells if folder is not None else ():
        paths[cell.name] = path_of(folder, cell.name)
        if not os.path.exists(paths[cell.name]):
            continue  # only the gateways that know a cell need its list
        try:
            lines = read_cell_hosts(paths[cell.name])
        except ConfigurationError as wrong:
            mistakes += wrong.mistakes
            continue
        lists[cell.name] = lines
        mistakes += zone_mistakes(paths[cell.name], lines, cell.zone)
    while (clash := first_clash(paths, lists)) is not None:
        mistakes.append(clash[1])
        del lists[clash[0]]
    if mistakes:
        raise ConfigurationError(mistakes)


def _place_mistakes(file, line, table):
    if table.fleet != line.fleet:
        cure = f"name the table of fleet {line.fleet}"
        yield Mistake(file, line.line, f"cells: {line.file} is of fleet {table.fleet}", cure)
    zones = {cell.zone: cell.region for cell in table.cells}
    if line.zone not in zones:
        cure = f"the zones there: {', '.join(sorted(zones))}"
        yield Mistake(file, line.line, f"cells: the table has no cell in zone {line.zone}", cure)
    elif zones[line.zone] != line.region:
        text = f"cells: zone {line.zone} lies in region {zones[line.zone]}, not {line.region}"
        yield Mistake(file, line.line, text, "name that region")
