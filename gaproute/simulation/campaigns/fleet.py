"""The hosts, gateways and campaigns of a run, as they are before anything happens."""

from dataclasses import replace
from typing import NamedTuple

from gaproute.errors import GaprouteError
from gaproute.rollouts.campaign import Campaign, RolloutHost, lendable_lanes, strictest_reservations
from gaproute.rollouts.campaign_validation import find_mistakes
from gaproute.units import MILLI, SECOND

ZONES = "abc"
RAFT_NODES = ("k1", "k2", "k3")
LANES = 8  # of a host
COPY_ROOM = 2  # of a host: for a campaign's old and new copy, or for the copies of two campaigns
FUNCTION = "m"
MAX_TASK_TIME = SECOND
USUAL_TASK_TIME = 450 * MILLI
GROUP_SIZE = 4
STEPS = 1000
SECOND_WEIGHT = 3  # of the second campaign; the first one has 1


class CampaignError(GaprouteError):
    """The campaigns of a case cannot be run."""


class FleetSize(NamedTuple):
    """What a case says of the fleet.

    `step_tasks`: of one step of a campaign; `floor`: lanes of each host that are never lent.
    """

    gateways: int = 6
    hosts: int = 8
    campaigns: int = 1
    step_tasks: int = 240
    floor: int = 1


class CampaignFleet:
    """Everything by name. `numbers`: of the process slots; `lendable`: lanes of each host for rollouts.

    `campaigns` is empty where a run has none; floors and lendable lanes are then the same.
    """

    def __init__(self, size: FleetSize, *, without_campaigns: bool = False) -> None:
        self.gateways = [f"g{number}" for number in range(1, size.gateways + 1)]
        self.hosts = {
            f"h{number}": RolloutHost(f"h{number}", ZONES[number % len(ZONES)], LANES, COPY_ROOM)
            for number in range(1, size.hosts + 1)
        }
        self.zones = {
            name: ZONES[number % len(ZONES)]
            for names in (RAFT_NODES, self.gateways)
            for number, name in enumerate(names)
        } | {host.name: host.zone for host in self.hosts.values()}
        names = (*RAFT_NODES, *self.gateways, *self.hosts)
        self.numbers = {name: number for number, name in enumerate(names)}
        campaigns = self._campaigns(size)
        self.floors = strictest_reservations(campaigns)
        self.lendable = lendable_lanes(list(self.hosts.values()), self.floors)
        self.campaigns = {} if without_campaigns else {campaign.name: campaign for campaign in campaigns}

    def _campaigns(self, size: FleetSize) -> list[Campaign]:
        zone_floor = len(self.hosts) // len(ZONES) * size.floor + 2
        first = Campaign(
            name="c1",
            function=FUNCTION,
            version=1,
            rollouts_per_step=size.step_tasks,
            steps=STEPS,
            max_version_lag=1,
            copy_size=1,
            max_duration=MAX_TASK_TIME,
            typical_duration=USUAL_TASK_TIME,
            group_size=GROUP_SIZE,
            reserved_lanes={**dict.fromkeys(self.hosts, size.floor), ZONES[0]: zone_floor},
        )
        second = replace(first, name="c2", weight=SECOND_WEIGHT, reserved_lanes={})
        campaigns = [first, second][: size.campaigns]
        mistakes = find_mistakes(campaigns, list(self.hosts.values()), {FUNCTION})
        if mistakes:
            raise CampaignError(f"campaigns of a simulated fleet: {'; '.join(mistakes)}")
        return campaigns
