"""Reinforcement-learning rollouts in the capacity that production traffic leaves unused on shared hosts.

A `Campaign` describes the rollouts that a training job needs. A planner forecasts which lanes production
leaves free and decides which host loads a copy of which campaign's model. A `RolloutDispatcher` in each
gateway decides which rollouts the gateway may send now, from its leases and the hosts' reports. The package
only makes decisions: it reads no clock, draws no random numbers and does no I/O. So far only the simulation
uses the package; the gateway does not.
"""

from gaproute.rollouts.campaign import Campaign, RolloutHost, lendable_lanes
from gaproute.rollouts.campaign_validation import find_mistakes
from gaproute.rollouts.dispatcher import RolloutDispatcher

__all__ = ["Campaign", "RolloutDispatcher", "RolloutHost", "find_mistakes", "lendable_lanes"]
