"""A planning problem and its plan: which campaign has a copy at which host, and how many lanes there.

Both are sent to the solver's process and back as JSON arrays.
"""

from typing import NamedTuple

import msgspec

from gaproute.rollouts.weighted_shares import share_lanes

LOAD_SLOT_FRACTION = 0.5  # of a slot that the load of a copy takes: what a move costs

CopyPlace = tuple[str, str]  # campaign and host


class CampaignDemand(msgspec.Struct, array_like=True):
    """What one campaign could use: the size of a copy, its weight, and lanes in all."""

    name: str
    copy_size: int
    weight: int
    lanes: int


class PlanningProblem(msgspec.Struct, array_like=True):
    """What a plan is made from.

    `spare_lanes`: by host, in each slot; `copy_capacity`: by host; `loaded`: copies that exist already.
    `max_loads`: how many copies may be loaded in one slot; `load_time`: the part of a slot that one takes.
    """

    spare_lanes: dict[str, list[float]]
    copy_capacity: dict[str, int]
    demands: list[CampaignDemand]
    loaded: list[CopyPlace]
    max_loads: int
    load_time: float = LOAD_SLOT_FRACTION

    @property
    def slots(self) -> int:
        """How many slots the plan is for."""
        return len(next(iter(self.spare_lanes.values()), ()))

    def shares(self, slot: int) -> dict[str, int]:
        """By campaign, the lanes that are its share of all in this slot."""
        total = sum(int(lanes[slot]) for lanes in self.spare_lanes.values())
        return share_lanes(
            total,
            {demand.name: demand.lanes for demand in self.demands},
            {demand.name: demand.weight for demand in self.demands},
        )


class PlannedCopy(NamedTuple):
    """A copy that is to be loaded in the slot `first_slot`, or that exists already."""

    campaign: str
    host: str
    first_slot: int


class PlannedLanes(NamedTuple):
    """The lanes that a campaign gets at a host in each slot."""

    campaign: str
    host: str
    by_slot: list[int]


class CopyPlan(msgspec.Struct, array_like=True):
    """`copies`: in the order in which they are loaded."""

    copies: list[PlannedCopy]
    lanes: list[PlannedLanes]
