"""What the parts of one hollow gateway are made with."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Any, Protocol

from gaproute.config import Configuration
from gaproute.decisions.chance import RandomGenerator
from gaproute.loop.timers import Callback, Timer
from gaproute.peers.ports import (
    CallbackLoop,
    DatagramHandler,
    DatagramSocket,
    RaftMessageHandler,
    RaftMessageTransport,
)
from gaproute.shared.raft import Disk


class RandomStream(IntEnum):
    """The seeded random numbers that each part draws from; the number is added to the gateway's seed.

    A gateway renews a lease or holds a cell table, never both: these share a number.
    """

    MEMBERSHIP = 2
    GOSSIP = 4
    LEASES = 5
    LEASE_DELAY = 6
    CELL_TABLE = 6
    DEMAND = 7
    ROUTES = 8


class EventCounter:
    """An event log that counts events by their name and keeps none of them."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()

    def event(self, level: str, name: str, /, **fields: object) -> None:
        """Count the event."""
        self.counts[name] += 1


class PartLoop(CallbackLoop, Protocol):
    """What parts use of a loop: that of `gaproute.loop`, or a simulated one."""

    on_late_turn: list[Callable[[], object]]

    def call_later(self, span: int, call: Callback, /, *args: object) -> Timer:
        """Calls `call(*args)` after the span, ns."""


@dataclass(kw_only=True)
class GatewayEnvironment:
    """The surroundings of one gateway.

    `loop` is a `gaproute.loop.Loop` where there are real sockets. `configuration` is checked, and shared by
    all gateways of a process. These make what sends and receives:

    - `open_datagrams(loop, address, on_datagram)`: as `gaproute.loop.datagrams.DatagramSocket`
    - `open_raft_transport(loop, name, peers, receive)`: as `gaproute.peers.raft.RaftTransport`

    `open_raft_disk(name)` makes the disk of a member of the Raft group. `wall_clock` returns ns since 1970.
    """

    loop: PartLoop
    name: str
    address: str
    configuration: Configuration
    seed: int
    open_datagrams: Callable[[Any, str, DatagramHandler], DatagramSocket]
    open_raft_transport: Callable[[Any, str, Mapping[str, str], RaftMessageHandler], RaftMessageTransport]
    open_raft_disk: Callable[[str], Disk]
    wall_clock: Callable[[], int]
    record: EventCounter = field(default_factory=EventCounter)

    def random(self, stream: RandomStream) -> RandomGenerator:
        """The random numbers of one part, the same for the same seed."""
        return RandomGenerator(self.seed + stream)
