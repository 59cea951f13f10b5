"""Selects the hosts that are taken out of service next.

The selection is greedy. The first host is the one whose exclusive group has the most waiting hosts, because
that group determines when the round ends; among equals, the host with the most lanes is first, because its
capacity is the hardest to replace. Hosts that may not be taken out now are skipped. `benchmarks/rounds.py`
compares this order to the best of all orders.
"""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from gaproute.maintenance.capacity_floor import FleetCapacity, describe_first_shortfall, find_shortfalls
from gaproute.maintenance.round_spec import Fleet, RoundSpec

# Returns those of the waiting hosts that are to be tried, in their order.
HostOrdering = Callable[[RoundSpec, Fleet, Sequence[str]], list[str]]


class ExclusiveGroup(NamedTuple):
    """Hosts of which at most one may be away: a listed group of the round, or all hosts of a rack or zone.

    `kind`: "listed", "rack" or "zone"; `identifier`: position of the listed group, or name of the rack or
    zone.
    """

    kind: str
    identifier: int | str


@dataclass(frozen=True)
class RoundHosts:
    """Names of the round's hosts that wait to be taken out, and of those that are away.

    `unavailable`: names of hosts of the fleet that answer no probes.
    """

    waiting: Sequence[str]
    away: Collection[str]
    unavailable: Collection[str] = ()


class BlockedHost(NamedTuple):
    """A host that may not be taken out of service now, and the reason."""

    name: str
    reason: str


class Selection(NamedTuple):
    """The hosts that may be taken out of service now, and the first host that may not."""

    hosts: list[str]
    first_blocked: BlockedHost | None


HostSelector = Callable[[RoundSpec, FleetCapacity, RoundHosts], Selection]


def exclusive_groups(spec: RoundSpec, fleet: Fleet, name: str) -> list[ExclusiveGroup]:
    """The exclusive groups to which the host belongs."""
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
    """The limit of the round, apart from capacity, that forbids taking this host out now; "" if none does."""
    if len(away) >= spec.max_away:
        return f"together: already {len(away)} hosts are away"
    own_groups = exclusive_groups(spec, fleet, name)
    for other in (*away, *unavailable) if own_groups else ():
        for group in exclusive_groups(spec, fleet, other):
            if other != name and group in own_groups:
                return f"apart: only one host may be away of {name} and {other}"
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
    """The waiting hosts that may be taken out now, in addition to the hosts that are away."""
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
