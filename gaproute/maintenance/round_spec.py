"""The description of a maintenance round by an operator, and the hosts that it selects."""

from collections.abc import Mapping
from typing import Annotated

import msgspec
from msgspec import Meta

from gaproute.units import SECOND

MAX_HOSTS = 4096  # of one round; a fleet lists at most as many
MAX_NAME_LENGTH = 128  # characters; the same limit as for a leased resource
MAX_DURATION = 24 * 3600 * SECOND  # of one host's absence, or of a whole round
FAILURE_LEVELS = ("", "host", "rack", "zone")  # from the weakest to the strictest
GROUPING_LEVELS = ("", "rack", "zone")

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
PerMille = Annotated[int, Meta(ge=0, le=10_000)]
Duration = Annotated[int, Meta(ge=1, le=MAX_DURATION)]


class MaintenanceHost(msgspec.Struct, frozen=True):
    """One host as the host list describes it.

    `lanes`: number of requests that the host runs at once; `slots`: number of functions that it holds loaded.
    """

    name: str
    zone: str
    rack: str
    kind: str
    lanes: int
    slots: int


Fleet = Mapping[str, MaintenanceHost]  # hosts by name, in the order of the host list

# Keys of the operator's description that differ from the field names.
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
    """The hosts that a maintenance round takes out of service, and the limits that it keeps. Times are in ns.

    `hosts` names the hosts one by one, or the round selects all hosts of one `kind`, `zone` or `rack`; where
    several of these three are given, a host has to match all of them.

    `max_absence`: the longest time that one host is away.
    `max_away`: the most hosts that are away at once.
    `deadline`: the time from the start of the round by which all hosts are back.
    `exclusive_groups`: groups of hosts; at most one host of each group is away at a time.
    `one_away_per`: "rack" or "zone": at most one host of each rack or zone is away at a time; "" sets no
    such limit.
    `margin`: warm lanes required above the peak demand of each function, per mille of the peak demand.
    `zone_share`: per mille of an even share of the peak demand that each zone must be able to serve alone.
    `survivable_failure`: "host", "rack" or "zone": the capacity must suffice even if any one of these fails;
    "" assumes no failure.
    `functions`: the functions that the floor considers; if empty, all functions with demand.
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
