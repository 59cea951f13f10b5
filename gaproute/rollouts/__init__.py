"""Reinforcement-learning rollouts beside production, in the capacity that production leaves on shared hosts.

A `Campaign` asks for rollouts. A planner forecasts what production leaves free and decides which host gets
a copy of which campaign's model; a `RolloutDispatcher` in each gateway decides what it may send now, under
leases and by what hosts report. The package decides only: it reads no clock, draws no random numbers and
does no I/O. The gateway does not use it yet: only the simulation drives it.
"""

from gaproute.rollouts.campaign import Campaign, RolloutHost, lendable_lanes
from gaproute.rollouts.campaign_validation import find_mistakes
from gaproute.rollouts.dispatcher import RolloutDispatcher

__all__ = ["Campaign", "RolloutDispatcher", "RolloutHost", "find_mistakes", "lendable_lanes"]
