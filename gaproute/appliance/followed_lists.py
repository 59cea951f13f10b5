"""The host lists of the cells that a gateway knows, each followed by a change log.

There is one connection for each cell, opened when the cell is first needed and closed when it is released. If
the sources fail, the last good list of a cell stays in force. Bounded are the followed cells, the hosts of
all of them, the bytes of an event, how often events are applied, and the lines that are logged for each
connection.
"""

from collections.abc import Callable, Mapping, Sequence
from functools import partial

from gaproute.appliance.cell_lists import ListsByCell
from gaproute.appliance.json_object import JsonObject
from gaproute.config.directives.fleet import CellHostsLine, HostLine
from gaproute.decisions.cells.bounds import MAX_HOSTS_PER_CELL
from gaproute.discovery.cell_members import CellMembers, RejectedMember
from gaproute.discovery.cell_reconciler import CellReconciler
from gaproute.discovery.changelog.cell_watcher import CellWatcher, cell_path
from gaproute.discovery.changelog.events import Event
from gaproute.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.shared.randomness import RandomSource

MAX_CELLS = 64  # followed at a time; a view of 512 hosts has fewer, unless its cells are tiny
MAX_HOSTS_FOLLOWED = 2 * MAX_HOSTS_PER_CELL  # of all cells: four times what a view has by its table
MAX_LOGGED_REJECTIONS = 16  # for each cell and connection; all are counted


class FollowedCell:
    """One cell: the watcher of its change log, what it reported, and which rejections were logged."""

    watcher: CellWatcher  # set as soon as it is made, as it may call back while it is being made

    def __init__(self) -> None:
        self.members = CellMembers()
        self.rejected: dict[str, str] = {}  # by host: why its member is rejected
        self.conflicts: dict[str, str] = {}  # by host: why it is not in force
        # How many rejections were logged, and the number of the connection that brought them
        self.logged_count, self.logged_connection = 0, 0
        self.failing = False

    def select_for_log(self, rejected: Sequence[RejectedMember]) -> Sequence[RejectedMember]:
        """The rejected members to be logged: each one once, and a limited number for a connection."""
        unlogged = [member for member in rejected if self.rejected.get(member.host) != member.reason]
        if len(self.rejected) + len(unlogged) > MAX_HOSTS_PER_CELL:
            self.rejected = {}
        self.rejected.update(unlogged[:MAX_HOSTS_PER_CELL])
        return self.limit_for_log(unlogged)

    def limit_for_log(self, rejected: Sequence[RejectedMember]) -> Sequence[RejectedMember]:
        """As many of the members as may still be logged for this connection."""
        if self.logged_connection != self.watcher.connection_count:
            self.logged_connection, self.logged_count = self.watcher.connection_count, 0
        allowed = rejected[: MAX_LOGGED_REJECTIONS - self.logged_count]
        self.logged_count += len(allowed)
        return allowed

    def close(self) -> None:
        """Closes the connection."""
        self.watcher.close()


class FollowedLists:
    """As `CellLists`: `on_change(lists)` is called with all lists in force, each time that they change.

    `on_rejected(cell, count, members)`: that many members were rejected, of which `members` are to be logged.
    `on_source_changed(cell, error)`: the sources of a cell begin to fail, or, with `error` None, one of them
    answers again.
    """

    def __init__(
        self,
        loop: Loop,
        fleet: str,
        line: CellHostsLine,
        on_change: Callable[[ListsByCell], None],
        on_rejected: Callable[[str, int, Sequence[RejectedMember]], None],
        on_source_changed: Callable[[str, str | None], None],
        chance: RandomSource,
    ) -> None:
        self.loop, self.fleet, self.sources, self.apply_interval = loop, fleet, line.sources, line.look
        self.on_change, self.on_rejected, self.on_source_changed = on_change, on_rejected, on_source_changed
        self.chance = chance
        self.zones: dict[str, str] = {}  # by cell
        self.in_force: ListsByCell = {}
        self.followed: dict[str, FollowedCell] = {}  # by cell
        self.reconciler = CellReconciler()
        self.timer: Timer | None = None
        self.events_pending = False  # whether events have come that are not applied yet
        loop.on_late_turn.append(self._apply_after_stall)

    def set_cells(self, zones: Mapping[str, str]) -> None:
        """Follows the lists of these cells and no others; `zones`: {cell: its zone}."""
        self.zones = dict(zones)
        chosen = list(zones)[:MAX_CELLS]
        for cell in [cell for cell in self.followed if cell not in chosen]:
            self.followed.pop(cell).close()
        for cell in chosen:
            if cell not in self.followed:
                self._follow(cell)
        self._put_in_force()

    def reload(self) -> None:
        """Does nothing: a change log sends changes by itself."""

    def current_at(self) -> dict[str, int | None]:
        """By cell: when its list was last known to be unchanged, before the change being applied; ns."""
        return {cell: followed.watcher.current_at for cell, followed in self.followed.items()}

    def status(self) -> JsonObject:
        """The status for operators: followed cells, those whose sources fail, and connections that were
        tried.
        """
        followed = self.followed.values()
        return {
            "followed": len(self.followed),
            "failing": sorted(cell for cell, each in self.followed.items() if each.failing),
            "asked": sum(each.watcher.connection_count for each in followed),
            "begun_anew": sum(each.watcher.restart_count for each in followed),
        }

    def close(self) -> None:
        """Ends following all cells."""
        if self._apply_after_stall in self.loop.on_late_turn:
            self.loop.on_late_turn.remove(self._apply_after_stall)
        for followed in self.followed.values():
            followed.close()
        if self.timer is not None:
            self.timer.cancel()

    def _follow(self, cell: str) -> None:
        followed = self.followed[cell] = FollowedCell()
        followed.watcher = CellWatcher(
            self.loop,
            self.sources,
            cell_path(self.fleet, cell),
            partial(self._on_event, cell),
            partial(self._source_changed, cell),
            partial(self._source_changed, cell, None),
            self.chance,
        )

    def _on_event(self, cell: str, event: Event) -> None:
        followed = self.followed.get(cell)
        if followed is None:
            return  # the cell was released as a result of an earlier event in the same bytes
        hosts_of_others = sum(
            len(each.members.reported_lines) for name, each in self.followed.items() if name != cell
        )
        rejected = followed.members.apply(event.fleet, MAX_HOSTS_FOLLOWED - hosts_of_others)
        if rejected:
            self.on_rejected(cell, len(rejected), followed.select_for_log(rejected))
        self._schedule()

    def _schedule(self) -> None:
        """Schedules applying the events: at once, but no more often than an interval, so that a flood is
        cheap.
        """
        self.events_pending = True
        if self.timer is None:
            self._apply_pending()

    def _apply_pending(self) -> None:
        self.timer = None
        if self.events_pending:
            self.events_pending = False
            self.timer = self.loop.call_later(self.apply_interval, self._apply_pending)
            self._put_in_force()

    def _apply_after_stall(self) -> None:
        """After a stall, applies the waiting events before the requests that came in the meantime."""
        for followed in list(self.followed.values()):
            followed.watcher.read_now()
        if self.events_pending:
            if self.timer is not None:
                self.timer.cancel()
            self._apply_pending()

    def _put_in_force(self) -> None:
        """Uses the hosts that are consistent."""
        offered = {
            cell: followed.members.reported_lines
            for cell, followed in self.followed.items()
            if followed.members.reported_lines or cell in self.reconciler.lines_in_force
        }
        before = self.reconciler.lines_in_force
        self.reconciler.reconcile(offered, self.zones)
        self._report_conflicts()
        in_force = {
            cell: self._lines(cell, lines, unchanged=before.get(cell) is lines)
            for cell, lines in self.reconciler.lines_in_force.items()
            if lines or cell in self.in_force
        }
        if in_force != self.in_force:
            self.in_force = in_force
            self.on_change(in_force)

    def _lines(self, cell: str, lines: Mapping[str, HostLine], *, unchanged: bool) -> list[HostLine]:
        """The lines as a list; the former list object where they are unchanged, which is compared quickly."""
        if unchanged and cell in self.in_force:
            return self.in_force[cell]
        return list(lines.values())

    def _report_conflicts(self) -> None:
        for cell, followed in self.followed.items():
            before, followed.conflicts = followed.conflicts, self.reconciler.rejection_reasons.get(cell, {})
            new = [RejectedMember(*each) for each in followed.conflicts.items() if each not in before.items()]
            if new:
                self.on_rejected(cell, len(new), followed.limit_for_log(new))

    def _source_changed(self, cell: str, error: str | None) -> None:
        followed = self.followed.get(cell)
        if followed is not None:
            followed.failing = error is not None
            self.on_source_changed(cell, error)
