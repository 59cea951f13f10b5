"""The events of a run and the queue that orders them by time."""

import heapq
import struct
from dataclasses import dataclass
from typing import ClassVar, NamedTuple

from gaproute.simulation.fault_schedule import ScheduledFault
from gaproute.simulation.process_slot import ProcessSlot
from gaproute.units import SECOND

NO_SLOT = 0xFFFF  # in an event's digest
_digest_form = struct.Struct("<qBHH")


@dataclass(frozen=True, slots=True, eq=False)
class Event:
    """`code` is the kind's number in a run's digest."""

    code: ClassVar[int]
    label: ClassVar[str]

    @property
    def slot_number(self) -> int:
        """The slot that the event is for."""
        return NO_SLOT

    def __str__(self) -> str:
        return self.label


@dataclass(frozen=True, slots=True, eq=False)
class SlotEvent(Event):
    """An event for one process slot."""

    slot: ProcessSlot

    @property
    def slot_number(self) -> int:
        """The slot that the event is for."""
        return self.slot.number

    def __str__(self) -> str:
        return f"{self.label} {self.slot.name}"


@dataclass(frozen=True, slots=True, eq=False)
class Tick(SlotEvent):
    """The process's timer expires; outdated where the slot is due at another time by now."""

    code: ClassVar[int] = 0
    label: ClassVar[str] = "tick"


@dataclass(frozen=True, slots=True, eq=False)
class Delivery(SlotEvent):
    """A message arrives; `message` is as the network carries it, bytes where the run has a codec."""

    code: ClassVar[int] = 1
    label: ClassVar[str] = "receive"
    sender: str
    message: object

    def __str__(self) -> str:
        return f"{self.label} {self.slot.name} {self.sender}: {self.message}"


@dataclass(frozen=True, slots=True, eq=False)
class FaultEvent(Event):
    """A fault of the schedule begins or ends; `number` is its place there."""

    fault: ScheduledFault
    number: int

    def __str__(self) -> str:
        return f"{self.label} {self.fault}"


@dataclass(frozen=True, slots=True, eq=False)
class FaultBegin(FaultEvent):
    """A fault of the schedule begins."""

    code: ClassVar[int] = 2
    label: ClassVar[str] = "fault begins"


@dataclass(frozen=True, slots=True, eq=False)
class FaultEnd(FaultEvent):
    """A fault of the schedule ends."""

    code: ClassVar[int] = 3
    label: ClassVar[str] = "fault ends"


@dataclass(frozen=True, slots=True, eq=False)
class Start(SlotEvent):
    """A process is started where none runs."""

    code: ClassVar[int] = 4
    label: ClassVar[str] = "start"


@dataclass(frozen=True, slots=True, eq=False)
class WorkloadDue(Event):
    """The workload is to be run."""

    code: ClassVar[int] = 5
    label: ClassVar[str] = "workload"


class QueuedEvent(NamedTuple):
    """`order` makes those of one time come in the order in which they were put in."""

    when: int  # true time, ns
    order: int
    event: Event

    def __str__(self) -> str:
        return f"{self.when / SECOND:.6f} {self.event}"


class EventQueue:
    """All events to come, the next one first."""

    def __init__(self) -> None:
        self._heap: list[QueuedEvent] = []
        self._order = 0

    def push(self, when: int, event: Event) -> None:
        """The event happens at this true time."""
        self._order += 1
        heapq.heappush(self._heap, QueuedEvent(when, self._order, event))

    def pop(self, until: int) -> QueuedEvent | None:
        """Takes out the next event; None where there is none up to `until`."""
        if self._heap and self._heap[0].when <= until:
            return heapq.heappop(self._heap)
        return None

    def digest_form(self, queued: QueuedEvent) -> bytes:
        """What a run's digest takes of an event: time, kind, slot, and how many events remain."""
        event = queued.event
        return _digest_form.pack(queued.when, event.code, event.slot_number, len(self._heap) & 0xFFFF)
