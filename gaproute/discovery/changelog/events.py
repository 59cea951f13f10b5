"""The events of the change log, out of JSON."""

import zlib
from typing import Any

import msgspec

from gaproute.discovery.changelog.members import canonical_member


class FleetUpdate(msgspec.Struct):
    members: list[msgspec.Raw]  # each is read by itself: a wrong one must not spoil the others
    complete: bool = False
    revision: Any = None

    def digest(self):
        """The same for the same list, however it is written and in whatever order."""
        members = sorted(map(canonical_member, self.members))
        return zlib.crc32(b"\n".join([msgspec.json.encode([self.complete, self.revision]), *members]))


class Event(msgspec.Struct):
    seq: int
    fleet: FleetUpdate


class InitialEvents(msgspec.Struct):
    seq: int = 0
    results: list = []


# a number may come as a string
_event = msgspec.json.Decoder(Event, strict=False).decode


def decode_event(data):
    """An event. Errors: ValueError, RecursionError."""
    return _event(data)


def decode_initial(told):
    """(number of the last event, events) of the start. Errors: msgspec.ValidationError."""
    told = msgspec.convert(told, InitialEvents, strict=False)
    results = [_event(msgspec.json.encode(result)) for result in told.results]
    return max([told.seq] + [event.seq for event in results]), results
