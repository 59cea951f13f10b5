"""Converts start times of hosts from the wall clock to the loop's monotonic clock."""

from collections.abc import Callable, Collection
from typing import NamedTuple

from gaproute.loop import Loop


class HostStart(NamedTuple):
    """When a host started: as reported, in ns since 1970, and converted, in ns of the loop's clock."""

    reported: int | None  # None if no start is reported
    converted: int | None


NO_START = HostStart(None, None)


class StartTimes:
    """Converts start times so that a step of the wall clock cannot make a new host seem old.

    Two bounds protect the conversion. First, a host that was absent when the list was last known to be
    current did not start before that time; this bound does not depend on the wall clock. Second, the
    conversion uses the lowest offset between the two clocks since the start of the gateway, so a step of the
    wall clock can only make a host seem younger. A wrong wall clock therefore costs a warm host at most one
    slow start. The first list has no earlier list to bound it, so there a wall clock that is ahead makes
    hosts seem too old.

    Each start is converted once, so that a step of the wall clock does not look like a restart of the host.
    """

    def __init__(self, loop: Loop, wall_clock: Callable[[], int]) -> None:
        """`wall_clock()`: ns since 1970."""
        self.loop, self.wall_clock = loop, wall_clock
        self.clock_offset: int = wall_clock() - loop.now()  # lowest offset seen, ns
        self.starts_by_host: dict[str, HostStart] = {}

    def start_of(self, host: str, reported: int | None, last_absent_at: int | None) -> int | None:
        """When a listed host started, ns of the loop's clock; None if no start is reported.

        `reported`: ns since 1970. `last_absent_at`: when the list was last known to be current before this
        update, ns of the loop's clock; None if it never was.
        """
        known = self.starts_by_host.get(host)
        if reported is None:
            self.starts_by_host[host] = NO_START
            return None
        if known is not None and known.reported == reported:
            return known.converted
        if known is NO_START:  # the host was already listed, without a start
            last_absent_at = None
        converted = self.convert(reported, last_absent_at)
        self.starts_by_host[host] = HostStart(reported, converted)
        return converted

    def reported_start(self, host: str) -> int | None:
        """The reported start of the host, ns since 1970; None if none was reported."""
        known = self.starts_by_host.get(host)
        return None if known is None else known.reported

    def retain(self, hosts: Collection[str]) -> None:
        """Deletes the start times of all hosts but these."""
        self.starts_by_host = {host: start for host, start in self.starts_by_host.items() if host in hosts}

    def forget(self, host: str) -> None:
        """Deletes the start time of a host that is gone."""
        self.starts_by_host.pop(host, None)

    def convert(self, reported: int, last_absent_at: int | None) -> int:
        """Converts a start to ns of the loop's clock; a start in the future becomes the present time.

        `reported`: ns since 1970. `last_absent_at`: when the list was last known not to have this start, ns
        of the loop's clock; None if no earlier list is known or if it had the host without a start.
        """
        now: int = self.loop.now()
        self.clock_offset = min(self.clock_offset, self.wall_clock() - now)
        started = reported - self.clock_offset
        if last_absent_at is not None:
            started = max(started, last_absent_at)
        return min(started, now)
