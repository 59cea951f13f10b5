"""A round of maintenance as an operator describes it, and the hosts that it concerns."""

from collections.abc import Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

from gaproute.units import SECOND

MAX_HOSTS = 4096  # of one round: as many as a fleet may list
MAX_NAME_LENGTH = 128  # characters, the same as of a leased resource
MAX_DURATION = 24 * 3600 * SECOND  # of one host's absence, or of a whole round
FAILURE_LEVELS = ("", "host", "rack", "zone")  # from the weakest to the strictest
GROUPING_LEVELS = ("", "rack", "zone")

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
PerMille = Annotated[int, Meta(ge=0, le=10_000)]
Duration = Annotated[int, Meta(ge=1, le=MAX_DURATION)]


class MaintenanceHost(msgspec.Struct, frozen=True):
    """One host as the host list describes it.

    `lanes`: how many requests it serves at once; `slots`: how many loaded functions it holds at once.
    """

    name: str
    zone: str
    rack: str
    kind: str
    lanes: int
    slots: int


Fleet = Mapping[str, MaintenanceHost]  # by name, in the order of the host list

# The keys of the operators' form, where they differ from the names here.
_KEYS = {
    "max_absence": "out",
    "max_away": "together",
    "deadline": "by",
    "exclusive_groups": "apart",
    "one_away_per": "one_per",
    "zone_share": "zones",
    "survivable_failure": "survive",
}


class RoundSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True, rename=_KEYS):
    """What a round of maintenance shall do, and which limits it keeps. Times are in ns.

    The hosts are named one by one in `hosts`, or are all of one `kind`, `zone` or `rack`; where two of these
    are given, a host has to match both.

    `max_absence`: how long one host is away at most.
    `max_away`: how many hosts are away at once at most.
    `deadline`: time from the beginning of the round until all hosts are back.
    `exclusive_groups`: of each group, one host at a time may be away.
    `one_away_per`: "rack" or "zone": of each of these, one host at a time may be away.
    `margin`: per mille of warm lanes that are required above the peak demand of each function.
    `zone_share`: per mille of an even share of the peak demand that each zone must serve by itself.
    `survivable_failure`: "host", "rack" or "zone": the capacity must suffice even when any one of these
    fails; "" requires nothing of the kind.
    `functions`: those that are considered; all that have demand if it is empty.
    """

    name: Name
    hosts: Annotated[tuple[Name, ...], Meta(max_length=MAX_HOSTS)] = ()
    kind: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""
    zone: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""
    rack: Annotated[str, Meta(max_length=MAX_NAME_LENGTH)] = ""
    max_absence: Duration
    max_away: Annotated[int, Meta(ge=1, le=MAX_HOSTS)] = 1
    deadline: Duration
    exclusive_groups: Annotated[tuple[tuple[Name, ...], ...], Meta(max_length=64)] = ()
    one_away_per: str = ""
    margin: PerMille = 250
    zone_share: PerMille = 0
    survivable_failure: str = "host"
    functions: Annotated[tuple[Name, ...], Meta(max_length=MAX_HOSTS)] = ()


def selected_hosts(spec: RoundSpec, fleet: Fleet) -> list[MaintenanceHost]:
    """The hosts of the round, in the order in which the fleet lists them."""
    if spec.hosts:
        wanted = set(spec.hosts)
        return [host for host in fleet.values() if host.name in wanted]
    if not (spec.kind or spec.zone or spec.rack):
        return []
    return [
        host
        for host in fleet.values()
        if spec.kind in ("", host.kind) and spec.zone in ("", host.zone) and spec.rack in ("", host.rack)
    ]
