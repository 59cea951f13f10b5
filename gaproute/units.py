"""Units of time: every time in this project is a whole number of nanoseconds unless its name says otherwise.

A duration is written as a multiple of a unit, such as `250 * MILLI`.
"""

MICRO = 1_000  # all units here are in ns
MILLI = 1_000_000
SECOND = 1_000_000_000
