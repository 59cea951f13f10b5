"""Two ways of maintenance without a floor, driven as the round is, to show what they break. Both wait for
permits, let hosts drain and load again what a host had; `OneAtATime` takes the next host when the one before
is back, `FixedGroups` the hosts in the order listed, as many as may go together, when all of the group before
are back."""

import msgspec

from gaproute.maintenance import RoundController, schedule
from gaproute.simulation.rounds import MaintenanceRun
from gaproute.simulation.rounds.processes import SimulatedScheduler


class OneAtATime(RoundController):
    def __init__(self, asked, *told, **named):
        super().__init__(msgspec.structs.replace(asked, together=1, zones=0, survive=""), *told, **named)
        self.planned = True

    def _believe(self, now, view):
        super()._believe(now, view)
        self.missing, self.needs = [], {}

    def _choose(self, view, waiting, down):
        return ([] if self.away() else waiting[:1]), None


class FixedGroups(OneAtATime):
    def __init__(self, asked, *told, **named):
        super().__init__(asked, *told, **named)
        self.asked = msgspec.structs.replace(asked, apart=(), one_per="")

    def _choose(self, view, waiting, down):
        return ([] if self.away() else waiting[: self.asked.together]), None


def runs_with(kind):
    """A MaintenanceRun whose schedulers run rounds of that kind."""

    class Schedulers(SimulatedScheduler):
        running = kind

    class Plays(MaintenanceRun):
        scheduler = Schedulers

    return Plays


def best(asked, fleet, warm, needs, free, load, orders):
    """ns of the shortest plan over all `orders` of the hosts: drains take nothing, what happens is seen at
    once. Each order is played twice: as a preference, and strictly (nobody goes before the one in front)."""
    ends = []
    for order in orders:
        for strictly in (False, True):

            def ranked(_asked, _fleet, waiting, order=order, strictly=strictly):
                left = [name for name in order if name in waiting]
                return left[:1] if strictly else left

            paces = schedule.SchedulingEstimates(0, load, 0, 2)
            made = schedule.plan(asked, fleet, warm, needs, order, free, paces, ranked)
            if not made.why:
                ends.append(made.end)
    return min(ends, default=None)
