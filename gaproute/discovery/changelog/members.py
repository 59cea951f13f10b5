"""Members of the change log as endpoints; never touches a socket."""

import math
import time
from typing import Any

import msgspec

from gaproute.discovery.changelog.start_times import StartTimes
from gaproute.hosts.endpoints import Endpoint
from gaproute.interface import ListedHost, State
from gaproute.loop.streams import address

MILLI = 1_000_000
STATES = {"Ready": State.ACTIVE, "Terminating": State.DRAINING, "Gone": State.GONE}


class Member(msgspec.Struct):
    id: str
    host_port: str
    phase: str
    locality: str | int = ""
    cell: int | str = 0
    size: float | None = 1.0
    up_since_ms: float | None = 0


class MemberName(msgspec.Struct):
    id: str


class MemberState(msgspec.Struct):
    id: str
    phase: Any = None


# a number may come as a string
_member = msgspec.json.Decoder(Member, strict=False).decode
_name = msgspec.json.Decoder(MemberName).decode
_state = msgspec.json.Decoder(MemberState).decode


def decode_member(raw):
    """A member of a list. Errors: ValueError, RecursionError."""
    return _member(raw)


def decode_member_state(raw):
    """(name, phase) of a member that may not be readable otherwise. Errors: ValueError, RecursionError."""
    standing = _state(raw)
    return standing.id, standing.phase


def canonical_member(raw):
    try:
        return msgspec.json.encode(_member(raw))
    except (ValueError, RecursionError):
        return bytes(raw)


class MemberConverter:
    """Members as rows. Zones and cells that are not numbers are numbered as they are first named.

    Start times come by the wall clock and leave by the loop's (`StartTimes`); each is converted once, so that
    a wall clock that is set does not look like a restart. A member that cannot be read leaves its host as it
    was: a whole list must not lose it. What is kept of a host goes with it.
    """

    def __init__(self, loop, zones, wall=time.time_ns):
        self.start_times = StartTimes(loop, wall)
        self.zones = {name: number for number, name in enumerate(zones)}
        self.cells, self.rejected = {}, 0
        self.hosts = {}  # id: (its start as it was told, its row)

    def endpoints(self, fleet, absent_at=None):
        """`absent_at`: when the list was last known before this news, by the loop's clock; None: never."""
        read = [self.read(raw, absent_at) for raw in fleet.members]
        rows = [row for row in read if row is not None]
        if fleet.complete:
            self.hosts = {
                row.listed.host: self.hosts[row.listed.host] for row in rows if row.listed.host in self.hosts
            }
        return rows

    def read(self, raw, absent_at):
        try:
            return self.row(_member(raw), absent_at)
        except (ValueError, KeyError, RecursionError):  # msgspec's are a ValueError
            self.rejected += 1
        try:
            return self.hosts[_name(raw).id][1]
        except (ValueError, KeyError, RecursionError):
            return None

    def row(self, member, absent_at):
        address(member.host_port)
        state = STATES[member.phase]
        zone = self.zones.setdefault(member.locality, len(self.zones))
        cell = (
            member.cell
            if isinstance(member.cell, int)
            else self.cells.setdefault(member.cell, len(self.cells))
        )
        size = member.size if 0 < (member.size or 0) < math.inf else 1.0
        told = int(member.up_since_ms) if 0 < (member.up_since_ms or 0) < math.inf else 0
        started = self.started(member.id, told, absent_at)
        row = Endpoint(ListedHost(member.id, zone, cell, state, size, started), member.host_port)
        self.hosts[member.id] = told, row
        if state is State.GONE:
            del self.hosts[member.id]
        return row

    def started(self, name, told, absent_at):
        if told == 0:
            return None
        known = self.hosts.get(name)
        if known is not None and known[0] == told:
            return known[1].listed.started
        if known is not None and known[0] == 0:  # it was there before, its start is only told now
            absent_at = None
        return self.start_times.convert(told * MILLI, absent_at)
