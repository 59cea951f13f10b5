"""The events of the change log, as JSON has them."""

import zlib
from typing import Any, NamedTuple

import msgspec

from gaproute.discovery.changelog.member_records import canonical_member


class FleetUpdate(msgspec.Struct):
    """The list as a whole, or changes of it; the fields' names are those on the wire."""

    members: list[msgspec.Raw]  # each is read by itself: a wrong one must not spoil the others
    complete: bool = False
    revision: Any = None

    def digest(self) -> int:
        """The same for the same list, however it is written and in whatever order."""
        members = sorted(map(canonical_member, self.members))
        return zlib.crc32(b"\n".join([msgspec.json.encode([self.complete, self.revision]), *members]))


class Event(msgspec.Struct):
    """One event of the log, under its number."""

    seq: int
    fleet: FleetUpdate


class InitialEvents(NamedTuple):
    """What is known of the log as the gateway starts."""

    last_seq: int
    events: list[Event]


class _InitialMessage(msgspec.Struct):
    seq: int = 0
    results: list[Any] = []


decode_event = msgspec.json.Decoder(Event, strict=False).decode  # a number may come as a string


def decode_initial_events(message: object) -> InitialEvents:
    """The events that the configuration brings, as objects of JSON. Errors: msgspec.ValidationError."""
    initial = msgspec.convert(message, _InitialMessage, strict=False)
    events = [decode_event(msgspec.json.encode(result)) for result in initial.results]
    return InitialEvents(max([initial.seq] + [event.seq for event in events]), events)
