"""Start times of hosts: reported by the wall clock, used by the loop's monotonic clock."""

from collections.abc import Callable, Collection
from typing import NamedTuple

from gaproute.loop import Loop


class HostStart(NamedTuple):
    """When a host started: ns since 1970 as reported, and by the loop's clock."""

    reported: int | None  # None where it is not
    converted: int | None


NO_START = HostStart(None, None)


class StartTimes:
    """Converts start times so that a wall clock that is set cannot make a young host old.

    Two bounds hold beside the wall clock. A start that was not in the list yet when that was last known is no
    earlier than then, which needs no wall clock at all. And the lowest offset between the two clocks that was
    seen since the gateway began counts: a step can only make a host younger. So a wrong clock costs a warm
    host at most its time of slow start; at the first list, of which nothing earlier is known, a clock that is
    ahead is believed.

    The start of a host is converted once, so that a wall clock that is set does not look like a restart.
    """

    def __init__(self, loop: Loop, wall_clock: Callable[[], int]) -> None:
        """`wall`: ns since 1970."""
        self.loop, self.wall_clock = loop, wall_clock
        self.clock_offset: int = wall_clock() - loop.now()  # the lowest seen, ns
        self.starts_by_host: dict[str, HostStart] = {}

    def start_of(self, host: str, reported: int | None, last_absent_at: int | None) -> int | None:
        """When a listed host started, by the loop's clock; None where that is not reported.

        `reported`: ns since 1970. `last_absent_at`: when the list was last known before
        this news, by the loop's clock; None where it was never known.
        """
        known = self.starts_by_host.get(host)
        if reported is None:
            self.starts_by_host[host] = NO_START
            return None
        if known is not None and known.reported == reported:
            return known.converted
        if known is NO_START:  # the host was there before, its start is only reported now
            last_absent_at = None
        converted = self.convert(reported, last_absent_at)
        self.starts_by_host[host] = HostStart(reported, converted)
        return converted

    def reported_start(self, host: str) -> int | None:
        """The host's start as it was reported, ns since 1970; None where it was not."""
        known = self.starts_by_host.get(host)
        return None if known is None else known.reported

    def retain(self, hosts: Collection[str]) -> None:
        """Forget all hosts but these."""
        self.starts_by_host = {host: start for host, start in self.starts_by_host.items() if host in hosts}

    def forget(self, host: str) -> None:
        """Forget a host that is gone."""
        self.starts_by_host.pop(host, None)

    def convert(self, reported: int, last_absent_at: int | None) -> int:
        """When a host started, by the loop's clock; one in the future started just now.

        `reported`: ns since 1970. `last_absent_at`: when the list was last known to be without this start, by the
        loop's clock; None where it was never known before, or the host was in it with no start reported.
        """
        now: int = self.loop.now()
        self.clock_offset = min(self.clock_offset, self.wall_clock() - now)
        started = reported - self.clock_offset
        if last_absent_at is not None:
            started = max(started, last_absent_at)
        return min(started, now)
