"""Chooses the member to probe next."""

from gaproute.shared.membership.messages import Member
from gaproute.shared.membership.table import MemberTable
from gaproute.shared.randomness import RandomSource, shuffle

# In one of so many periods a dead member is probed instead, to find a partition that has healed
DEAD_PROBE_INTERVAL = 5


class ProbeOrder:
    """Live members in rounds, each round in another random order; at intervals a dead member."""

    def __init__(self, table: MemberTable, random: RandomSource) -> None:
        self._table, self._random = table, random
        self.remaining: list[str] = []  # names to probe in this round, the next one last
        self.remaining_names: set[str] = set()  # the same names, for look-ups
        self._periods = 0

    def next(self) -> Member | None:
        """The member to probe in a new period; None if there is none."""
        self._periods += 1
        self._add_joined()
        table = self._table
        if table.dead and (self._periods % DEAD_PROBE_INTERVAL == 0 or not table.live_count()):
            return table.members[table.dead.choose(self._random)]
        member = self._next_of_round()
        if member is None:
            self._start_round()
            member = self._next_of_round()
        return member

    def _add_joined(self) -> None:
        """Puts new live members at random positions of this round."""
        for name in self._table.joined:
            if name not in self.remaining_names:
                self.remaining_names.add(name)
                self.remaining.append(name)
                other = self._random.below(len(self.remaining))
                self.remaining[-1], self.remaining[other] = self.remaining[other], self.remaining[-1]
        self._table.joined.clear()

    def _next_of_round(self) -> Member | None:
        while self.remaining:
            name = self.remaining.pop()
            self.remaining_names.discard(name)
            if name in self._table.members and name not in self._table.dead:
                return self._table.members[name]
        return None

    def _start_round(self) -> None:
        self.remaining = [*self._table.alive.names, *self._table.suspects]
        self.remaining_names = set(self.remaining)
        shuffle(self.remaining, self._random)
