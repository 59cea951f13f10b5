"""Which versions other gateways announced to have, and for how long.

This is a sample: the gateways that happened to announce to this one within the last seconds, at most
`MAX_REPORTERS`. That all of them have a version makes it likely, and does not prove, that all of the fleet
do; of a gateway that is cut off or that speaks with others only, it says nothing. Each is believed without a
check. Times are in ns.
"""

from dataclasses import dataclass
from typing import NamedTuple

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import MAX_REPORTED_VERSIONS, MAX_REPORTERS, REPORT_TIME


@dataclass(frozen=True)
class Propagation:
    """How far one version has come.

    `reporters` gateways announced within the last seconds, versions from `oldest` to `newest`; `behind` of
    them have less than the version asked about. `agreed_for`: the time in which each announcement was of that
    version or above; None where there was none, or while one who is behind still counts.
    """

    reporters: int
    behind: int
    oldest: Version | None
    newest: Version | None
    agreed_for: int | None


class Report(NamedTuple):
    """The last announcement of a gateway."""

    version: Version
    received_at: int


class AnnouncedTimes(NamedTuple):
    """When a version was announced first and last."""

    first: int
    last: int


class VersionReports:
    """The last announcement of each gateway, and when each version was announced."""

    def __init__(self) -> None:
        self.by_name: dict[str, Report] = {}  # the latest last
        self.times: dict[Version, AnnouncedTimes] = {}

    def record(self, now: int, name: str, version: Version) -> None:
        """That gateway announced that version."""
        self.by_name.pop(name, None)
        self.by_name[name] = Report(version, now)
        if len(self.by_name) > MAX_REPORTERS:
            del self.by_name[next(iter(self.by_name))]
        known = self.times.get(version)
        self.times[version] = AnnouncedTimes(now if known is None else known.first, now)
        if len(self.times) > MAX_REPORTED_VERSIONS:
            del self.times[min(self.times)]

    def propagation(self, now: int, version: Version) -> Propagation:
        """How far that version has come, as far as is known here."""
        reports = self.by_name.values()
        current = [report.version for report in reports if now - report.received_at <= REPORT_TIME]
        behind = sum(each < version for each in current)
        agreed_since = None if behind else self._agreed_since(version)
        agreed_for = None if agreed_since is None else now - agreed_since
        oldest, newest = min(current, default=None), max(current, default=None)
        return Propagation(len(current), behind, oldest, newest, agreed_for)

    def _agreed_since(self, version: Version) -> int | None:
        reached = [times.first for other, times in self.times.items() if other >= version]
        if not reached:
            return None
        below = [times.last for other, times in self.times.items() if other < version]
        return max([min(reached), *below])
