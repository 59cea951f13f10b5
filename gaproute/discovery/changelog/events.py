"""The JSON form of the events of the change log."""

import zlib
from typing import Any, NamedTuple

import msgspec

from gaproute.discovery.changelog.member_records import canonical_member


class FleetUpdate(msgspec.Struct):
    """A complete host list or changes to it; the field names are those on the wire."""

    members: list[msgspec.Raw]  # decoded one by one, so that an invalid member does not affect the others
    complete: bool = False
    revision: Any = None

    def digest(self) -> int:
        """A checksum that does not depend on the JSON formatting or the order of the members."""
        members = sorted(map(canonical_member, self.members))
        return zlib.crc32(b"\n".join([msgspec.json.encode([self.complete, self.revision]), *members]))


class Event(msgspec.Struct):
    """One event of the change log, with its sequence number."""

    seq: int
    fleet: FleetUpdate


class InitialEvents(NamedTuple):
    """The events that are known when the gateway starts."""

    last_seq: int
    events: list[Event]


class _InitialMessage(msgspec.Struct):
    seq: int = 0
    results: list[Any] = []


decode_event = msgspec.json.Decoder(Event, strict=False).decode  # accepts numbers written as strings


def decode_initial_events(message: object) -> InitialEvents:
    """Decodes the events in the configuration from JSON objects. Errors: msgspec.ValidationError."""
    initial = msgspec.convert(message, _InitialMessage, strict=False)
    events = [decode_event(msgspec.json.encode(result)) for result in initial.results]
    return InitialEvents(max([initial.seq] + [event.seq for event in events]), events)
