"""Members of the change log as endpoints."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, Any

import msgspec

from gaproute.discovery.changelog.start_times import StartTimes
from gaproute.hosts.endpoints import Endpoint
from gaproute.interface import ListedHost, State
from gaproute.loop import Loop
from gaproute.loop.addresses import address

if TYPE_CHECKING:
    from gaproute.discovery.changelog.events import FleetUpdate

MILLI = 1_000_000
STATES = {"Ready": State.ACTIVE, "Terminating": State.DRAINING, "Gone": State.GONE}
DEFAULT_CAPACITY = 1.0  # of a host whose size makes no sense


class Member(msgspec.Struct):
    """A member of a list as the log has it; the fields' names are those on the wire."""

    id: str
    host_port: str
    phase: str
    locality: str | int = ""
    cell: int | str = 0
    size: float | None = 1.0
    up_since_ms: float | None = 0


class MemberName(msgspec.Struct):
    """What is read of a member that cannot be read as a whole."""

    id: str


class MemberState(msgspec.Struct):
    """The part of a member that says whether its host is there."""

    id: str
    phase: Any = None


decode_member = msgspec.json.Decoder(Member, strict=False).decode  # a number may come as a string
_decode_name = msgspec.json.Decoder(MemberName).decode
_decode_state = msgspec.json.Decoder(MemberState).decode

# What decoding a member may raise; msgspec's own are a ValueError.
DECODING_ERRORS = (ValueError, RecursionError)


def decode_member_state(raw: msgspec.Raw) -> tuple[str, Any]:
    """(name, phase) of a member that may not be readable otherwise. Errors: `DECODING_ERRORS`."""
    state = _decode_state(raw)
    return state.id, state.phase


def canonical_member(raw: msgspec.Raw) -> bytes:
    """The same bytes for the same member however it is written; one that cannot be read as it came."""
    try:
        return msgspec.json.encode(decode_member(raw))
    except DECODING_ERRORS:
        return bytes(raw)


def capacity_of(member: Member) -> float:
    """The member's size, where it is a capacity."""
    size = member.size
    return size if size is not None and 0 < size < math.inf else DEFAULT_CAPACITY


def reported_start_of(member: Member) -> int | None:
    """The member's start, ns since 1970, to the millisecond; None where it makes no sense."""
    start = member.up_since_ms
    return int(start) * MILLI or None if start is not None and 0 < start < math.inf else None


class MemberConverter:
    """Makes members endpoints. Zones and cells that are not numbers are numbered as they are first named.

    A member that cannot be read leaves its host as it was: a whole list must not lose it. What is known of a
    host goes with it.
    """

    def __init__(self, loop: Loop, zones: Iterable[str], wall: Callable[[], int] = time.time_ns) -> None:
        """`zones`: the first ones, in the order of their numbers."""
        self.start_times = StartTimes(loop, wall)
        self.zones: dict[str | int, int] = {name: number for number, name in enumerate(zones)}
        self.cells: dict[str, int] = {}
        self.rejected = 0  # members that could not be read
        self.hosts: dict[str, Endpoint] = {}  # by id

    def endpoints(self, update: FleetUpdate, absent_at: int | None = None) -> list[Endpoint]:
        """The members of an event as endpoints.

        `absent_at`: when the list was last known before this news, by the loop's clock; None: never.
        """
        converted = [self._convert_or_known(raw, absent_at) for raw in update.members]
        endpoints = [endpoint for endpoint in converted if endpoint is not None]
        if update.complete:
            named = {endpoint.listed.host for endpoint in endpoints}
            self.hosts = {host: endpoint for host, endpoint in self.hosts.items() if host in named}
            self.start_times.retain(self.hosts)
        return endpoints

    def _convert_or_known(self, raw: msgspec.Raw, absent_at: int | None) -> Endpoint | None:
        try:
            return self._convert(decode_member(raw), absent_at)
        except (*DECODING_ERRORS, KeyError):
            self.rejected += 1
        try:
            return self.hosts.get(_decode_name(raw).id)
        except DECODING_ERRORS:
            return None

    def _convert(self, member: Member, absent_at: int | None) -> Endpoint:
        """Errors: ValueError, KeyError."""
        address(member.host_port)
        state = STATES[member.phase]
        zone = self.zones.setdefault(member.locality, len(self.zones))
        cell = member.cell
        if isinstance(cell, str):
            cell = self.cells.setdefault(cell, len(self.cells))
        started = self.start_times.start_of(member.id, reported_start_of(member), absent_at)
        listed = ListedHost(member.id, zone, cell, state, capacity_of(member), started)
        endpoint = Endpoint(listed, member.host_port)
        if state is State.GONE:
            self.hosts.pop(member.id, None)
            self.start_times.forget(member.id)
        else:
            self.hosts[member.id] = endpoint
        return endpoint
