"""The host lists of the cells that a gateway knows: files `CELL.hosts` of one folder, watched for changes.

Invariants: the lists in force never name a host twice, nor one in another zone than its cell's. A list that
does is rejected, and the last good list of its cell stays in force. All lists are checked together, so that a
host may move from one cell to another whichever file changes first.
"""

from collections.abc import Callable, Mapping, Sequence
from functools import partial

from gaproute.config.cell_files import first_duplicate_host, host_list_path, read_cell_hosts, zone_mistakes
from gaproute.config.directives.fleet import CellHostsLine, HostLine
from gaproute.config.errors import Mistake
from gaproute.discovery.file_watch import FileWatch
from gaproute.loop import Loop

ListsByCell = dict[str, list[HostLine]]  # by cell


class CellLists:
    """Follows the files of the cells given by `set_cells`; `in_force` has the lists that are used now.

    `on_change(lists)` is called with all lists in force each time that they change, `on_rejected(cell,
    mistakes)` for each list that is not used.
    """

    def __init__(
        self,
        loop: Loop,
        line: CellHostsLine,
        on_change: Callable[[ListsByCell], None],
        on_rejected: Callable[[str, Sequence[Mistake]], None],
    ) -> None:
        """Errors: ValueError where the line names no folder."""
        if line.folder is None:
            raise ValueError("host lists of files need a folder")
        self.loop, self.folder, self.poll_interval = loop, line.folder, line.look
        self.on_change, self.on_rejected = on_change, on_rejected
        self.zones: dict[str, str] = {}  # by cell
        self.watches: dict[str, FileWatch] = {}  # by cell
        self.last_read: ListsByCell = {}
        self.in_force: ListsByCell = {}
        self.conflicts: dict[str, Mistake] = {}  # by cell: why the list that was read last is not in force

    def set_cells(self, zones: Mapping[str, str]) -> None:
        """Follows the lists of these cells and no others; `zones`: {cell: its zone}."""
        dropped = [cell for cell in self.watches if cell not in zones]
        for cell in dropped:
            self._forget(cell)
        rezoned = [cell for cell in self.zones if self.zones[cell] != zones.get(cell)]
        self.zones = dict(zones)
        for cell in [cell for cell in zones if cell not in self.watches]:
            self._watch(cell)
        for cell in rezoned:
            if cell in self.watches:
                self.watches[cell].read()
        if dropped:
            self._put_in_force(changed=True)

    def reload(self) -> None:
        """Reads every file now."""
        for watch in list(self.watches.values()):
            watch.read()

    def current_at(self) -> dict[str, int | None]:
        """By cell: when its file was last seen unchanged, before the change that is being handled; ns."""
        return {cell: watch.current_at for cell, watch in self.watches.items()}

    def close(self) -> None:
        """Ends all watches."""
        for watch in self.watches.values():
            watch.close()

    def _watch(self, cell: str) -> None:
        # A watch reads its file while it is being made, before it is stored in `watches`.
        self.watches[cell] = FileWatch(
            self.loop,
            host_list_path(self.folder, cell),
            self.poll_interval,
            partial(self._read, cell),
            partial(self.on_rejected, cell),
            read_cell_hosts,
        )

    def _forget(self, cell: str) -> None:
        self.watches.pop(cell).close()
        self.last_read.pop(cell, None)
        self.in_force.pop(cell, None)
        self.conflicts.pop(cell, None)

    def _read(self, cell: str, lines: list[HostLine]) -> None:
        mistakes = zone_mistakes(host_list_path(self.folder, cell), lines, self.zones[cell])
        if mistakes:
            self.on_rejected(cell, mistakes)
            return
        self.last_read[cell] = lines
        self._put_in_force()

    def _put_in_force(self, *, changed: bool = False) -> None:
        """Uses the newest lists that are consistent; `changed`: they differ from those of the last call
        anyway.
        """
        lists, conflicts = self._consistent()
        for cell, mistake in conflicts.items():
            if self.conflicts.get(cell) != mistake:
                self.on_rejected(cell, [mistake])
        self.conflicts = conflicts
        if changed or lists != self.in_force:
            self.in_force = lists
            self.on_change(lists)

    def _consistent(self) -> tuple[ListsByCell, dict[str, Mistake]]:
        """The newest lists that are consistent, and why others are not used; of those the list in force
        stays.
        """
        unchanged = {
            cell: lines for cell, lines in self.last_read.items() if self.in_force.get(cell) == lines
        }
        # Those in force come first, so that the newer of two conflicting lists is rejected
        lists = unchanged | self.last_read
        paths = {cell: host_list_path(self.folder, cell) for cell in lists}
        conflicts: dict[str, Mistake] = {}
        while (conflict := first_duplicate_host(paths, lists)) is not None:
            cell, conflicts[cell] = conflict
            del lists[cell]
            if cell in self.in_force:
                lists = {cell: self.in_force[cell]} | lists
        return lists, conflicts
