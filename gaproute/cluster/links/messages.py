"""The messages between the harness and a link emulator; `codec.py` makes lines of JSON of them.

The harness sends a `StartEmulator` first and `Command`s after it; the emulator sends `Answer`s.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from gaproute.cluster.links.counts import LinkCounts
from gaproute.cluster.links.faults import FaultSpec
from gaproute.cluster.links.slots import Slot


@dataclass(frozen=True, slots=True)
class StartEmulator:
    """The first line: the ports that several emulators may share, and what the links begin with.

    `tap_path`: the file for a line about each connection, if any.
    """

    stream_port: int
    datagram_port: int
    slots: Mapping[int, Slot] = field(default_factory=dict)
    seed: int = 0
    tap_path: str | None = None


@dataclass(frozen=True, slots=True)
class PlaceSlots:
    """Slots, by number, that are new or have moved."""

    slots: Mapping[int, Slot]


@dataclass(frozen=True, slots=True)
class BeginFault:
    """Begins a fault."""

    fault_id: str
    spec: FaultSpec


@dataclass(frozen=True, slots=True)
class EndFault:
    """Ends the fault of this id."""

    fault_id: str


@dataclass(frozen=True, slots=True)
class ReportCounts:
    """Requests `LinkCounts`."""


Command = PlaceSlots | BeginFault | EndFault | ReportCounts


@dataclass(frozen=True, slots=True)
class Ready:
    """The emulator has started and serves."""


@dataclass(frozen=True, slots=True)
class CommandFailed:
    """A command that was not carried out and changed nothing, and why."""

    reason: str


Answer = Ready | CommandFailed | LinkCounts
