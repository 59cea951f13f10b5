"""Two ways of maintenance without a floor, driven as the round is, to show what they break. Both wait for
leases, let hosts drain and load again what a host had; `OneAtATime` takes the next host when the one before
is back, `FixedGroups` the hosts in the order listed, as many as may go together, when all of the group before
are back."""

import msgspec

from gaproute.maintenance import RoundController
from gaproute.maintenance.capacity_floor import FleetCapacity
from gaproute.maintenance.feasibility import SchedulingEstimates, forecast_round
from gaproute.maintenance.host_selection import RoundHosts, Selection
from gaproute.maintenance.round_spec import RoundSpec
from gaproute.simulation.rounds import MaintenanceRun
from gaproute.simulation.rounds.processes import SimulatedScheduler


class _WithoutFloor(RoundController):
    """Takes hosts out whatever capacity is left; `selector` chooses them."""

    def __init__(self, spec, *arguments, **keywords):
        super().__init__(spec, *arguments, **keywords)
        self.planner.feasible = True

    def _update_estimate(self, now, status):
        super()._update_estimate(now, status)
        self.estimate.shortfalls, self.estimate.required = [], {}


class OneAtATime(_WithoutFloor):
    """Takes the next host when the one before is back."""

    def __init__(self, spec, *arguments, **keywords):
        alone = msgspec.structs.replace(spec, max_away=1, zone_share=0, survivable_failure="")
        super().__init__(alone, *arguments, selector=_next_group, **keywords)


class FixedGroups(_WithoutFloor):
    """Takes the next group of hosts when all of the one before are back."""

    def __init__(self, spec, *arguments, **keywords):
        ungrouped = msgspec.structs.replace(spec, exclusive_groups=(), one_away_per="")
        super().__init__(ungrouped, *arguments, selector=_next_group, **keywords)


def _next_group(spec: RoundSpec, capacity: FleetCapacity, hosts: RoundHosts) -> Selection:
    return Selection([] if hosts.away else list(hosts.waiting[: spec.max_away]), None)


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
    ends, capacity = [], FleetCapacity(fleet, warm, needs)
    for order in orders:
        for strictly in (False, True):

            def ranked(_asked, _fleet, waiting, order=order, strictly=strictly):
                left = [name for name in order if name in waiting]
                return left[:1] if strictly else left

            estimates = SchedulingEstimates(0, load, 0, 2)
            made = forecast_round(asked, capacity, order, free, estimates, ranked)
            if not made.obstacle:
                ends.append(made.end)
    return min(ends, default=None)
