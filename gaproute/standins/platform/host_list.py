"""The host list as the change log sends it: events numbered from 1, and the whole list at any time."""

from __future__ import annotations

from typing import TypedDict

PHASES = {"active": "Ready", "draining": "Terminating", "gone": "Gone"}  # by state of a host
STATES = {phase: state for state, phase in PHASES.items()}


class ListedMember(TypedDict):
    """A host as the change log lists it."""

    id: str
    host_port: str | list[str]  # the address, or one for each gateway by its number
    locality: str
    flavor: str
    cell: int
    phase: str
    size: float
    up_since_ms: int  # Unix time of a late start; 0 where the host was there from the first


class FleetChange(TypedDict):
    """The hosts that an event changes."""

    revision: int
    complete: bool  # whether these are all hosts
    members: list[ListedMember]


class ChangeEvent(TypedDict):
    """One event of the change log, as JSON."""

    seq: int
    fleet: FleetChange


class Snapshot(TypedDict):
    """The list as the file of a gateway has it that starts now."""

    seq: int
    results: list[ChangeEvent]


def member(
    name: str,
    where: str | list[str],
    state: str = "active",
    zone: str = "hall-a",
    cell: int = 0,
    size: float = 4,
    up_since: int = 0,
) -> ListedMember:
    """A line of the list. `where`: the address, or one for each gateway by its number; `up_since`: the Unix
    time of a late start, ms; 0 where the host was there from the first."""
    return {
        "id": name,
        "host_port": where,
        "locality": zone,
        "flavor": "std",
        "cell": cell,
        "phase": PHASES[state],
        "size": size,
        "up_since_ms": up_since,
    }


class VersionedHostList:
    """The list and the number of its last event.

    Whoever commands a change log keeps one, and so does the log: both count alike.
    """

    def __init__(self, version: int = 0) -> None:
        """`version`: the number before that of the first event."""
        self.version = version
        self.members: dict[str, ListedMember] = {}

    def change(self, *members: ListedMember) -> ChangeEvent:
        """The next event, which is also the command to a stand-in change log."""
        self.version += 1
        for each in members:
            if each["phase"] == "Gone":
                self.members.pop(each["id"], None)
            else:
                self.members[each["id"]] = each
        return self._event(list(members), complete=self.version == 1)

    def snapshot(self) -> Snapshot:
        """What a gateway that starts now gets by its file."""
        results = [self._event(list(self.members.values()), complete=True)] if self.version else []
        return {"seq": self.version, "results": results}

    def _event(self, members: list[ListedMember], *, complete: bool) -> ChangeEvent:
        fleet: FleetChange = {"revision": self.version, "complete": complete, "members": members}
        return {"seq": self.version, "fleet": fleet}
