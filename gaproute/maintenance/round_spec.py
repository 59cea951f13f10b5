"""A round of maintenance as it is asked for, the fleet it is asked of, and what is wrong with it."""

from typing import Annotated

import msgspec
from msgspec import Meta

SECOND = 1_000_000_000

HOSTS = 4096  # of one round: as many as a fleet may list
NAME = 128  # characters of a name, as in permits
LONGEST = 24 * 3600 * SECOND  # a host out, or a whole round: a day; more is two rounds
LEVELS = ("", "host", "rack", "zone")

Name = Annotated[str, Meta(min_length=1, max_length=NAME)]
Mille = Annotated[int, Meta(ge=0, le=10_000)]
Span = Annotated[int, Meta(ge=1, le=LONGEST)]


class MaintenanceHost(msgspec.Struct, frozen=True):
    """One host as listed. `lanes`: tasks at once; `slots`: copies that it holds at once."""

    name: str
    zone: str
    rack: str
    kind: str
    lanes: int
    slots: int


class RoundSpec(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """`hosts`, or all of one `kind`, `zone` or `rack` (where two are given: of both). `out`: ns that one host
    is away at most; `together`: away at once at most; `by`: ns after its beginning by which all are back.
    `apart`: lists of hosts of which one at a time is away; `one_per`: "rack" or "zone", of each of which one
    host at a time is away. The floor of a function: its peak told and `margin` per mille more, in the fleet;
    `zones` per mille of an even share of that in each zone. `survive`: "host", "rack" or "zone": the floor
    must still be kept when any one of these fails now; "": nothing is looked ahead for."""

    name: Name
    hosts: Annotated[tuple[Name, ...], Meta(max_length=HOSTS)] = ()
    kind: Annotated[str, Meta(max_length=NAME)] = ""
    zone: Annotated[str, Meta(max_length=NAME)] = ""
    rack: Annotated[str, Meta(max_length=NAME)] = ""
    out: Span
    together: Annotated[int, Meta(ge=1, le=HOSTS)] = 1
    by: Span
    apart: Annotated[tuple[tuple[Name, ...], ...], Meta(max_length=64)] = ()
    one_per: str = ""
    margin: Mille = 250
    zones: Mille = 0
    survive: str = "host"
    functions: Annotated[tuple[Name, ...], Meta(max_length=HOSTS)] = ()  # () : all that production wants


def named(asked, fleet):
    """The hosts of the round, in the order in which the fleet lists them.

    `fleet`: {name: MaintenanceHost}.
    """
    if asked.hosts:
        wanted = dict.fromkeys(asked.hosts)
        return [host for host in fleet.values() if host.name in wanted]
    if not (asked.kind or asked.zone or asked.rack):
        return []
    return [
        host
        for host in fleet.values()
        if asked.kind in ("", host.kind) and asked.zone in ("", host.zone) and asked.rack in ("", host.rack)
    ]


def mistakes(asked, fleet, demand):
    """All that is wrong with the round by itself, one text each. `demand`: {function: lanes at its peak}."""
    came, chosen = [], named(asked, fleet)
    by_group = [word for word in ("kind", "zone", "rack") if getattr(asked, word)]
    if asked.hosts and by_group:
        came.append(f"hosts: named one by one and by {by_group[0]}")
    if not asked.hosts and not by_group:
        came.append("hosts: none are named")
    for word in ("kind", "zone", "rack"):
        value = getattr(asked, word)
        if value and all(getattr(host, word) != value for host in fleet.values()):
            came.append(f"{word}: no host is of {word} {value}")
    came += [f"hosts: {name} is not listed" for name in asked.hosts if name not in fleet]
    came += [
        f"hosts: {name} is named twice" for name in dict.fromkeys(asked.hosts) if asked.hosts.count(name) > 1
    ]
    if by_group and not asked.hosts and not chosen and not came:
        came.append(f"hosts: none is of all of {', '.join(by_group)}")
    for number, group in enumerate(asked.apart, 1):
        came += [f"apart: {name} in list {number} is not listed" for name in group if name not in fleet]
        if len(dict.fromkeys(group)) < 2:
            came.append(f"apart: list {number} names fewer than two hosts")
    if asked.one_per not in ("", "rack", "zone"):
        came.append(f"one_per: {asked.one_per} is neither rack nor zone")
    if asked.survive not in LEVELS:
        came.append(f"survive: {asked.survive} is none of host, rack, zone")
    if chosen and asked.together > len(chosen):
        came.append(f"together: {asked.together} of {len(chosen)} hosts")
    turns = -(-len(chosen) // asked.together)
    if turns * asked.out > asked.by:
        came.append(
            f"by: {len(chosen)} hosts, {asked.together} at a time, are away for"
            f" {turns * asked.out / SECOND:g} s together, by is {asked.by / SECOND:g} s"
        )
    if asked.zones and asked.zones > 1000 + asked.margin:
        came.append(f"zones: {asked.zones} per mille is more than the floor of the whole fleet")
    came += [f"functions: nobody asks for {name}" for name in asked.functions if name not in demand]
    return came
