"""The host lists of the cells that a gateway follows: files `CELL.hosts` in one folder, watched for changes.

Invariants: the lists in force name each host once, and only hosts in the zone of their cell. A list that
breaks an invariant is rejected, and the last valid list of its cell stays in force. All lists are checked
together, so that a host can move from one cell to another whichever of the two files changes first.
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
    """Follows the files of the cells that `set_cells` names; `in_force` holds the lists that are used now.

    `on_change(lists)` is called with all lists in force each time that one of them changes, and
    `on_rejected(cell, mistakes)` for each rejected list.
    """

    def __init__(
        self,
        loop: Loop,
        line: CellHostsLine,
        on_change: Callable[[ListsByCell], None],
        on_rejected: Callable[[str, Sequence[Mistake]], None],
    ) -> None:
        """Errors: ValueError if the configuration line names no folder."""
        if line.folder is None:
            raise ValueError("the configuration line of the cells' host lists names no folder")
        self.loop, self.folder, self.poll_interval = loop, line.folder, line.look
        self.on_change, self.on_rejected = on_change, on_rejected
        self.zones: dict[str, str] = {}  # by cell
        self.watches: dict[str, FileWatch] = {}  # by cell
        self.last_read: ListsByCell = {}
        self.in_force: ListsByCell = {}
        self.conflicts: dict[str, Mistake] = {}  # by cell: why the list last read is not in force

    def set_cells(self, zones: Mapping[str, str]) -> None:
        """Follows the lists of the cells in `zones`, {cell: its zone}, and of no others."""
        dropped = [cell for cell in self.watches if cell not in zones]
        for cell in dropped:
            self._stop_following(cell)
        rezoned = [cell for cell in self.zones if self.zones[cell] != zones.get(cell)]
        self.zones = dict(zones)
        for cell in [cell for cell in zones if cell not in self.watches]:
            self._start_following(cell)
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
        """By cell: when its file was last seen before the change being applied, ns of the loop's clock."""
        return {cell: watch.current_at for cell, watch in self.watches.items()}

    def close(self) -> None:
        """Stops watching all files."""
        for watch in self.watches.values():
            watch.close()

    def _start_following(self, cell: str) -> None:
        # `FileWatch` reads the file in its constructor, before the watch is stored in `watches`.
        self.watches[cell] = FileWatch(
            self.loop,
            host_list_path(self.folder, cell),
            self.poll_interval,
            partial(self._accept_lines, cell),
            partial(self.on_rejected, cell),
            read_cell_hosts,
        )

    def _stop_following(self, cell: str) -> None:
        self.watches.pop(cell).close()
        self.last_read.pop(cell, None)
        self.in_force.pop(cell, None)
        self.conflicts.pop(cell, None)

    def _accept_lines(self, cell: str, lines: list[HostLine]) -> None:
        mistakes = zone_mistakes(host_list_path(self.folder, cell), lines, self.zones[cell])
        if mistakes:
            self.on_rejected(cell, mistakes)
            return
        self.last_read[cell] = lines
        self._put_in_force()

    def _put_in_force(self, *, changed: bool = False) -> None:
        """Puts the newest consistent lists in force, and reports each new conflict.

        `changed`: a cell was dropped from `in_force`, so `on_change` is called in any case.
        """
        lists, conflicts = self._find_consistent_lists()
        for cell, mistake in conflicts.items():
            if self.conflicts.get(cell) != mistake:
                self.on_rejected(cell, [mistake])
        self.conflicts = conflicts
        if changed or lists != self.in_force:
            self.in_force = lists
            self.on_change(lists)

    def _find_consistent_lists(self) -> tuple[ListsByCell, dict[str, Mistake]]:
        """Returns the newest consistent lists, and by cell why its newest list is not among them.

        A cell whose newest list conflicts with another list keeps its list in force.
        """
        unchanged = {
            cell: lines for cell, lines in self.last_read.items() if self.in_force.get(cell) == lines
        }
        # Lists in force come first, so that the newer one of two conflicting lists is rejected
        lists = unchanged | self.last_read
        paths = {cell: host_list_path(self.folder, cell) for cell in lists}
        conflicts: dict[str, Mistake] = {}
        while (conflict := first_duplicate_host(paths, lists)) is not None:
            cell, conflicts[cell] = conflict
            del lists[cell]
            if cell in self.in_force:
                lists = {cell: self.in_force[cell]} | lists
        return lists, conflicts
