"""Real-time priorities for the harness's own processes, where the machine allows them.

A link emulator, a client, a host or a parent that waits for a core measures itself: with 340 processes on 8
cores an emulator that used 6% of a core waited for one half of the time, whatever its nice value. So all but
the gateways are woken at once.
"""

from __future__ import annotations

import os
from enum import IntEnum

GATEWAY_NICENESS = 5  # of gateways, where nobody may have a real-time priority


class RealTimePriority(IntEnum):
    """The lowest ones: woken at once, before other work.

    Gateways on a crowded machine come after the harness, so that they never hold the links up.
    """

    GATEWAY = 1
    HARNESS = 2


def raise_priority(pid: int, priority: RealTimePriority = RealTimePriority.HARNESS) -> bool:
    """From now on this process (0: the caller) is woken at once. Whether that is allowed: it needs root."""
    try:
        os.sched_setscheduler(pid, os.SCHED_RR, os.sched_param(priority))
    except (PermissionError, ProcessLookupError):
        return False
    return True


def reset_priority() -> None:
    """The caller is scheduled like any process again: the judging can wait."""
    os.sched_setscheduler(0, os.SCHED_OTHER, os.sched_param(0))
