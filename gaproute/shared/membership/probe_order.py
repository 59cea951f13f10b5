"""The order in which members are probed."""

from gaproute.shared.membership.messages import Member
from gaproute.shared.membership.table import MemberTable
from gaproute.shared.randomness import RandomSource, shuffle

# In one of this many periods a dead member is probed instead of a live one, to detect that a partition has
# healed
DEAD_PROBE_INTERVAL_PERIODS = 5


class ProbeOrder:
    """Chooses live members in rounds, each in a new random order, and a dead member at intervals."""

    def __init__(self, table: MemberTable, random: RandomSource) -> None:
        self._table, self._random = table, random
        self.remaining: list[str] = []  # names still to probe in this round; the next one is last
        self.remaining_set: set[str] = set()  # the names in `remaining`, for look-ups
        self._period_count = 0

    def next_member(self) -> Member | None:
        """The member to probe in a new period; None if no member can be probed."""
        self._period_count += 1
        self._add_joined_members()
        table = self._table
        if table.departed and (
            self._period_count % DEAD_PROBE_INTERVAL_PERIODS == 0 or not table.live_count()
        ):
            return table.members[table.departed.choose(self._random)]
        member = self._next_live_member()
        if member is None:
            self._start_round()
            member = self._next_live_member()
        return member

    def _add_joined_members(self) -> None:
        """Adds new live members at random positions of this round."""
        for name in self._table.joined_names:
            if name not in self.remaining_set:
                self.remaining_set.add(name)
                self.remaining.append(name)
                other = self._random.below(len(self.remaining))
                self.remaining[-1], self.remaining[other] = self.remaining[other], self.remaining[-1]
        self._table.joined_names.clear()

    def _next_live_member(self) -> Member | None:
        while self.remaining:
            name = self.remaining.pop()
            self.remaining_set.discard(name)
            if name in self._table.members and name not in self._table.departed:
                return self._table.members[name]
        return None

    def _start_round(self) -> None:
        self.remaining = [*self._table.alive.names, *self._table.suspected_since]
        self.remaining_set = set(self.remaining)
        shuffle(self.remaining, self._random)
