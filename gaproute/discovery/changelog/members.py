"""Members of the change log as endpoints."""

import time
from collections.abc import Callable, Iterable

import msgspec

from gaproute.discovery.changelog.events import FleetUpdate
from gaproute.discovery.changelog.member_records import (
    DECODING_ERRORS,
    STATES,
    MemberRecord,
    capacity_of,
    decode_member,
    decode_member_name,
    reported_start_of,
)
from gaproute.discovery.changelog.start_times import StartTimes
from gaproute.hosts.endpoints import Endpoint
from gaproute.interface import ListedHost, State
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address


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
            return self.hosts.get(decode_member_name(raw).id)
        except DECODING_ERRORS:
            return None

    def _convert(self, member: MemberRecord, absent_at: int | None) -> Endpoint:
        """Errors: ValueError, KeyError."""
        parse_address(member.host_port)
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
