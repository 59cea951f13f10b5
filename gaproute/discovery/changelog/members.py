"""Converts the members in the change log to endpoints."""

import time
from collections.abc import Callable, Iterable

import msgspec

from gaproute.discovery.changelog.events import FleetUpdate
from gaproute.discovery.changelog.member_memory import (
    DEFAULT_MAX_LIST_BYTES,
    NAMES_DIVISOR,
    ListFullError,
    MemberMemory,
    MemberNameError,
    check_names,
)
from gaproute.discovery.changelog.member_records import (
    DECODING_ERRORS,
    STATES_BY_PHASE,
    MemberRecord,
    capacity_of,
    decode_member,
    decode_member_name,
    reported_start_of,
)
from gaproute.discovery.changelog.start_times import StartTimes
from gaproute.discovery.name_numbers import NameNumbers
from gaproute.hosts.endpoints import Endpoint
from gaproute.interface import ListedHost, ListedHostState
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address


class MemberConverter:
    """Converts members to endpoints. Zones and cell names get numbers in the order of first use.

    A cell that is reported as a number keeps that number.

    An invalid member leaves its host unchanged, so that a complete list does not remove the host. The state
    of a host is deleted when the host is removed.
    """

    def __init__(
        self,
        loop: Loop,
        zones: Iterable[str],
        wall_clock: Callable[[], int] = time.time_ns,
        *,
        list_bytes: int = DEFAULT_MAX_LIST_BYTES,
    ) -> None:
        """`zones`: zone names that get the numbers from 0 on, in this order; `list_bytes`: for the list."""
        self.start_times = StartTimes(loop, wall_clock)
        self.zones, self.cells = NameNumbers(zones), NameNumbers()
        self.known_zone_count = len(self.zones.by_name)
        self.memory = MemberMemory(list_bytes)
        self.max_unused_names = list_bytes // NAMES_DIVISOR
        self.rejected_count = 0  # number of members so far that are invalid or beyond the memory
        self.endpoints_by_host: dict[str, Endpoint] = {}  # by the member's id

    def endpoints(self, update: FleetUpdate, last_absent_at: int | None = None) -> list[Endpoint]:
        """Converts the members of an event to endpoints.

        `last_absent_at`: when the list was last known to be current before this event, ns of the loop's
        clock; None if it never was.
        """
        if update.complete:
            self.memory.clear()
        converted = [self._convert_or_last_known(raw, last_absent_at) for raw in update.members]
        endpoints = [endpoint for endpoint in converted if endpoint is not None]
        if update.complete:
            listed_hosts = {endpoint.listed.host for endpoint in endpoints}
            self.endpoints_by_host = {
                host: endpoint for host, endpoint in self.endpoints_by_host.items() if host in listed_hosts
            }
            self.start_times.retain(self.endpoints_by_host)
        self._forget_unused_names()
        return endpoints

    def _forget_unused_names(self) -> None:
        max_names = self.known_zone_count + self.max_unused_names + len(self.endpoints_by_host)
        if len(self.zones.by_name) > max_names:
            used = {endpoint.listed.zone for endpoint in self.endpoints_by_host.values()}
            self.zones.retain_numbers(used.union(range(self.known_zone_count)))
        if len(self.cells.by_name) > max_names:
            self.cells.retain_numbers({endpoint.listed.cell for endpoint in self.endpoints_by_host.values()})

    def _convert_or_last_known(self, raw: msgspec.Raw, last_absent_at: int | None) -> Endpoint | None:
        try:
            return self._convert(decode_member(raw), last_absent_at)
        except ListFullError:
            self.rejected_count += 1
            return None
        except (*DECODING_ERRORS, KeyError, MemberNameError):
            self.rejected_count += 1
        try:
            return self.endpoints_by_host.get(decode_member_name(raw).id)
        except DECODING_ERRORS:
            return None

    def _convert(self, member: MemberRecord, last_absent_at: int | None) -> Endpoint:
        """Converts one member. Errors: ValueError, KeyError, MemberNameError, ListFullError."""
        check_names(member)
        parse_address(member.host_port)
        state = STATES_BY_PHASE[member.phase]
        if state is not ListedHostState.GONE:
            self.memory.add(member)
        zone = self.zones.number(member.locality)
        cell = member.cell
        if isinstance(cell, str):
            cell = self.cells.number(cell)
        started = self.start_times.start_of(member.id, reported_start_of(member), last_absent_at)
        listed = ListedHost(member.id, zone, cell, state, capacity_of(member), started)
        endpoint = Endpoint(listed, member.host_port)
        if state is ListedHostState.GONE:
            self.endpoints_by_host.pop(member.id, None)
            self.start_times.forget(member.id)
            self.memory.remove(member.id)
        else:
            self.endpoints_by_host[member.id] = endpoint
        return endpoint
