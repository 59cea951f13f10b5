"""Units of time: all times in this project are whole nanoseconds, unless a name says otherwise.

A span is written as a number of a unit, such as `250 * MILLI`.
"""

MICRO = 1_000  # ns, as all units here
MILLI = 1_000_000
SECOND = 1_000_000_000
