"""Draws the fault schedule of a run from its seed."""

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from gaproute.simulation.fault_schedule import (
    LEADER,
    MEMORY_LOSS,
    FaultKind,
    FaultSchedule,
    ScheduledFault,
)
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.units import MILLI, SECOND

MAX_DRIFT = 100  # millionths by which a clock goes wrong by default: what quartz is built to
CALM_TIME = 2 * SECOND  # before the first fault, in which the processes find each other
MAX_OPERATIONS_TO_CRASH = 12  # a crash in a call comes within so many disk operations
MIN_FAULT_TIME = 50 * MILLI

WEIGHTS = {
    FaultKind.CRASH: 4,
    FaultKind.CRASH_IN_CALL: 6,
    FaultKind.LOSE_DISK: 1,
    FaultKind.CORRUPT_DISK: 1,
    FaultKind.PAUSE: 4,
    FaultKind.CUT_ONE_WAY: 4,
    FaultKind.CUT_BOTH_WAYS: 2,
    FaultKind.PARTITION: 4,
    FaultKind.LOSE_MESSAGES: 2,
    FaultKind.DUPLICATE_MESSAGES: 2,
    FaultKind.DELAY_MESSAGES: 2,
    FaultKind.HOLD_MESSAGES: 2,
    FaultKind.DISK_FULL: 1,
    FaultKind.DISK_READ_ONLY: 1,
    FaultKind.DISK_FAILING: 1,
    FaultKind.CLOCK_DRIFT: 2,
}
# Kinds that may hit the leader on purpose: what depends on the leader is hit at random too seldom.
LEADER_KINDS = (
    FaultKind.CRASH,
    FaultKind.CRASH_IN_CALL,
    FaultKind.PAUSE,
    FaultKind.CUT_BOTH_WAYS,
    FaultKind.CUT_ONE_WAY,
    FaultKind.PARTITION,
)
LINK_KINDS = (FaultKind.CUT_ONE_WAY, FaultKind.CUT_BOTH_WAYS, FaultKind.HOLD_MESSAGES)
DEFAULT_MAX_SECONDS = 3  # that a fault lasts
MAX_SECONDS = {
    FaultKind.LOSE_MESSAGES: 4,
    FaultKind.DUPLICATE_MESSAGES: 6,
    FaultKind.DELAY_MESSAGES: 4,
    FaultKind.CLOCK_DRIFT: 8,
    FaultKind.PARTITION: 4,
    FaultKind.PAUSE: 5,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class FaultOptions:
    """What a drawn schedule may contain.

    `kinds` limits the kinds of faults; None allows all. Faults of a single process hit those in `targets`
    (None: any), disks are lost by those in `disk_loss_targets` only. `max_drift`: millionths. With
    `target_leader` half of the faults of a single process hit whoever leads at that moment.
    """

    kinds: Collection[FaultKind] | None = None
    targets: Sequence[int] | None = None
    disk_loss_targets: Sequence[int] = ()
    max_drift: int = MAX_DRIFT
    target_leader: bool = False
    settle: int = 0


DEFAULT_OPTIONS = FaultOptions()


def draw_schedule(seed: int, size: int, end: int, options: FaultOptions = DEFAULT_OPTIONS) -> FaultSchedule:
    """The schedule for `size` processes over `end` ns.

    Each run has only some of the kinds, drawn for it: a run with everything at once would hide what one kind
    alone shows.
    """
    return _ScheduleDraw(seed, size, end, options).draw()


class _ScheduleDraw:
    """The drawing of one schedule."""

    def __init__(self, seed: int, size: int, end: int, options: FaultOptions) -> None:
        self.seed, self.size, self.end, self.options = seed, size, end, options
        self.random = SeededRandom(seed, "plan")  # the label is a part of every seed
        self.targets = range(size) if options.targets is None else options.targets

    def draw(self) -> FaultSchedule:
        weighted = self._weighted_kinds()
        faults: list[ScheduledFault] = []
        least = self.random.choice((150, 400, 900)) * MILLI
        now = min(CALM_TIME, self.end // 4)
        while True:
            now += least + self.random.below(3 * least)
            if now >= self.end or not weighted:
                break
            faults.append(self._fault(self.random.choice(weighted), now))
        return FaultSchedule(self.seed, self.end, tuple(faults), self.options.settle)

    def _weighted_kinds(self) -> list[FaultKind]:
        """The kinds that this run has, each as often as its weight says."""
        kinds = self.options.kinds
        offered = [kind for kind in WEIGHTS if kinds is None or kind in kinds]
        if not self.options.disk_loss_targets:
            offered = [kind for kind in offered if kind not in MEMORY_LOSS]
        chosen = [kind for kind in offered if self.random.below(5) < 3] or offered
        return [kind for kind in chosen for _ in range(WEIGHTS[kind])]

    def _fault(self, kind: FaultKind, now: int) -> ScheduledFault:
        longest = MAX_SECONDS.get(kind, DEFAULT_MAX_SECONDS) * SECOND
        lasts = MIN_FAULT_TIME + self.random.below(longest) // self.random.choice((1, 1, 4))
        targets, value = self._details(kind)
        if self.options.target_leader and kind in LEADER_KINDS and self.random.below(2):
            targets = (LEADER, *targets[1:])
        return ScheduledFault(kind, now, min(self.end, now + lasts), targets, value)

    def _details(self, kind: FaultKind) -> tuple[tuple[int, ...], int]:
        """Targets and value of a fault; every kind draws a single target first."""
        random, options, size = self.random, self.options, self.size
        targets: tuple[int, ...] = (random.choice(self.targets),)
        if kind in MEMORY_LOSS:
            return (random.choice(options.disk_loss_targets),), 0
        if kind in LINK_KINDS:
            first = random.below(size)
            return (first, (first + 1 + random.below(size - 1)) % size) if size > 1 else (first, first), 0
        if kind == FaultKind.PARTITION:
            return tuple(number for number in range(size) if random.below(2)), 0
        return targets, self._value(kind)

    def _value(self, kind: FaultKind) -> int:
        random, max_drift = self.random, self.options.max_drift
        match kind:
            case FaultKind.CRASH_IN_CALL:  # the low bit says whether after the operation's effect
                return random.between(1, MAX_OPERATIONS_TO_CRASH) * 2 + random.below(2)
            case FaultKind.LOSE_MESSAGES:
                return random.choice((20_000, 100_000, 400_000))
            case FaultKind.DUPLICATE_MESSAGES:
                return random.choice((50_000, 300_000))
            case FaultKind.DELAY_MESSAGES:
                return random.choice((30, 200, 1500)) * MILLI
            case FaultKind.CLOCK_DRIFT:
                return random.between(-max_drift, max_drift)
        return 0
