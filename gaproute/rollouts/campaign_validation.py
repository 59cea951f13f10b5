"""Validation of campaigns before they start: invalid values, unknown names and infeasible requirements."""

from collections.abc import Collection, Iterator, Sequence

from gaproute.rollouts.campaign import Campaign, RolloutHost, lendable_lanes, strictest_reservations
from gaproute.shared.leases.commands import MAX_LEASE_DURATION
from gaproute.shared.messages import MAX_COUNT
from gaproute.units import SECOND

MAX_CAMPAIGNS = 32  # concurrent campaigns; each adds a row for each host in every gateway
MAX_STEPS = 1_000_000
MAX_ROLLOUTS = 10_000_000  # in a step; keeps counters and forecasts small numbers

# Minimum and maximum of each number of a campaign.
VALUE_RANGES = {
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
    """One line for each mistake, with the campaign, the key and the reason; empty if all campaigns can run.

    `functions`: the names of the known functions.
    """
    mistakes = []
    if len(campaigns) > MAX_CAMPAIGNS:
        mistakes.append(f"campaigns: {len(campaigns)} are given, at most {MAX_CAMPAIGNS} are allowed")
    names = [campaign.name for campaign in campaigns]
    for campaign in campaigns:
        texts = (
            [f"name: {campaign.name} is the name of several campaigns"]
            if names.count(campaign.name) > 1
            else []
        )
        texts += [*_invalid_values(campaign), *_unknown_names(campaign, hosts, functions)]
        texts = texts or list(_infeasible_demands(campaign, campaigns, hosts))
        mistakes += [f"campaign {campaign.name}: {text}" for text in texts]
    return mistakes


def _invalid_values(campaign: Campaign) -> Iterator[str]:
    for key, (least, most) in VALUE_RANGES.items():
        value = getattr(campaign, key)
        if not least <= value <= most:
            yield f"{key}: {value} is not between {least} and {most}"
    if campaign.deadline and campaign.rate:
        yield "rate: cannot be combined with deadline, since each implies the other"
    if campaign.group_size > 0 and campaign.rollouts_per_step % campaign.group_size:
        yield (
            f"group_size: {campaign.group_size} does not divide"
            f" rollouts_per_step {campaign.rollouts_per_step}"
        )
    if campaign.typical_duration > campaign.max_duration:
        yield "typical_duration: must not be longer than max_duration"
    if campaign.lease_duration > MAX_LEASE_DURATION:
        yield (
            f"max_duration: a lease of {campaign.lease_duration / 1e9:.0f} s is needed, "
            f"but the longest allowed is {MAX_LEASE_DURATION / 1e9:.0f} s"
        )
    for name, lanes in campaign.reserved_lanes.items():
        if lanes < 0:
            yield f"reserved_lanes: {name} has {lanes} lanes, which is below 0"


def _unknown_names(
    campaign: Campaign, hosts: Sequence[RolloutHost], functions: Collection[str]
) -> Iterator[str]:
    if campaign.function not in functions:
        yield f"function: {campaign.function} is not a known function"
    known = {host.name for host in hosts} | {host.zone for host in hosts}
    for name in campaign.reserved_lanes:
        if name not in known:
            yield f"reserved_lanes: {name} is neither a known host nor a known zone"


def max_rate(campaign: Campaign, campaigns: Sequence[Campaign], hosts: Sequence[RolloutHost]) -> float:
    """Rollouts a second if the campaign alone had all lendable lanes of the hosts where a copy fits."""
    lanes = lendable_lanes(hosts, strictest_reservations(campaigns))
    usable = sum(lanes[host.name] for host in hosts if host.copy_capacity >= campaign.copy_size)
    return usable * SECOND / campaign.typical_duration


def _infeasible_demands(
    campaign: Campaign, campaigns: Sequence[Campaign], hosts: Sequence[RolloutHost]
) -> Iterator[str]:
    """Requirements that the hosts cannot meet even without any production demand."""
    for name, lanes in campaign.reserved_lanes.items():
        existing = sum(host.lanes for host in hosts if name in (host.name, host.zone))
        if lanes > existing:
            yield f"reserved_lanes: {lanes} lanes of {name} are reserved, but only {existing} exist"
    largest = max((host.copy_capacity for host in hosts), default=0)
    if campaign.copy_size > largest:
        yield f"copy_size: a copy of {campaign.copy_size} fits on no host, the largest that fits is {largest}"
        return
    rate = max_rate(campaign, campaigns, hosts)
    rollouts = campaign.rollouts_per_step * campaign.steps
    if not rate:
        reserved = sorted(strictest_reservations(campaigns).items())
        listed = ", ".join(f"{name} {lanes}" for name, lanes in reserved)
        yield f"reserved_lanes: no lanes may be lent where a copy fits; reserve less than {listed} there"
    elif campaign.rate > rate:
        yield f"rate: {campaign.rate:g} rollouts a second exceed the highest possible rate, {rate:.1f}"
    elif campaign.deadline and rollouts * SECOND > rate * campaign.deadline:
        possible_per_step = int(rate * campaign.deadline / SECOND / campaign.steps)
        yield (
            f"deadline: {rollouts} rollouts in {campaign.deadline / 1e9:.0f} s are impossible; "
            f"{rollouts / rate:.0f} s or {possible_per_step} rollouts a step are possible"
        )
