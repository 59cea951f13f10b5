"""Counts which gateways of a process noticed which change of a member."""

from __future__ import annotations

import time
from typing import NamedTuple

from gaproute.hollow.environment import EventCounter

MAX_CHANGES = 65_536  # whose times are kept
MEMBER_CHANGED = "member_changed"  # the event that membership logs


class MemberChange(NamedTuple):
    """A member's new state."""

    name: object
    state: object
    incarnation: object


class Sightings(NamedTuple):
    """How many gateways noticed a change, and when the first and the last did, in seconds since 1970."""

    gateways: int
    first: float
    last: float


class MemberChangeCounter(EventCounter):
    """The event log of all gateways of a process; `sightings` are by change."""

    def __init__(self) -> None:
        super().__init__()
        self.sightings: dict[MemberChange, Sightings] = {}

    def event(self, level: str, name: str, /, **fields: object) -> None:
        """Count the event, and the sighting where it is a change of a member."""
        super().event(level, name, **fields)
        if name == MEMBER_CHANGED and len(self.sightings) < MAX_CHANGES:
            change, now = MemberChange(fields["member"], fields["state"], fields["incarnation"]), time.time()
            count, first, _ = self.sightings.get(change, Sightings(0, now, now))
            self.sightings[change] = Sightings(count + 1, first, now)

    def rows(self, name: str) -> list[list[object]]:
        """The changes of one member, each with its sightings."""
        return [[*change, *sightings] for change, sightings in self.sightings.items() if change.name == name]
