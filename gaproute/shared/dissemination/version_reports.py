"""The versions that other gateways announced to this one, and when.

The reports are a sample: at most `MAX_REPORTERS` gateways that happened to announce to this one within the
last seconds. If all of them have a version, the whole fleet probably has it; that is no proof, as nothing is
known about a gateway that is cut off or that announced to other gateways only. Announcements are not
verified. Times are ns.
"""

from dataclasses import dataclass
from typing import NamedTuple

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import MAX_REPORT_AGE, MAX_REPORTED_VERSIONS, MAX_REPORTERS


@dataclass(frozen=True)
class Propagation:
    """How far one version has spread.

    `reporters`: number of gateways whose last announcement counts, of versions from `oldest` to `newest`.
    `behind`: number of those that announced an older version than the one in question. `agreed_for`: for how
    long all announcements have been of that version or a newer one, ns; None if there was no such
    announcement, or while the announcement of a gateway that is behind still counts.
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


class AnnouncementTimes(NamedTuple):
    """When a version was first and last announced to this gateway."""

    first: int
    last: int


class VersionReports:
    """The last announcement of each gateway, and when each version was announced."""

    def __init__(self) -> None:
        self.reports: dict[str, Report] = {}  # by name; the latest announcement is the last
        self.announcement_times: dict[Version, AnnouncementTimes] = {}

    def record(self, now: int, name: str, version: Version) -> None:
        """Records that the gateway with this name announced the version now."""
        self.reports.pop(name, None)
        self.reports[name] = Report(version, now)
        if len(self.reports) > MAX_REPORTERS:
            del self.reports[next(iter(self.reports))]
        known = self.announcement_times.get(version)
        self.announcement_times[version] = AnnouncementTimes(now if known is None else known.first, now)
        if len(self.announcement_times) > MAX_REPORTED_VERSIONS:
            del self.announcement_times[min(self.announcement_times)]

    def propagation(self, now: int, version: Version) -> Propagation:
        """How far the version has spread, as far as this gateway knows."""
        reports = self.reports.values()
        current = [report.version for report in reports if now - report.received_at <= MAX_REPORT_AGE]
        behind = sum(each < version for each in current)
        agreed_since = None if behind else self._agreed_since(version)
        agreed_for = None if agreed_since is None else now - agreed_since
        oldest, newest = min(current, default=None), max(current, default=None)
        return Propagation(len(current), behind, oldest, newest, agreed_for)

    def _agreed_since(self, version: Version) -> int | None:
        reached = [times.first for other, times in self.announcement_times.items() if other >= version]
        if not reached:
            return None
        below = [times.last for other, times in self.announcement_times.items() if other < version]
        return max([min(reached), *below])
