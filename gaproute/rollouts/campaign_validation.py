"""Checks of campaigns before they begin: contradictions, unknown names, and what can never fit."""

from collections.abc import Collection, Iterator, Sequence

from gaproute.rollouts.campaign import Campaign, RolloutHost, lendable_lanes, strictest_reservations
from gaproute.shared.leases.commands import MAX_LEASE_DURATION
from gaproute.shared.messages import MAX_COUNT
from gaproute.units import SECOND

MAX_CAMPAIGNS = 32  # at once: each costs every gateway a row for each host
MAX_STEPS = 1_000_000
MAX_ROLLOUTS = 10_000_000  # a step: counters and forecasts stay small numbers

# Of each number of a campaign: the least and the most.
RANGES = {
    "rollouts_per_step": (1, MAX_ROLLOUTS),
    "steps": (1, MAX_STEPS),
    "max_version_lag": (0, MAX_STEPS),
    "group_size": (1, MAX_ROLLOUTS),
    "copy_size": (1, MAX_COUNT),
    "typical_duration": (1, MAX_LEASE_DURATION),
    "max_duration": (1, MAX_LEASE_DURATION),
    "deadline": (0, 1 << 60),
    "weight": (1, 1000),
    "rate": (0, MAX_ROLLOUTS),
    "version": (0, 1 << 40),
}


def find_mistakes(
    campaigns: Sequence[Campaign], hosts: Sequence[RolloutHost], functions: Collection[str]
) -> list[str]:
    """Every mistake, as a line with the campaign and what is wrong; an empty list if all can run.

    `functions`: the names of those that are known.
    """
    mistakes = []
    if len(campaigns) > MAX_CAMPAIGNS:
        mistakes.append(f"campaigns: {len(campaigns)}, at most {MAX_CAMPAIGNS}")
    names = [campaign.name for campaign in campaigns]
    for campaign in campaigns:
        texts = [f"name: {campaign.name} twice"] if names.count(campaign.name) > 1 else []
        texts += [*_contradictions(campaign), *_unknown_names(campaign, hosts, functions)]
        texts = texts or list(_impossibilities(campaign, campaigns, hosts))
        mistakes += [f"campaign {campaign.name}: {text}" for text in texts]
    return mistakes


def _contradictions(campaign: Campaign) -> Iterator[str]:
    for key, (least, most) in RANGES.items():
        value = getattr(campaign, key)
        if not least <= value <= most:
            yield f"{key}: {value}, from {least} to {most}"
    if campaign.deadline and campaign.rate:
        yield "rate: deadline is given as well, one of them implies the other"
    if campaign.group_size > 0 and campaign.rollouts_per_step % campaign.group_size:
        yield (
            f"group_size: {campaign.group_size} does not divide"
            f" rollouts_per_step {campaign.rollouts_per_step}"
        )
    if campaign.typical_duration > campaign.max_duration:
        yield "typical_duration: longer than max_duration"
    if campaign.lease_duration > MAX_LEASE_DURATION:
        yield (
            f"max_duration: a lease of {campaign.lease_duration / 1e9:.0f} s would be needed, "
            f"the longest is {MAX_LEASE_DURATION / 1e9:.0f} s"
        )
    for name, lanes in campaign.reserved_lanes.items():
        if lanes < 0:
            yield f"reserved_lanes: {name} {lanes} is below 0"


def _unknown_names(
    campaign: Campaign, hosts: Sequence[RolloutHost], functions: Collection[str]
) -> Iterator[str]:
    if campaign.function not in functions:
        yield f"function: {campaign.function} is not known"
    known = {host.name for host in hosts} | {host.zone for host in hosts}
    for name in campaign.reserved_lanes:
        if name not in known:
            yield f"reserved_lanes: {name} is no host and no zone"


def max_rate(campaign: Campaign, campaigns: Sequence[Campaign], hosts: Sequence[RolloutHost]) -> float:
    """Rollouts a second if the campaign alone had all that may ever be lent where a copy fits."""
    lanes = lendable_lanes(hosts, strictest_reservations(campaigns))
    usable = sum(lanes[host.name] for host in hosts if host.copy_capacity >= campaign.copy_size)
    return usable * SECOND / campaign.typical_duration


def _impossibilities(
    campaign: Campaign, campaigns: Sequence[Campaign], hosts: Sequence[RolloutHost]
) -> Iterator[str]:
    """What cannot be, however little production needs."""
    for name, lanes in campaign.reserved_lanes.items():
        existing = sum(host.lanes for host in hosts if name in (host.name, host.zone))
        if lanes > existing:
            yield f"reserved_lanes: {name} {lanes} is above all of it, {existing} would fit"
    largest = max((host.copy_capacity for host in hosts), default=0)
    if campaign.copy_size > largest:
        yield f"copy_size: a copy of {campaign.copy_size} fits no host, {largest} would fit"
        return
    rate = max_rate(campaign, campaigns, hosts)
    rollouts = campaign.rollouts_per_step * campaign.steps
    if not rate:
        reserved = sorted(strictest_reservations(campaigns).items())
        listed = ", ".join(f"{name} {lanes}" for name, lanes in reserved)
        yield f"reserved_lanes: nothing may be lent where a copy fits ({listed}), lower ones would fit"
    elif campaign.rate > rate:
        yield f"rate: {campaign.rate:g} a second can never be, {rate:.1f} would fit"
    elif campaign.deadline and rollouts * SECOND > rate * campaign.deadline:
        possible_per_step = int(rate * campaign.deadline / SECOND / campaign.steps)
        yield (
            f"deadline: {rollouts} rollouts in {campaign.deadline / 1e9:.0f} s can never be, "
            f"{rollouts / rate:.0f} s or {possible_per_step} rollouts a step would fit"
        )
