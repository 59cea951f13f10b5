"""Validation of a round's description. Each mistake is reported by the key of the operator's description."""

from collections.abc import Iterator, Mapping, Sequence

from gaproute.maintenance.round_spec import (
    FAILURE_LEVELS,
    GROUPING_LEVELS,
    Fleet,
    MaintenanceHost,
    RoundSpec,
    selected_hosts,
)
from gaproute.units import SECOND

SELECTOR_KEYS = ("kind", "zone", "rack")  # keys that select hosts by a property


def find_mistakes(spec: RoundSpec, fleet: Fleet, demand: Mapping[str, int]) -> list[str]:
    """One message for each mistake of the round; an empty list if there is none.

    `demand`: lanes in use at the peak, by function.
    """
    selected = selected_hosts(spec, fleet)
    mistakes = list(_selection_mistakes(spec, fleet))
    selectors = [key for key in SELECTOR_KEYS if getattr(spec, key)]
    if selectors and not spec.hosts and not selected and not mistakes:
        mistakes.append(f"hosts: no host matches all of {', '.join(selectors)}")
    mistakes += _group_mistakes(spec, fleet)
    mistakes += _limit_mistakes(spec, selected)
    mistakes += [
        f"functions: no demand is reported for {name}" for name in spec.functions if name not in demand
    ]
    return mistakes


def _selection_mistakes(spec: RoundSpec, fleet: Fleet) -> Iterator[str]:
    selectors = [key for key in SELECTOR_KEYS if getattr(spec, key)]
    if spec.hosts and selectors:
        yield f"hosts: selected both by name and by {selectors[0]}"
    if not spec.hosts and not selectors:
        yield "hosts: the round selects no hosts; expected hosts, kind, zone or rack"
    for key in selectors:
        value = getattr(spec, key)
        if all(getattr(host, key) != value for host in fleet.values()):
            yield f"{key}: no listed host has the {key} {value}"
    for name in spec.hosts:
        if name not in fleet:
            yield f"hosts: {name} is not in the host list"
    for name in dict.fromkeys(spec.hosts):
        if spec.hosts.count(name) > 1:
            yield f"hosts: {name} is named twice"


def _group_mistakes(spec: RoundSpec, fleet: Fleet) -> Iterator[str]:
    for number, group in enumerate(spec.exclusive_groups, 1):
        for name in group:
            if name not in fleet:
                yield f"apart: {name} in group {number} is not in the host list"
        if len(set(group)) < 2:
            yield f"apart: group {number} names fewer than two hosts"
    if spec.one_away_per not in GROUPING_LEVELS:
        yield f"one_per: {spec.one_away_per} is neither rack nor zone"
    if spec.survivable_failure not in FAILURE_LEVELS:
        yield f"survive: {spec.survivable_failure} is none of host, rack, zone"


def _limit_mistakes(spec: RoundSpec, selected: Sequence[MaintenanceHost]) -> Iterator[str]:
    if selected and spec.max_away > len(selected):
        yield f"together: {spec.max_away} is more than the {len(selected)} hosts of the round"
    batches = -(-len(selected) // spec.max_away)
    if batches * spec.max_absence > spec.deadline:
        yield (
            f"by: {len(selected)} hosts, {spec.max_away} at a time, are away for"
            f" {batches * spec.max_absence / SECOND:g} s in all, the deadline is {spec.deadline / SECOND:g} s"
        )
    if spec.zone_share and spec.zone_share > 1000 + spec.margin:
        yield f"zones: {spec.zone_share} per mille exceeds the floor of the whole fleet"
