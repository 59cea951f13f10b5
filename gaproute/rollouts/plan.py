"""A planning problem and its plan: which campaign has a copy at which host, and how many lanes there.

The solver process receives a problem and returns a plan, both as JSON arrays.
"""

from typing import NamedTuple

import msgspec

from gaproute.rollouts.weighted_shares import share_lanes

LOAD_SLOT_FRACTION = 0.5  # fraction of a slot that loading a copy takes; the cost of moving a copy

CopyPlace = tuple[str, str]  # campaign and host


class CampaignDemand(msgspec.Struct, array_like=True):
    """The demand of one campaign: the size of a copy, the weight, and the most lanes over all hosts."""

    name: str
    copy_size: int
    weight: int
    lanes: int


class PlanningProblem(msgspec.Struct, array_like=True):
    """The input of a planner.

    `spare_lanes`: by host and slot; `copy_capacity`: by host; `loaded`: places of loaded copies.
    `max_loads`: the most copies that may be loaded in one slot.
    `load_time`: the fraction of a slot that one load takes.
    """

    spare_lanes: dict[str, list[float]]
    copy_capacity: dict[str, int]
    demands: list[CampaignDemand]
    loaded: list[CopyPlace]
    max_loads: int
    load_time: float = LOAD_SLOT_FRACTION

    @property
    def slots(self) -> int:
        """The number of slots that the plan covers."""
        return len(next(iter(self.spare_lanes.values()), ()))

    def shares(self, slot: int) -> dict[str, int]:
        """By campaign, its share of all spare lanes in this slot."""
        total = sum(int(lanes[slot]) for lanes in self.spare_lanes.values())
        return share_lanes(
            total,
            {demand.name: demand.lanes for demand in self.demands},
            {demand.name: demand.weight for demand in self.demands},
        )


class PlannedCopy(NamedTuple):
    """A copy to load in the slot `first_slot`, or one that is loaded already."""

    campaign: str
    host: str
    first_slot: int


class PlannedLanes(NamedTuple):
    """The lanes that a campaign gets at a host in each slot."""

    campaign: str
    host: str
    by_slot: list[int]


class CopyPlan(msgspec.Struct, array_like=True):
    """A plan of copies and lanes. `copies`: in the order of their loads."""

    copies: list[PlannedCopy]
    lanes: list[PlannedLanes]
