"""The interface of a hollow gateway's parts."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, ClassVar, Protocol

from gaproute.peers.membership_wire import PayloadKind

DATAGRAM_HEADERS = 28  # bytes of IPv4 and UDP around each datagram

# The parts of one gateway by name, in the order in which they were made. Which class has a name differs
# between fleets: a part that needs another one declares what it uses of it.
Parts = dict[str, Any]
# Takes the environment and the parts made so far. The environment is a `GatewayEnvironment`; for the parts of
# a fleet of cells it is a `CellGatewayEnvironment`.
PartFactory = Callable[[Any, Parts], "ControlPart"]


class ConfiguredGateway(Protocol):
    """A gateway that the configuration names."""

    @property
    def name(self) -> str:
        """By which others know it."""

    @property
    def where(self) -> str:
        """The address at which its peers reach it."""


class ControlPart:
    """One control part of a gateway: a product class with what it needs around it.

    `next_tick` is the time (ns of the loop) of the next `tick`, None where the part keeps timers itself.
    Payloads of `payload_kind` that come to the gateway's membership socket are given to `receive`; it is None
    for a part without datagrams, or whose product class registers for them itself.
    """

    payload_kind: ClassVar[PayloadKind | None] = None
    next_tick: int | None = None

    def start(self) -> None:
        """Called once, when all parts are made."""

    def receive(self, sender: str, data: bytes) -> None:
        """A payload of the part's kind came from the gateway `sender`."""

    def tick(self, now: int) -> None:
        """Called at `next_tick` or later."""

    def set_gateways(self, gateways: Sequence[ConfiguredGateway]) -> None:
        """These are the other configured gateways from now on."""

    def counters(self) -> dict[str, int]:
        """Totals since the start (`messages`, `bytes` with headers) and sizes of state (`entries`)."""
        return {}

    def close(self) -> None:
        """End the part without notifying others, as a process that is killed."""
