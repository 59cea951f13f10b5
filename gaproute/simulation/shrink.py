"""Makes a failing fault schedule small: takes faults out while a run still fails by the same name."""

from collections.abc import Callable, Sequence

import msgspec

from gaproute.simulation.fault_schedule import FaultSchedule, ScheduledFault
from gaproute.simulation.violation import InvariantViolationError

MAX_PLAYS = 400  # each costs what the run costs


def shrink(
    play: Callable[[FaultSchedule], InvariantViolationError | None],
    schedule: FaultSchedule,
    name: str,
    max_plays: int = MAX_PLAYS,
) -> tuple[FaultSchedule, InvariantViolationError | None]:
    """The smallest schedule that was found, and its violation; None where the run did not fail by that name.

    First the time after the violation is cut off, then faults are taken out in halves, quarters and so on
    down to single ones.
    """
    return _Shrinker(play, schedule, name, max_plays).shrink()


class _Shrinker:
    """The shrinking of one schedule; `schedule` is the smallest so far."""

    def __init__(
        self,
        play: Callable[[FaultSchedule], InvariantViolationError | None],
        schedule: FaultSchedule,
        name: str,
        max_plays: int,
    ) -> None:
        self.play, self.schedule, self.name, self.plays_left = play, schedule, name, max_plays
        self.violation: InvariantViolationError | None = None

    def shrink(self) -> tuple[FaultSchedule, InvariantViolationError | None]:
        faults, end = self.schedule.faults, self.schedule.end
        if not self._still_fails(faults, end) or self.violation is None:
            return self.schedule, None
        failed_at = self.violation.position.now
        self._still_fails([fault for fault in faults if fault.at <= failed_at], min(end, failed_at + 1))
        size = max(1, len(self.schedule.faults) // 2)
        while self.schedule.faults:
            removed = self._remove(size)
            if size == 1 and not removed or not self.plays_left:
                break
            size = max(1, size // 2)
        return self.schedule, self.violation

    def _remove(self, size: int) -> bool:
        """Takes out each group of `size` faults that is not needed; whether there was one."""
        removed, place = False, 0
        while place < len(self.schedule.faults):
            faults = self.schedule.faults
            if self._still_fails([*faults[:place], *faults[place + size :]], self.schedule.end):
                removed = True
            else:
                place += size
        return removed

    def _still_fails(self, faults: Sequence[ScheduledFault], end: int) -> bool:
        """Plays a smaller schedule and takes it on where it fails by the same name."""
        if not self.plays_left:
            return False
        self.plays_left -= 1
        smaller = msgspec.structs.replace(self.schedule, end=end, faults=tuple(faults))
        violation = self.play(smaller)
        if violation is None or violation.name != self.name:
            return False
        self.schedule, self.violation = smaller, violation
        return True
