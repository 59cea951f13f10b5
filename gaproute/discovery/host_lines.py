"""Converts lines of a host list to endpoints."""

import time
from collections.abc import Callable, Collection, Iterable

from gaproute.config.directives.fleet import HostLine
from gaproute.discovery.changelog.start_times import StartTimes
from gaproute.discovery.name_numbers import NameNumbers
from gaproute.hosts.endpoints import Endpoint
from gaproute.interface import ListedHost, ListedHostState
from gaproute.loop import Loop

STATES_BY_VALUE = {state.value: state for state in ListedHostState}
UNIFORM_CAPACITY = 1.0  # capacity of every host if the capacities in the lines are not used


class HostLineConverter:
    """Converts lines to endpoints. Zones and racks are numbered in the order in which they first occur.

    `StartTimes` converts the start times of hosts from the wall clock to the loop's clock and stores them by
    host.
    """

    def __init__(
        self, loop: Loop, wall_clock: Callable[[], int] = time.time_ns, *, use_capacities: bool = True
    ) -> None:
        """`wall_clock()`: ns since 1970."""
        self.start_times, self.use_capacities = StartTimes(loop, wall_clock), use_capacities
        self.zones, self.racks = NameNumbers(), NameNumbers()

    def endpoints(self, lines: Collection[HostLine], last_absent_at: int | None = None) -> list[Endpoint]:
        """Converts a complete list to endpoints.

        `last_absent_at`: when the previous list was last known to be current, ns of the loop's clock; None if
        this is the first list.
        """
        endpoints = [self.endpoint(line, line.zone, last_absent_at) for line in lines]
        self.retain(lines)
        return endpoints

    def retain(self, lines: Iterable[HostLine]) -> None:
        """Deletes the state of hosts and racks that no line names."""
        lines = list(lines)
        self.start_times.retain({line.name for line in lines})
        self.racks.retain(line.rack for line in lines)

    def endpoint(self, line: HostLine, zone_name: str, last_absent_at: int | None = None) -> Endpoint:
        """Converts one line of a host in zone `zone_name`. `last_absent_at`: as for `endpoints`."""
        zone, rack = self.zones.number(zone_name), self.racks.number(line.rack)
        capacity = line.capacity if self.use_capacities else UNIFORM_CAPACITY
        started = self.start_times.start_of(line.name, line.started, last_absent_at)
        listed = ListedHost(line.name, zone, rack, STATES_BY_VALUE[line.state], capacity, started)
        return Endpoint(listed, line.where)
