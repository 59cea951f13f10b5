"""A greedy planner of copies.

The planner first keeps the loaded copies that gain lanes. Then it repeatedly adds the copy with the greatest
net gain of lanes, as long as the net gain exceeds the cost of the load. Among copies of equal net gain, the
one of the campaign with the greatest unmet demand relative to its weight comes first.
"""

from typing import NamedTuple

from gaproute.rollouts.plan import (
    CampaignDemand,
    CopyPlace,
    CopyPlan,
    PlannedCopy,
    PlannedLanes,
    PlanningProblem,
)


def greedy_plan(problem: PlanningProblem) -> CopyPlan:
    """A plan for the problem; the same problem always gives the same plan."""
    planner = _GreedyPlanner(problem)
    planner.keep_loaded()
    planner.add_copies()
    return CopyPlan(
        planner.copies,
        [PlannedLanes(campaign, host, by_slot) for (campaign, host), by_slot in planner.lanes.items()],
    )


class _Candidate(NamedTuple):
    """A copy that could be added; the planner adds the greatest one in the order of these fields."""

    net_gain: float
    unmet_demand: float
    campaign: str
    host: str


class _GreedyPlanner:
    """`free_lanes`: by host and slot; `unmet_lanes`: by campaign and slot, the unfilled part of its share."""

    def __init__(self, problem: PlanningProblem) -> None:
        shares = [problem.shares(slot) for slot in range(problem.slots)]
        self.problem = problem
        self.demands: dict[str, CampaignDemand] = {demand.name: demand for demand in problem.demands}
        self.free_lanes = {
            host: [int(lanes) for lanes in by_slot] for host, by_slot in problem.spare_lanes.items()
        }
        self.unmet_lanes = {name: [share[name] for share in shares] for name in self.demands}
        self.free_capacity = dict(problem.copy_capacity)
        self.lanes: dict[CopyPlace, list[int]] = {}
        self.copies: list[PlannedCopy] = []

    def keep_loaded(self) -> None:
        """Keeps loaded copies that gain lanes, the best copy of the campaign with most unmet demand first."""
        loaded: list[CopyPlace] = [
            (campaign, host)
            for campaign, host in self.problem.loaded
            if campaign in self.demands and host in self.free_lanes
        ]
        while loaded:
            campaign, host = max(
                loaded,
                key=lambda place: (
                    self._unmet_demand(place[0]),
                    self._gained_lanes(place[0], place[1], 0),
                    place,
                ),
            )
            loaded.remove((campaign, host))
            if self._fits(campaign, host) and self._gained_lanes(campaign, host, 0) > 0:
                self._add_copy(campaign, host, 0)

    def add_copies(self) -> None:
        """Adds copies slot by slot, in each slot at most `max_loads`."""
        loads, slot = 0, 0
        while slot < self.problem.slots:
            best = max(self._candidates(slot), default=None)
            if best is None or best.net_gain <= self._load_cost(best.host):
                return
            self._add_copy(best.campaign, best.host, slot)
            loads += 1
            if loads % max(1, self.problem.max_loads) == 0:
                slot += 1

    def _candidates(self, slot: int) -> list[_Candidate]:
        return [
            _Candidate(self._net_gain(campaign, host, slot), self._unmet_demand(campaign), campaign, host)
            for campaign in self.demands
            for host in self.free_lanes
            if (campaign, host) not in self.lanes and self._fits(campaign, host)
        ]

    def _net_gain(self, campaign: str, host: str, slot: int) -> float:
        """The gained lanes without those lost in the first slot while the copy is being loaded."""
        first_slot_lanes = min(self.free_lanes[host][slot], self.unmet_lanes[campaign][slot])
        return self._gained_lanes(campaign, host, slot) - self.problem.load_time * first_slot_lanes

    def _load_cost(self, host: str) -> float:
        return self.problem.load_time * max(1, min(self.free_lanes[host]))

    def _unmet_demand(self, campaign: str) -> float:
        return sum(self.unmet_lanes[campaign]) / self.demands[campaign].weight

    def _gained_lanes(self, campaign: str, host: str, first_slot: int) -> int:
        """The sum of the lanes that a copy gains in `first_slot` and all later slots."""
        slots = range(first_slot, self.problem.slots)
        return sum(min(self.free_lanes[host][slot], self.unmet_lanes[campaign][slot]) for slot in slots)

    def _fits(self, campaign: str, host: str) -> bool:
        return self.free_capacity[host] >= self.demands[campaign].copy_size

    def _add_copy(self, campaign: str, host: str, first_slot: int) -> None:
        by_slot = [0] * self.problem.slots
        for slot in range(first_slot, self.problem.slots):
            by_slot[slot] = min(self.free_lanes[host][slot], self.unmet_lanes[campaign][slot])
            self.free_lanes[host][slot] -= by_slot[slot]
            self.unmet_lanes[campaign][slot] -= by_slot[slot]
        self.lanes[campaign, host] = by_slot
        self.free_capacity[host] -= self.demands[campaign].copy_size
        self.copies.append(PlannedCopy(campaign, host, first_slot))
