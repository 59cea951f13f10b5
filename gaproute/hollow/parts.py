"""What every part of a hollow gateway looks like, and what it is given."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from gaproute.config import Configuration
from gaproute.decisions.chance import Chance

DATAGRAM_HEADERS = 28  # bytes of IPv4 and UDP around each datagram


class EventCounter:
    """A record that counts events by their name and keeps none of them."""

    def __init__(self):
        self.counts = Counter()

    def event(self, level, what, **told):
        """Counts the event."""
        self.counts[what] += 1


@dataclass
class GatewayEnvironment:
    """What one gateway's parts stand on.

    `configuration` is checked, and shared by all gateways of a process; `open_datagrams(loop,
    where, heard)` and `open_carrier(loop, name, peers, take)` make what sends and receives; `wall` tells ns
    since 1970; `open_votes` makes a keeper's disk.
    """

    loop: Any
    name: str
    address: str
    configuration: Configuration
    seed: int
    open_datagrams: Callable
    open_carrier: Callable
    open_votes: Callable
    wall: Callable[[], int]
    record: EventCounter = field(default_factory=EventCounter)

    def chance(self, number: int) -> Chance:
        """Seeded chance of its own for the part `number`."""
        return Chance(self.seed + number)


class ControlPart:
    """One control part. `due` is the time of the next `tick`, None where the part keeps timers itself.

    A part receives its datagrams through the gateway's membership socket: `kind` is its
    `gaproute.peers.membership_wire.PayloadKind`, None for a part without datagrams, or whose
    product class listens itself.
    """

    kind = None
    due = None

    def start(self):
        """Called once, when all parts are made."""

    def receive(self, sender: str, data: bytes):
        """A datagram of the part's kind came from the gateway `sender`."""

    def tick(self, now: int):
        """Called at `due` or later."""

    def listed(self, gateways):
        """The configured gateways are these now: rows with `name` and `where`."""

    def counters(self) -> dict[str, int]:
        """Totals since the start (`messages`, `bytes` with headers) and sizes of state (`entries`)."""
        return {}

    def close(self):
        """Ends the part without a word to others, as a process that is killed."""
