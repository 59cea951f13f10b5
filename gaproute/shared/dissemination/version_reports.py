"""Which versions other gateways said to hold, and for how long.

This is a sample: the gateways that happened to announce to this one within the last seconds, at most
`SIGHTINGS`. That all of them hold a version makes it likely, and does not prove, that all of the fleet do; of
a gateway that is cut off or that speaks with others only, it says nothing. Each is taken at its word.
"""

from dataclasses import dataclass

from gaproute.decisions.cells.table import Version
from gaproute.shared.dissemination.bounds import SIGHTING_TIME, SIGHTING_VERSIONS, SIGHTINGS


@dataclass(frozen=True)
class Propagation:
    """How far one version has come.

    `heard` gateways announced within the last seconds, versions from `oldest` to `newest`; `behind` of them
    hold less than the version asked about. `agreed_for`: nanoseconds in which each announcement was of that
    version or above; None where there was none, or while one who is behind still counts.
    """

    heard: int
    behind: int
    oldest: Version | None
    newest: Version | None
    agreed_for: int | None


class VersionReports:
    """The last announcement of each gateway heard, and when each version was heard first and last."""

    def __init__(self):
        self.by_name = {}  # name: (version, when), the latest last
        self.times = {}  # version: (heard first, heard last)

    def saw(self, now: int, name: str, version: Version):
        """That gateway holds that version."""
        self.by_name.pop(name, None)
        self.by_name[name] = version, now
        if len(self.by_name) > SIGHTINGS:
            del self.by_name[next(iter(self.by_name))]
        first, _ = self.times.get(version, (now, now))
        self.times[version] = first, now
        if len(self.times) > SIGHTING_VERSIONS:
            del self.times[min(self.times)]

    def propagation(self, now: int, version: Version) -> Propagation:
        """How far that version has come, as far as is known here."""
        fresh = [held for held, when in self.by_name.values() if now - when <= SIGHTING_TIME]
        behind = sum(held < version for held in fresh)
        agreed_since = None if behind else self._agreed_since(version)
        agreed_for = None if agreed_since is None else now - agreed_since
        return Propagation(len(fresh), behind, min(fresh, default=None), max(fresh, default=None), agreed_for)

    def _agreed_since(self, version):
        held = [first for other, (first, _) in self.times.items() if other >= version]
        if not held:
            return None
        below = [last for other, (_, last) in self.times.items() if other < version]
        return max([min(held), *below])
