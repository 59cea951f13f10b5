"""The faults that a stand-in host is commanded to have, and which request each one affects."""

from __future__ import annotations

import random
from enum import StrEnum

import msgspec

DEFAULT_HEAVY_SHARE, DEFAULT_HEAVY_FACTOR = 0.02, 10.0


class RequestFault(StrEnum):
    """What goes wrong with a single request, in the order in which they are drawn.

    HANG: it is taken and never answered. REFUSE: the host says that it is full. FAIL: a quick error. RESET:
    the connection is reset as it comes. LOST: it is done, and its answer never comes. CUT: its answer ends in
    the middle.
    """

    HANG = "hang"
    REFUSE = "refuse"
    FAIL = "fail"
    RESET = "reset"
    LOST = "lost"
    CUT = "cut"


class HostFault(StrEnum):
    """What goes wrong with the whole host.

    SLOW: all work takes `factor` times as long. HEAVY: a share of requests costs `factor` times the work.
    SHUT: connections are closed once they have been answered on. On the platform alone DRAIN: no load orders
    are taken; RED: health checks are answered `red`; VANISH: nothing is read, written or closed.
    """

    SLOW = "slow"
    HEAVY = "heavy"
    SHUT = "shut"
    DRAIN = "drain"
    RED = "red"
    VANISH = "vanish"


class FaultCommand(msgspec.Struct, frozen=True):
    """A command that begins or ends a fault."""

    name: str = msgspec.field(name="trouble")
    active: bool = msgspec.field(default=True, name="on")
    share: float | None = None  # of the requests
    factor: float | None = None  # of the time or the work
    request_class: str | None = msgspec.field(default=None, name="track")  # of the requests; else any

    def affects(self, request_class: str) -> bool:
        """Whether requests of the class can have it."""
        return self.request_class in (None, request_class)


class ActiveFaults:
    """The faults that are active, by name; the last command of a name counts."""

    def __init__(self, chance: random.Random) -> None:
        self._chance = chance
        self._commands: dict[str, FaultCommand] = {}

    def apply(self, command: FaultCommand) -> None:
        """Begins or ends a fault."""
        if command.active:
            self._commands[command.name] = command
        else:
            self._commands.pop(command.name, None)

    def replace(self, *names: str) -> None:
        """From now on these faults alone are active, each for all requests."""
        self._commands = {name: FaultCommand(name) for name in names}

    def is_active(self, name: str) -> bool:
        """Whether the host has the fault."""
        return name in self._commands

    def __len__(self) -> int:
        return len(self._commands)

    @property
    def slowdown(self) -> float:
        """By what factor all work takes longer."""
        slow = self._commands.get(HostFault.SLOW)
        return 1.0 if slow is None or slow.factor is None else slow.factor

    def draw_work_factor(self, request_class: str) -> float:
        """By what factor a request of the class costs more work, by chance."""
        heavy = self._commands.get(HostFault.HEAVY)
        if heavy is None or not heavy.affects(request_class):
            return 1.0
        share = DEFAULT_HEAVY_SHARE if heavy.share is None else heavy.share
        if self._chance.random() >= share:
            return 1.0
        return DEFAULT_HEAVY_FACTOR if heavy.factor is None else heavy.factor

    def draw_request_fault(self, request_class: str) -> RequestFault | None:
        """What goes wrong with a request of the class, by chance."""
        for fault in RequestFault:
            command = self._commands.get(fault)
            if command is None or not command.affects(request_class):
                continue
            if self._chance.random() < (1.0 if command.share is None else command.share):
                return fault
        return None
