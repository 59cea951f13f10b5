"""What each kind of fault does to a run when it begins and when it ends."""

import errno
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

import msgspec

from gaproute.simulation.events import Delivery, Start
from gaproute.simulation.fault_schedule import LEADER, FaultKind, ScheduledFault
from gaproute.simulation.network import SimulatedNetwork
from gaproute.simulation.process_slot import ProcessSlot
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.units import MILLI

DISK_ERRORS = {
    FaultKind.DISK_FULL: errno.ENOSPC,
    FaultKind.DISK_READ_ONLY: errno.EROFS,
    FaultKind.DISK_FAILING: errno.EIO,
}
# What arrived while a process was paused is delivered within this time, ns.
MIN_RESUME_DELAY = MILLI // 1000
RESUME_SPREAD = 50 * MIN_RESUME_DELAY


class FaultTarget(Protocol):
    """What faults need of a simulation."""

    random: SeededRandom
    network: SimulatedNetwork
    slot_list: list[ProcessSlot]

    @property
    def now(self) -> int:
        """True time, ns."""

    def push(self, when: int, event: Delivery | Start, /) -> None:
        """The event happens at this true time."""

    def crash(self, slot: ProcessSlot, /) -> None:
        """Ends the process in the slot."""

    def schedule_tick(self, slot: ProcessSlot, /) -> None:
        """Plans the next tick of the process in the slot."""


class ActiveFault(NamedTuple):
    """A fault of the schedule, with the slots that it hits in place of LEADER."""

    number: int
    fault: ScheduledFault
    slots: list[ProcessSlot]

    @property
    def slot(self) -> ProcessSlot:
        """The slot of a fault that hits one process."""
        return self.slots[0]


FaultEffect = Callable[[ActiveFault], None]


class FaultInjector:
    """Begins and ends the faults of a schedule. `leader()`: the slot that leads now, or None."""

    def __init__(self, target: FaultTarget, leader: Callable[[], ProcessSlot | None] = lambda: None) -> None:
        self.target, self.leader = target, leader
        self.hit: dict[int, tuple[int, ...]] = {}  # slots by fault, where LEADER stood in for one of them
        self._begins: dict[FaultKind, FaultEffect] = {
            FaultKind.CRASH: self._crash,
            FaultKind.CRASH_IN_CALL: self._arm_crash,
            FaultKind.LOSE_DISK: self._lose_disk,
            FaultKind.CORRUPT_DISK: self._corrupt_disk,
            FaultKind.PAUSE: self._pause,
            FaultKind.CUT_ONE_WAY: self._cut,
            FaultKind.CUT_BOTH_WAYS: self._cut,
            FaultKind.PARTITION: self._cut,
            FaultKind.HOLD_MESSAGES: self._hold,
            FaultKind.CLOCK_DRIFT: self._set_drift,
        }
        self._ends: dict[FaultKind, FaultEffect] = {
            FaultKind.CRASH: self._restart,
            FaultKind.CRASH_IN_CALL: self._restart,
            FaultKind.LOSE_DISK: self._restart,
            FaultKind.CORRUPT_DISK: self._restart,
            FaultKind.PAUSE: self._resume,
            FaultKind.CUT_ONE_WAY: self._reconnect,
            FaultKind.CUT_BOTH_WAYS: self._reconnect,
            FaultKind.PARTITION: self._reconnect,
            FaultKind.HOLD_MESSAGES: self._release,
            FaultKind.CLOCK_DRIFT: self._reset_drift,
        }

    def begin(self, fault: ScheduledFault, number: int) -> None:
        """The fault with this number in the schedule begins."""
        if (values := self._network_values(fault.kind)) is not None:
            values.append(fault.value)
            return
        active = self._resolve(fault, number)
        if fault.kind in DISK_ERRORS:
            active.slot.disk.error = DISK_ERRORS[fault.kind]
        else:
            self._begins[fault.kind](active)

    def end(self, fault: ScheduledFault, number: int) -> None:
        """The fault with this number in the schedule ends."""
        if (values := self._network_values(fault.kind)) is not None:
            values.remove(fault.value)
            return
        active = self._resolve(fault, number)
        if fault.kind in DISK_ERRORS:
            active.slot.disk.error = 0
            self._start_again(active.slot)
        else:
            self._ends[fault.kind](active)

    def _network_values(self, kind: FaultKind) -> list[int] | None:
        """Where the network keeps the values of faults of this kind; None for other kinds."""
        network = self.target.network
        match kind:
            case FaultKind.LOSE_MESSAGES:
                return network.loss_rates
            case FaultKind.DUPLICATE_MESSAGES:
                return network.duplication_rates
            case FaultKind.DELAY_MESSAGES:
                return network.extra_delays
        return None

    def _resolve(self, fault: ScheduledFault, number: int) -> ActiveFault:
        """Puts the leader's slot in place of LEADER; at the fault's end the same as at its begin."""
        slots = self.target.slot_list
        if LEADER in fault.targets:
            if number not in self.hit:
                leader = self.leader()
                hit = leader.number if leader is not None else self.target.random.below(len(slots))
                numbers = (hit if target == LEADER else target for target in fault.targets)
                self.hit[number] = tuple(dict.fromkeys(numbers))
            fault = msgspec.structs.replace(fault, targets=self.hit[number])
        return ActiveFault(number, fault, [slots[target] for target in fault.targets])

    # Processes

    def _crash(self, active: ActiveFault) -> None:
        if active.slot.process is not None:
            self.target.crash(active.slot)

    def _arm_crash(self, active: ActiveFault) -> None:
        value = active.fault.value
        active.slot.disk.arm_crash(value >> 1, after_effect=bool(value & 1))

    def _restart(self, active: ActiveFault) -> None:
        active.slot.disk.disarm_crash()
        self._start_again(active.slot)

    def _start_again(self, slot: ProcessSlot) -> None:
        if slot.process is None:
            self.target.push(self.target.now, Start(slot))

    def _pause(self, active: ActiveFault) -> None:
        active.slot.pauses += active.slot.process is not None

    def _resume(self, active: ActiveFault) -> None:
        """The process goes on; its clock has gone on meanwhile.

        Its timer expires before it takes what arrived meanwhile, as in an event loop that wakes late.
        """
        target, slot = self.target, active.slot
        if not slot.pauses:
            return  # it was restarted meanwhile
        slot.pauses -= 1
        if slot.pauses:
            return
        waiting, slot.inbox = slot.inbox, []
        if slot.process is not None:
            slot.due = None
            target.schedule_tick(slot)
        for sender, message in waiting:
            delay = MIN_RESUME_DELAY + target.random.below(RESUME_SPREAD)
            target.push(target.now + delay, Delivery(slot, sender, message))

    def _set_drift(self, active: ActiveFault) -> None:
        active.slot.fault_drifts[active.number] = active.fault.value
        self._apply_drift(active.slot)

    def _reset_drift(self, active: ActiveFault) -> None:
        del active.slot.fault_drifts[active.number]
        self._apply_drift(active.slot)

    def _apply_drift(self, slot: ProcessSlot) -> None:
        slot.update_drift(self.target.now)
        if slot.process is not None:
            self.target.schedule_tick(slot)

    # Disks

    def _lose_disk(self, active: ActiveFault) -> None:
        self._crash(active)
        active.slot.disk.wipe()

    def _corrupt_disk(self, active: ActiveFault) -> None:
        self._crash(active)
        active.slot.disk.corrupt("a synced record was corrupted")

    # Links

    def _cut(self, active: ActiveFault) -> None:
        for sender, receiver in self._links(active.fault):
            self.target.network.cut(sender, receiver)

    def _reconnect(self, active: ActiveFault) -> None:
        for sender, receiver in self._links(active.fault):
            self.target.network.reconnect(sender, receiver)

    def _hold(self, active: ActiveFault) -> None:
        sender, receiver = active.fault.targets
        self.target.network.hold(sender, receiver, active.fault.until)

    def _release(self, active: ActiveFault) -> None:
        self.target.network.release(self.target.now)

    def _links(self, fault: ScheduledFault) -> Sequence[tuple[int, int]]:
        """The (sender, receiver) pairs that the fault cuts."""
        if fault.kind == FaultKind.PARTITION:
            others = [number for number in range(len(self.target.slot_list)) if number not in fault.targets]
            outward = [(target, other) for target in fault.targets for other in others]
            return outward + [(other, target) for target, other in outward]
        if len(fault.targets) < 2:
            return ()  # the leader was the other end
        one, other = fault.targets
        return [(one, other)] if fault.kind == FaultKind.CUT_ONE_WAY else [(one, other), (other, one)]
