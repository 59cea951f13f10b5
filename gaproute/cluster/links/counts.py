"""What a link emulator counts and reports."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, fields

from gaproute.cluster.json_objects import JsonObject

# Fields whose key in a report and in a run's verdict is another.
KEYS = {
    "pending": "hanging",
    "filter_instructions": "gate",
    "unmatched": "stray",
    "discarded": "spilt",
    "held": "kept",
    "effects": "weather",
    "violations": "breaches",
}


@dataclass(frozen=True, slots=True)
class LinkCounts:
    """All counts are since the start, but for what there is now: `connections`, `pending`, `held`.

    `refused`: connections that the far end or a slot refused; `pending`: those that cannot open yet;
    `given_up`: those whose caller left before; `unmatched`: addresses between no two slots; `overrun`:
    datagrams that found the socket's buffer full; `discarded`: datagrams beyond the emulator's own bounds;
    `late_ns`: the longest lateness since the last report. `errors` and `violations` are texts.
    """

    bytes: int
    pieces: int
    connections: int
    opened: int
    refused: int
    filter_instructions: int
    pending: int
    given_up: int
    unmatched: int
    messages: int
    message_bytes: int
    overrun: int
    unsent: int
    discarded: int
    held: int
    effects: Mapping[str, int]
    late_ns: int
    late_most_ns: int
    errors: list[str]
    violations: list[str]

    def as_json(self) -> JsonObject:
        """The report as it is sent, and as a run's verdict has it."""
        return {KEYS.get(each.name, each.name): getattr(self, each.name) for each in fields(self)}

    @classmethod
    def from_json(cls, document: JsonObject) -> LinkCounts:
        """The inverse of `as_json`. Errors: KeyError for a key that is missing."""
        return cls(**{each.name: document[KEYS.get(each.name, each.name)] for each in fields(cls)})
