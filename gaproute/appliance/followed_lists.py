"""The host lists of the cells that a gateway knows, each followed by a change log while wanted.

One connection for each cell, opened when the cell is first needed and closed when it is let go. Whatever
the sources do, the last good list of a cell serves on. Bounded: cells followed, hosts of all of them, bytes
of an event, how often news is taken in, and lines logged for each connection.
"""

from functools import partial

from gaproute.decisions.cells.bounds import MAX_HOSTS
from gaproute.discovery.cell_members import CellMembers, RejectedMember
from gaproute.discovery.cell_reconciler import CellReconciler
from gaproute.discovery.changelog.cell_watcher import CellWatcher, cell_path

MAX_CELLS = 64  # followed at once; a view of 512 hosts has fewer, unless its cells are tiny
MAX_HOSTS_FOLLOWED = 2 * MAX_HOSTS  # of all cells: four times what a view holds by its table
MAX_TOLD = 16  # refusals told for each cell and connection; all are counted


class FollowedCell:
    """One cell: who follows its log, and what that told."""

    def __init__(self):
        self.follower, self.members = None, CellMembers()
        self.refused, self.clashes = {}, {}  # {host: reason} of members, and of hosts not in force
        self.told, self.connection = 0, 0  # refusals told, and of which connection
        self.failing = False

    def fresh(self, members):
        """Those of the refused members that were not told yet, as many as may be told now."""
        fresh = [member for member in members if self.refused.get(member.host) != member.reason]
        if len(self.refused) + len(fresh) > MAX_HOSTS:
            self.refused = {}
        self.refused.update(fresh[:MAX_HOSTS])
        return self.allowed(fresh)

    def allowed(self, refused):
        """As many as may be told for this connection."""
        if self.connection != self.follower.connection_count:
            self.connection, self.told = self.follower.connection_count, 0
        allowed = refused[: MAX_TOLD - self.told]
        self.told += len(allowed)
        return allowed


class FollowedLists:
    """As `CellLists`: `told({cell: lines})` of all lists in force, each time that they change.
    `refused(cell, count, members)`: so many refused, of which these are to be logged. `trouble(cell, why)`
    when a cell's sources begin to fail, `why` None when one is back."""

    def __init__(self, loop, fleet, line, told, refused, trouble, chance):
        self.loop, self.fleet, self.sources, self.pace = loop, fleet, line.sources, line.look
        self.told, self.refused, self.trouble, self.chance = told, refused, trouble, chance
        self.zones, self.good = {}, {}  # by cell; the lists in force
        self.followed, self.force = {}, CellReconciler()  # by cell
        self.timer, self.due = None, False
        loop.on_late_turn.append(self._late)

    def want(self, zones):
        """Have the lists of these cells and no others; `zones`: {cell: its zone}."""
        self.zones = dict(zones)
        chosen = list(zones)[:MAX_CELLS]
        for cell in [cell for cell in self.followed if cell not in chosen]:
            self.followed.pop(cell).follower.close()
        for cell in chosen:
            if cell not in self.followed:
                self._follow(cell)
        self._settle()

    def _follow(self, cell):
        followed = self.followed[cell] = FollowedCell()
        followed.follower = CellWatcher(
            self.loop,
            self.sources,
            cell_path(self.fleet, cell),
            partial(self._event, cell),
            partial(self._trouble, cell),
            partial(self._trouble, cell, None),
            self.chance,
        )

    def read(self):
        """Nothing to do: a log tells by itself, where files would be read anew."""

    def current_at(self):
        """{cell: when its list was last known to be as it was told}, of each known before the news at
        hand."""
        return {cell: each.follower.current_at for cell, each in self.followed.items()}

    def _event(self, cell, event):
        followed = self.followed.get(cell)
        if followed is None:
            return  # let go by what an earlier event of the same bytes brought about
        others = sum(len(each.members.reported) for name, each in self.followed.items() if name != cell)
        refused = followed.members.apply(event.fleet, MAX_HOSTS_FOLLOWED - others)
        if refused:
            self.refused(cell, len(refused), followed.fresh(refused))
        self._news()

    def _news(self):
        """News is taken in at once, but no more often than the pace: a flood costs no more than that."""
        self.due = True
        if self.timer is None:
            self._take_in()

    def _take_in(self):
        self.timer = None
        if self.due:
            self.due = False
            self.timer = self.loop.after(self.pace, self._take_in)
            self._settle()

    def _late(self):
        """After a stop, news that waits comes before the calls that came meanwhile."""
        for each in list(self.followed.values()):
            each.follower.read_now()
        if self.due:
            self.timer.cancel()
            self._take_in()

    def _settle(self):
        """Put in force what goes together."""
        offered = {
            cell: each.members.reported
            for cell, each in self.followed.items()
            if each.members.reported or cell in self.force.active
        }
        before = self.force.active
        self.force.reconcile(offered, self.zones)
        self._tell_clashes()
        good = {
            cell: self.good[cell] if cell in self.good and before.get(cell) is lines else list(lines.values())
            for cell, lines in self.force.active.items()
            if lines or cell in self.good
        }
        if good != self.good:
            self.good = good
            self.told(good)

    def _tell_clashes(self):
        for cell, followed in self.followed.items():
            before, followed.clashes = followed.clashes, self.force.rejected.get(cell, {})
            fresh = [RejectedMember(*each) for each in followed.clashes.items() if each not in before.items()]
            if fresh:
                self.refused(cell, len(fresh), followed.allowed(fresh))

    def _trouble(self, cell, why):
        followed = self.followed.get(cell)
        if followed is not None:
            followed.failing = why is not None
            self.trouble(cell, why)

    def status(self):
        """What an operator is told: cells followed, those whose sources fail, connections tried."""
        return {
            "followed": len(self.followed),
            "failing": sorted(cell for cell, each in self.followed.items() if each.failing),
            "asked": sum(each.follower.connection_count for each in self.followed.values()),
            "begun_anew": sum(each.follower.restarts for each in self.followed.values()),
        }

    def close(self):
        """Follow nothing any more."""
        if self._late in self.loop.on_late_turn:
            self.loop.on_late_turn.remove(self._late)
        for each in self.followed.values():
            each.follower.close()
        if self.timer is not None:
            self.timer.cancel()
