"""A run: the events in the order of true time, the processes, and what the network and faults do to them."""

from __future__ import annotations

import traceback
from collections import Counter
from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import TypeAlias

from gaproute.simulation.disk import ProcessCrash
from gaproute.simulation.events import (
    Delivery,
    Event,
    FaultBegin,
    FaultEnd,
    QueuedEvent,
    Start,
    Tick,
    WorkloadDue,
)
from gaproute.simulation.fault_effects import FaultInjector
from gaproute.simulation.fault_schedule import FaultSchedule, ScheduledFault
from gaproute.simulation.network import SimulatedNetwork
from gaproute.simulation.options import DEFAULT_OPTIONS, SimulationOptions
from gaproute.simulation.participants import Checks, Workload
from gaproute.simulation.process_slot import OutgoingMessages, ProcessFactory, ProcessSlot
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.slots import MAX_CLOCK_START, make_slots
from gaproute.simulation.timeline import Timeline
from gaproute.simulation.violation import InvariantViolationError
from gaproute.units import MILLI

MAX_INBOX = 2_000  # messages stored for a paused process, as a socket's buffer is bounded
MIN_TICK_DELAY = MILLI // 1000  # a process whose time to tick is over is called again no sooner
RESTART_DELAY = 200 * MILLI  # until a process that ended by an error is started again

SlotCall: TypeAlias = Callable[[int], OutgoingMessages | None]  # takes the process's own time


class ProcessEvent(StrEnum):
    """What is counted of processes."""

    STARTS = "starts"
    CRASHES = "crashes"
    ERRORS = "errors"  # ends by an OSError


class Simulation:
    """A run of the processes that `factories` make, by name, under the faults of a schedule.

    The same arguments give the same run, with the same digest of the timeline.
    """

    def __init__(
        self,
        schedule: FaultSchedule,
        factories: Mapping[str, ProcessFactory],
        *,
        checks: Checks[Simulation] | None = None,
        workload: Workload[Simulation] | None = None,
        options: SimulationOptions = DEFAULT_OPTIONS,
    ) -> None:
        self.schedule, self.checks, self.workload, self.options = schedule, checks, workload, options
        self.timeline = Timeline(schedule)
        self.random = SeededRandom(schedule.seed, "world")  # the labels are a part of every seed
        self.network = SimulatedNetwork(len(factories), SeededRandom(schedule.seed, "net"))
        self.counts: Counter[ProcessEvent] = Counter()
        self.slots = make_slots(schedule.seed, factories, options, self.random)
        self.slot_list = list(self.slots.values())
        self.faults = FaultInjector(self, lambda: options.leader(self.slots))
        for slot in self.slot_list:
            self.push(0, Start(slot))
        for number, fault in enumerate(schedule.faults):
            self.schedule_fault(fault, number)
        if workload is not None:
            self.push(workload.next_time(0), WorkloadDue())

    @property
    def running(self) -> list[ProcessSlot]:
        """The slots in which a process runs."""
        return [slot for slot in self.slot_list if slot.process is not None]

    # Events

    @property
    def now(self) -> int:
        """True time, ns."""
        return self.timeline.now

    def push(self, when: int, event: Event) -> None:
        """The event happens at this true time."""
        self.timeline.push(when, event)

    def schedule_fault(self, fault: ScheduledFault, number: int) -> None:
        """Adds a fault; `number` is one that no other fault of the run has."""
        self.push(fault.at, FaultBegin(fault, number))
        self.push(fault.until, FaultEnd(fault, number))

    def run(self, until: int | None = None) -> Simulation:
        """Plays up to `until`, by default to the schedule's end and the time that is left to recover.

        Raises InvariantViolationError.
        """
        until = self.schedule.end + self.schedule.settle if until is None else until
        while (queued := self.timeline.advance(until)) is not None:
            if self._takes_effect(queued):
                self.timeline.record(queued)
                self._handle(queued.event)
        if self.checks is not None:
            self.checks.at_end(self)
        return self

    def _takes_effect(self, queued: QueuedEvent) -> bool:
        """Not where a tick is outdated or nobody takes a message; what a paused process gets waits for it."""
        event = queued.event
        if isinstance(event, Tick):
            slot = event.slot
            if slot.process is None or slot.due != queued.when or slot.pauses:
                return False
            slot.due = None
        elif isinstance(event, Delivery):
            slot = event.slot
            if slot.process is None:
                return False
            if slot.pauses:
                if len(slot.inbox) < MAX_INBOX:
                    slot.inbox.append((event.sender, event.message))
                return False
        return True

    def _handle(self, event: Event) -> None:
        match event:
            case Tick(slot=slot) if slot.process is not None:
                self.call(slot, slot.process.tick)
            case Delivery(slot=slot):
                self._deliver(slot, event.sender, event.message)
            case FaultBegin():
                self.faults.begin(event.fault, event.number)
            case FaultEnd():
                self.faults.end(event.fault, event.number)
            case Start(slot=slot):
                self.start(slot)
            case WorkloadDue():
                self._run_workload()

    def _deliver(self, slot: ProcessSlot, sender: str, message: object) -> None:
        codec, process = self.options.codec, slot.process
        if process is not None:
            decoded = message if codec is None else codec.decode(message)
            self.call(slot, lambda now: process.hear(now, sender, decoded))

    def _run_workload(self) -> None:
        if self.workload is not None:
            self.workload.run(self)
            after = self.workload.next_time(self.now)
            if after <= self.schedule.end:
                self.push(after, WorkloadDue())

    # Processes

    def ask(self, name: str, call: Callable[..., OutgoingMessages | None], *arguments: object) -> bool:
        """Calls `call(process, own time, *arguments)`, as a user of the process would do.

        What it returns is sent. Returns whether the process runs, and so whether it was called.
        """
        slot = self.slots[name]
        if slot.process is None or slot.pauses:
            return False
        self.call(slot, lambda now: call(slot.process, now, *arguments))
        return True

    def call(self, slot: ProcessSlot, call: SlotCall) -> None:
        """One call of the slot's process at its own time.

        What it returns is sent, unless the process ended in the middle of the call.
        """
        try:
            outgoing = call(slot.clock.own_time(self.now))
        except ProcessCrash:
            self.crash(slot)
            return
        except OSError:
            self.counts[ProcessEvent.ERRORS] += 1
            self.crash(slot)
            self.push(self.now + RESTART_DELAY, Start(slot))
            return
        except Exception as error:
            raise self._raised(slot, error) from error
        for to, message in outgoing or ():
            if self.checks is not None:
                self.checks.before_send(self, slot, to, message)
            self.send(slot, to, message)
        self._stepped(slot)

    def send(self, slot: ProcessSlot, to: str, message: object) -> None:
        """Hands a message of the slot's process to the network; one to an unknown receiver is dropped."""
        receiver = self.slots.get(to)
        if receiver is None:
            return
        if self.options.codec is not None:
            message = self.options.codec.encode(message)
        for when in self.network.arrivals(self.now, slot.number, receiver.number):
            self.push(when, Delivery(receiver, slot.name, message))

    def schedule_tick(self, slot: ProcessSlot) -> None:
        """Plans the next tick of the process in the slot, by its `due`."""
        own = slot.process.due if slot.process is not None else None
        when = None if own is None else slot.clock.true_time(own)
        if when is not None:
            when = max(when, self.now + MIN_TICK_DELAY)
            if when != slot.due:
                self.push(when, Tick(slot))
        slot.due = when

    def start(self, slot: ProcessSlot) -> None:
        """Starts a process where none runs."""
        if slot.process is not None:
            return
        slot.incarnation += 1
        slot.pauses, slot.inbox, slot.due = 0, [], None
        self.counts[ProcessEvent.STARTS] += 1
        try:
            slot.disk.open()
            own_time = slot.clock.own_time(self.now)
            slot.process = slot.factory(slot.name, slot.disk, slot.random, own_time)
        except (ProcessCrash, OSError):
            self.crash(slot)
            self.push(self.now + RESTART_DELAY, Start(slot))
            return
        except Exception as error:
            raise self._raised(slot, error) from error
        self._stepped(slot)

    def crash(self, slot: ProcessSlot) -> None:
        """Ends the process in the slot; in half of the cases its machine too, whose clock begins anew."""
        slot.process, slot.due, slot.inbox = None, None, []
        self.counts[ProcessEvent.CRASHES] += 1
        slot.disk.crash(slot.random)
        if slot.random.below(2):
            slot.clock.restart(self.now, slot.random.below(MAX_CLOCK_START))

    def _stepped(self, slot: ProcessSlot) -> None:
        self.schedule_tick(slot)
        if self.checks is not None:
            self.checks.after_step(self, slot)

    def _raised(self, slot: ProcessSlot, error: Exception) -> InvariantViolationError:
        return self.timeline.violation(f"raised: {error!r} at {slot.name}\n{traceback.format_exc()}")
