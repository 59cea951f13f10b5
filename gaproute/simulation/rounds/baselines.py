"""Two ways of maintenance without a capacity floor, to show what they break, and the best order of a round.

Both wait for leases, drain hosts and load again what a host had. `OneAtATime` takes the next host when the
one before is back, `FixedGroups` as many hosts as may be away together, in the order listed, when the whole
group before is back. Either is the `controller` of a MaintenanceRun.
"""

from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from gaproute.maintenance import FleetStatus, MaintenanceHost, RoundController, RoundSpec, schedule


class OneAtATime(RoundController):
    """Takes one host at a time and looks at no capacity."""

    def __init__(self, asked: RoundSpec, *args: Any, **options: Any) -> None:
        super().__init__(msgspec.structs.replace(asked, together=1, zones=0, survive=""), *args, **options)
        self.planned = True

    def _believe(self, now: int, view: FleetStatus) -> None:
        super()._believe(now, view)
        self.missing, self.needs = [], {}

    def _choose(self, view: FleetStatus, waiting: list[str], down: list[str]) -> Any:
        return ([] if self.away() else waiting[:1]), None


class FixedGroups(OneAtATime):
    """Takes groups of hosts and looks at no capacity."""

    def __init__(self, asked: RoundSpec, *args: Any, **options: Any) -> None:
        super().__init__(asked, *args, **options)
        self.asked = msgspec.structs.replace(asked, apart=(), one_per="")

    def _choose(self, view: FleetStatus, waiting: list[str], down: list[str]) -> Any:
        return ([] if self.away() else waiting[: self.asked.together]), None


class BestOrder:
    """The shortest plan of a round over many orders of its hosts.

    Draining takes no time and everything is seen at once. `warm`: lanes by host and function; `needs`: the
    floor; `free`: free slots by host; `load_time`: ns.
    """

    def __init__(
        self,
        spec: RoundSpec,
        fleet: Mapping[str, MaintenanceHost],
        warm: Mapping[str, Mapping[str, int]],
        needs: Mapping[tuple[str, str], int],
        free: Mapping[str, int],
        load_time: int,
    ) -> None:
        self.spec, self.fleet, self.warm, self.needs, self.free = spec, fleet, warm, needs, free
        self.estimates = schedule.SchedulingEstimates(0, load_time, 0, 2)

    def shortest(self, orders: Iterable[Sequence[str]]) -> int | None:
        """ns of the shortest plan; None where no order can be done.

        Each order is played twice: as a preference, and strictly (no host goes before the one in front).
        """
        ends = [self._end(order, strictly=strictly) for order in orders for strictly in (False, True)]
        return min((end for end in ends if end is not None), default=None)

    def _end(self, order: Sequence[str], *, strictly: bool) -> int | None:
        def ranked(_spec: RoundSpec, _fleet: Mapping[str, MaintenanceHost], waiting: list[str]) -> list[str]:
            left = [name for name in order if name in waiting]
            return left[:1] if strictly else left

        plan = schedule.plan(
            self.spec, self.fleet, self.warm, self.needs, order, self.free, self.estimates, ranked
        )
        return None if plan.why else plan.end
