"""Units of time: all times in this project are whole nanoseconds, unless a name says otherwise."""

MILLISECOND = 1_000_000  # ns
SECOND = 1_000 * MILLISECOND
