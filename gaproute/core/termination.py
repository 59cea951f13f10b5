"""When SIGKILL may follow SIGTERM, by what the operators promise: after the longest deadline and a grace."""

from gaproute.units import MILLI, SECOND

KILL_GRACE = 700 * MILLI  # beyond the longest deadline
MAX_COUNTED_DEADLINE = 3 * SECOND  # what a longer deadline counts as


def min_kill_delay(longest_deadline: int) -> int:
    """How long after SIGTERM a process may be killed at the earliest; both times in ns."""
    return min(longest_deadline, MAX_COUNTED_DEADLINE) + KILL_GRACE
