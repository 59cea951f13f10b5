"""The host lists of the cells that a gateway follows, each received from a change log.

Each cell has one connection, opened when the cell is first needed and closed when it is released. If the
sources fail, the last valid list of the cell stays in force. There are bounds on the number of followed
cells, the number of their hosts, the size of an event, the rate at which events are applied, and the number
of lines logged for each connection.
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

MAX_FOLLOWED_CELLS = 64  # at a time; a view of 512 hosts has fewer cells unless they are tiny
MAX_FOLLOWED_HOSTS = 2 * MAX_HOSTS_PER_CELL  # in all cells: four times the hosts of a view by the cell table
MAX_LOGGED_REJECTIONS = 16  # for each cell and connection; further ones are only counted


class FollowedCell:
    """A followed cell: the watcher of its change log, the reported members, and the logged rejections."""

    watcher: CellWatcher  # set after construction, as the watcher may call back within its constructor

    def __init__(self) -> None:
        self.members = CellMembers()
        self.rejected: dict[str, str] = {}  # by host: why its reported member is invalid
        self.conflicts: dict[str, str] = {}  # by host: why its valid line is not in force
        # The number of rejections logged for the connection with the number `logged_connection`
        self.logged_count, self.logged_connection = 0, 0
        self.sources_failing = False

    def select_for_log(self, rejected: Sequence[RejectedMember]) -> Sequence[RejectedMember]:
        """Returns the rejected members to log: each rejection once, and a limited number for a connection."""
        unlogged = [member for member in rejected if self.rejected.get(member.host) != member.reason]
        if len(self.rejected) + len(unlogged) > MAX_HOSTS_PER_CELL:
            self.rejected = {}
        self.rejected.update(unlogged[:MAX_HOSTS_PER_CELL])
        return self.limit_for_log(unlogged)

    def limit_for_log(self, rejected: Sequence[RejectedMember]) -> Sequence[RejectedMember]:
        """Returns as many of the rejected members as may still be logged for the present connection."""
        if self.logged_connection != self.watcher.connection_count:
            self.logged_connection, self.logged_count = self.watcher.connection_count, 0
        allowed = rejected[: MAX_LOGGED_REJECTIONS - self.logged_count]
        self.logged_count += len(allowed)
        return allowed

    def close(self) -> None:
        """Closes the connection to the change log."""
        self.watcher.close()


class FollowedLists:
    """Follows change logs as `CellLists` follows files.

    `on_change(lists)` is called with all lists in force each time that one of them changes.
    `on_rejected(cell, count, members)` is called when `count` members were rejected, of which `members` are
    to be logged. `on_source_changed(cell, error)` is called when all sources of a cell fail and, with `error`
    None, when one of them answers again.
    """

    def __init__(
        self,
        loop: Loop,
        fleet: str,
        line: CellHostsLine,
        on_change: Callable[[ListsByCell], None],
        on_rejected: Callable[[str, int, Sequence[RejectedMember]], None],
        on_source_changed: Callable[[str, str | None], None],
        random_source: RandomSource,
    ) -> None:
        self.loop, self.fleet, self.sources, self.apply_interval = loop, fleet, line.sources, line.look
        self.on_change, self.on_rejected, self.on_source_changed = on_change, on_rejected, on_source_changed
        self.random_source = random_source
        self.zones: dict[str, str] = {}  # by cell
        self.in_force: ListsByCell = {}
        self.followed: dict[str, FollowedCell] = {}  # by cell
        self.reconciler = CellReconciler()
        self.apply_timer: Timer | None = None
        self.events_pending = False  # whether events were received that are not applied yet
        loop.on_late_turn.append(self._apply_after_stall)

    def set_cells(self, zones: Mapping[str, str]) -> None:
        """Follows the lists of the cells in `zones`, {cell: its zone}, and of no others."""
        self.zones = dict(zones)
        chosen = list(zones)[:MAX_FOLLOWED_CELLS]
        for cell in [cell for cell in self.followed if cell not in chosen]:
            self.followed.pop(cell).close()
        for cell in chosen:
            if cell not in self.followed:
                self._start_following(cell)
        self._put_in_force()

    def reload(self) -> None:
        """Does nothing, as change logs send each change at once."""

    def current_at(self) -> dict[str, int | None]:
        """By cell: when its list was last known before the change being applied, ns of the loop's clock."""
        return {cell: followed.watcher.current_at for cell, followed in self.followed.items()}

    def status(self) -> JsonObject:
        """The status for operators: followed cells, cells whose sources fail, and counts of connections."""
        followed_cells = self.followed.values()
        return {
            "followed": len(self.followed),
            "failing": sorted(cell for cell, followed in self.followed.items() if followed.sources_failing),
            "asked": sum(followed.watcher.connection_count for followed in followed_cells),
            "begun_anew": sum(followed.watcher.restart_count for followed in followed_cells),
        }

    def close(self) -> None:
        """Stops following all cells."""
        if self._apply_after_stall in self.loop.on_late_turn:
            self.loop.on_late_turn.remove(self._apply_after_stall)
        for followed in self.followed.values():
            followed.close()
        if self.apply_timer is not None:
            self.apply_timer.cancel()

    def _start_following(self, cell: str) -> None:
        followed = self.followed[cell] = FollowedCell()
        followed.watcher = CellWatcher(
            self.loop,
            self.sources,
            cell_path(self.fleet, cell),
            partial(self._on_event, cell),
            partial(self._on_source_event, cell),
            partial(self._on_source_event, cell, None),
            self.random_source,
        )

    def _on_event(self, cell: str, event: Event) -> None:
        followed = self.followed.get(cell)
        if followed is None:
            return  # an earlier event in the same read made the decisions release the cell
        hosts_of_others = sum(
            len(other.members.reported_lines) for name, other in self.followed.items() if name != cell
        )
        rejected = followed.members.apply(event.fleet, MAX_FOLLOWED_HOSTS - hosts_of_others)
        if rejected:
            self.on_rejected(cell, len(rejected), followed.select_for_log(rejected))
        self._schedule_apply()

    def _schedule_apply(self) -> None:
        """Applies the received events now, or once `apply_interval` has passed since events were applied.

        The interval bounds the cost of a flood of events.
        """
        self.events_pending = True
        if self.apply_timer is None:
            self._apply_pending()

    def _apply_pending(self) -> None:
        self.apply_timer = None
        if self.events_pending:
            self.events_pending = False
            self.apply_timer = self.loop.call_later(self.apply_interval, self._apply_pending)
            self._put_in_force()

    def _apply_after_stall(self) -> None:
        """After a stall of the loop, applies waiting events before requests that arrived during the stall."""
        for followed in list(self.followed.values()):
            followed.watcher.read_now()
        if self.events_pending:
            if self.apply_timer is not None:
                self.apply_timer.cancel()
            self._apply_pending()

    def _put_in_force(self) -> None:
        """Puts the reported hosts in force that do not conflict with each other."""
        offered = {
            cell: followed.members.reported_lines
            for cell, followed in self.followed.items()
            if followed.members.reported_lines or cell in self.reconciler.lines_in_force
        }
        previous_lines = self.reconciler.lines_in_force
        self.reconciler.reconcile(offered, self.zones)
        self._report_conflicts()
        in_force = {
            cell: self._reuse_unchanged_list(cell, lines, unchanged=previous_lines.get(cell) is lines)
            for cell, lines in self.reconciler.lines_in_force.items()
            if lines or cell in self.in_force
        }
        if in_force != self.in_force:
            self.in_force = in_force
            self.on_change(in_force)

    def _reuse_unchanged_list(
        self, cell: str, lines: Mapping[str, HostLine], *, unchanged: bool
    ) -> list[HostLine]:
        """The lines as a list; if unchanged, the list object in force, as identical objects compare fast."""
        if unchanged and cell in self.in_force:
            return self.in_force[cell]
        return list(lines.values())

    def _report_conflicts(self) -> None:
        for cell, followed in self.followed.items():
            previous, followed.conflicts = followed.conflicts, self.reconciler.rejection_reasons.get(cell, {})
            new = [
                RejectedMember(*conflict)
                for conflict in followed.conflicts.items()
                if conflict not in previous.items()
            ]
            if new:
                self.on_rejected(cell, len(new), followed.limit_for_log(new))

    def _on_source_event(self, cell: str, error: str | None) -> None:
        followed = self.followed.get(cell)
        if followed is not None:
            followed.sources_failing = error is not None
            self.on_source_changed(cell, error)
