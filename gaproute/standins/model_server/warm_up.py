"""What a host that has just started can do, and the overload that brings it down meanwhile."""

from __future__ import annotations

from typing import NamedTuple

from gaproute.standins.model_server.profiles import HostProfile


class RecentWork(NamedTuple):
    """A request that came lately."""

    at: int
    work: int  # mean core time of its model, ns


class WarmUp:
    """The power of a host grows from `cold_share` to 1 in `cold_time` after its start."""

    def __init__(self, profile: HostProfile, started_at: int) -> None:
        self.profile, self.started_at = profile, started_at
        self._recent: list[RecentWork] = []  # of the last `tip`, while the host warms up

    def is_over(self, now: int) -> bool:
        """Whether the host has its full power."""
        return now >= self.started_at + self.profile.cold_time

    def power(self, now: int) -> float:
        """Share of its cores' speed that the host has."""
        if self.is_over(now):
            return 1.0
        profile = self.profile
        return profile.cold_share + (1 - profile.cold_share) * (now - self.started_at) / profile.cold_time

    def overloaded_by(self, now: int, work: int) -> bool:
        """Counts a request that comes; whether within `tip` more came than `fall_multiple` times what the
        host can do, so that it fails."""
        if self.is_over(now):
            return False
        profile = self.profile
        self._recent = [each for each in self._recent if each.at > now - profile.tip]
        self._recent.append(RecentWork(now, work))
        capacity = profile.cores * profile.speed * self.power(now) * profile.tip
        return sum(each.work for each in self._recent) > profile.fall_multiple * capacity
