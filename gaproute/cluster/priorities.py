"""Real-time priorities for the harness's own processes, where the machine allows them.

A link emulator, a client, a host or a parent that waits for a core measures itself: with 340 processes on 8
cores an emulator that used 6% of a core waited for one half of the time, whatever its nice value. So all
processes but the gateways have a real-time priority: the kernel runs them as soon as they are ready.
"""

from __future__ import annotations

import os
from enum import IntEnum

GATEWAY_NICENESS = 5  # of gateways, where nobody may have a real-time priority


class RealTimePriority(IntEnum):
    """The lowest real-time priorities, which still come before all other work.

    Gateways on a crowded machine have a lower one than the harness, so that they never delay the links.
    """

    GATEWAY = 1
    HARNESS = 2


def raise_priority(pid: int, priority: RealTimePriority = RealTimePriority.HARNESS) -> bool:
    """Gives a process (0: the caller) a real-time priority; whether that is allowed: it needs root."""
    try:
        os.sched_setscheduler(pid, os.SCHED_RR, os.sched_param(priority))
    except (PermissionError, ProcessLookupError):
        return False
    return True


def reset_priority() -> None:
    """Gives the caller's real-time priority up: judging has no deadline."""
    os.sched_setscheduler(0, os.SCHED_OTHER, os.sched_param(0))
