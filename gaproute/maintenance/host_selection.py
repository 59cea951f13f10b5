"""Which hosts are taken out next.

The choice is greedy. First comes the host whose exclusive group has the most hosts still to go, as that group
decides when the round ends; then the one with the most lanes, as it is the hardest to do without. Hosts
that may not go now are passed over. `benchmarks/rounds.py` compares this to the best of all orders.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from gaproute.maintenance.capacity_floor import FleetCapacity, describe_first_shortfall, find_shortfalls
from gaproute.maintenance.round_spec import Fleet, RoundSpec

HostOrdering = Callable[
    [RoundSpec, Fleet, Sequence[str]], list[str]
]  # of waiting hosts: those to try, in order


class ExclusiveGroup(NamedTuple):
    """Hosts of which one at a time may be away: a list of the round, or all of one rack or zone."""

    kind: str
    identifier: int | str


@dataclass(frozen=True)
class RoundHosts:
    """Names of the round's hosts, those to go and those away; `unavailable`: any that do not answer."""

    waiting: Sequence[str]
    away: Collection[str]
    unavailable: Collection[str] = ()


class BlockedHost(NamedTuple):
    """A host that may not be taken out now, and why."""

    name: str
    reason: str


class Selection(NamedTuple):
    """The hosts that may be taken out now, and the first of the others."""

    hosts: list[str]
    first_blocked: BlockedHost | None


HostSelector = Callable[[RoundSpec, FleetCapacity, RoundHosts], Selection]


def exclusive_groups(spec: RoundSpec, fleet: Fleet, name: str) -> list[ExclusiveGroup]:
    """The exclusive groups that the host is in."""
    groups = [
        ExclusiveGroup("listed", number)
        for number, members in enumerate(spec.exclusive_groups)
        if name in members
    ]
    if spec.one_away_per:
        groups.append(ExclusiveGroup(spec.one_away_per, getattr(fleet[name], spec.one_away_per)))
    return groups


def find_conflict(
    spec: RoundSpec, fleet: Fleet, name: str, away: Collection[str], unavailable: Collection[str] = ()
) -> str:
    """Which limit of the round, the capacity aside, forbids to take this host out now; "" if none does."""
    if len(away) >= spec.max_away:
        return f"together: {len(away)} are away"
    own_groups = exclusive_groups(spec, fleet, name)
    for other in (*away, *unavailable) if own_groups else ():
        for group in exclusive_groups(spec, fleet, other):
            if other != name and group in own_groups:
                return f"apart: {name} and {other}"
    return ""


def order_by_urgency(spec: RoundSpec, fleet: Fleet, waiting: Sequence[str]) -> list[str]:
    """The waiting hosts, the most urgent first."""
    groups = {name: exclusive_groups(spec, fleet, name) for name in waiting}
    sizes: dict[ExclusiveGroup, int] = {}
    for memberships in groups.values():
        for group in memberships:
            sizes[group] = sizes.get(group, 0) + 1

    def urgency(name: str) -> tuple[int, int, str]:
        largest = max((sizes[group] for group in groups[name]), default=0)
        return -largest, -fleet[name].lanes, name

    return sorted(waiting, key=urgency)


def select_hosts(
    spec: RoundSpec, capacity: FleetCapacity, hosts: RoundHosts, ordering: HostOrdering = order_by_urgency
) -> Selection:
    """Those of the waiting hosts that may be taken out now, together with those away."""
    selected: list[str] = []
    first_blocked = None
    away = list(hosts.away)
    for name in ordering(spec, capacity.fleet, hosts.waiting):
        reason = find_conflict(spec, capacity.fleet, name, away, hosts.unavailable)
        if not reason:
            shortfalls = find_shortfalls(capacity, spec.survivable_failure, (*away, name))
            reason = describe_first_shortfall(shortfalls) if shortfalls else ""
        if not reason:
            selected.append(name)
            away.append(name)
        elif first_blocked is None:
            first_blocked = BlockedHost(name, reason)
    return Selection(selected, first_blocked)
