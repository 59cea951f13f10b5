"""The faults of one run. Each has its own begin and end and does not depend on the others.

So any fault can be taken out and the rest is still a schedule (`shrink.py`).
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

LEADER = -1  # in place of a slot's number: whoever leads when the fault begins


class FaultKind(StrEnum):
    """What goes wrong. The values stand in schedules that are stored as JSON."""

    CRASH = "crash"  # the process ends
    CRASH_IN_CALL = "fuse"  # the process ends at one of its next disk operations
    LOSE_DISK = "wipe"  # the process ends and the disk is replaced by an empty one
    CORRUPT_DISK = "spoil"  # the process ends and a synced record cannot be read any more
    PAUSE = "pause"  # the process is stopped and goes on later
    CUT_ONE_WAY = "cut"
    CUT_BOTH_WAYS = "cut both"
    PARTITION = "part"  # the targets are cut off from all others
    LOSE_MESSAGES = "lose"
    DUPLICATE_MESSAGES = "double"
    DELAY_MESSAGES = "slow"
    HOLD_MESSAGES = "hold"  # a link holds its messages back and releases them together
    DISK_FULL = "full"
    DISK_READ_ONLY = "read-only"
    DISK_FAILING = "failing"
    CLOCK_DRIFT = "pace"


MEMORY_LOSS = (FaultKind.LOSE_DISK, FaultKind.CORRUPT_DISK)  # cost a process what it had stored


class ScheduledFault(msgspec.Struct, frozen=True, array_like=True):
    """A fault from the true time `at` until `until`, ns.

    `targets`: numbers of process slots, or LEADER. `value`: millionths, ns or disk operations, as the kind
    needs it.
    """

    kind: FaultKind
    at: int
    until: int
    targets: tuple[int, ...] = ()
    value: int = 0


class FaultSchedule(msgspec.Struct, frozen=True):
    """All faults of a run. `end`: ns until which they last; `settle`: ns for everything to recover."""

    seed: int
    end: int
    faults: tuple[ScheduledFault, ...] = ()
    settle: int = 0

    def to_json(self) -> str:
        """The schedule as text, for a test to store."""
        return msgspec.json.encode(self).decode()

    @classmethod
    def from_json(cls, text: str) -> FaultSchedule:
        """Reads what `to_json` wrote. Raises `msgspec.DecodeError`."""
        return msgspec.json.decode(text, type=cls)
