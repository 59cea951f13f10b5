"""Units of the simulation: times are whole nanoseconds, rates and probabilities whole millionths."""

MILLISECOND = 1_000_000  # ns
SECOND = 1_000 * MILLISECOND
MILLION = 1_000_000
