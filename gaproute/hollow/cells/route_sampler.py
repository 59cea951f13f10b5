"""The ways of calls: to a cell that is known, or to an entry gateway that the table names for it.

The decisions name the cell and the entry; no task is served, and whether the entry is there and knows the
cell is asked at once, without the network.
"""

FUNCTIONS = 10_000
TRIES = 2  # entries of a cell that are tried for one call, as the decisions do


class RouteSampler:
    """`counts`: calls, those for known cells, those that an entry gateway took, tries at entries that are
    gone or do not know the cell, calls without any way."""

    def __init__(self, environment, cellular):
        self.reach, self.cellular, self.chance = environment.reach, cellular, environment.chance(8)
        self.counts = {"calls": 0, "known": 0, "entered": 0, "unreached": 0, "failed": 0}

    def call(self, now):
        """One call of any function."""
        function = f"model-{self.chance.below(FUNCTIONS):05}"
        self.counts["calls"] += 1
        self.counts[self._way(now, self._home(function))] += 1

    def _home(self, function):
        homes, table = self.cellular.homes, self.cellular.table
        return table.cells[0].name if homes is None else homes.first(function)

    def _way(self, now, name):
        if self.cellular.single is not None or name in self.cellular.local.gateways:
            return "known"
        entries, tried = self.cellular.entries, set()
        while len(tried) < TRIES:
            entry = entries.pick(now, self.cellular.table.by_name[name], tried)
            if entry is None:
                break
            tried.add(entry.name)
            if self.reach(entry, name):
                entries.record_answer(now, entry.name)
                return "entered"
            entries.record_failure(now, entry.name)
            self.counts["unreached"] += 1
        return "failed"
