"""Computes when SIGKILL may follow SIGTERM: the operators grant the longest deadline and a grace period."""

from gaproute.units import MILLI, SECOND

KILL_GRACE = 700 * MILLI  # after the longest deadline
MAX_COUNTED_DEADLINE = 3 * SECOND  # longer deadlines count as this


def min_kill_delay(longest_deadline: int) -> int:
    """Returns the shortest time between SIGTERM and SIGKILL; both durations are ns."""
    return min(longest_deadline, MAX_COUNTED_DEADLINE) + KILL_GRACE
