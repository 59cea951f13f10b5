"""The budget: what the measurements predict for each, and how much of its budget that is."""

import math
from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale.fit import WIDE_STRETCH, Fit, fit
from benchmarks.scale.measurement import MEASURED, Measurement
from benchmarks.scale.roles import Row
from benchmarks.scale.text import number

HALVINGS = 60  # of the range in which the size is sought that the budget suffices for
ROUNDING = 1e-9  # share by which floating-point sums may miss a whole number


@dataclass(frozen=True)
class Verdict:
    """A row with what was predicted; `predicted` and `factor` are None where the mechanism is missing.

    Beyond a bound in the code `factor` is at least how many times the size lies beyond it."""

    row: Row
    predicted: float | None
    factor: float | None  # of the budget
    state: str
    stretch: float

    @property
    def stretched(self) -> str:
        """Says so where the prediction lies far beyond what was measured; else empty."""
        return f"stretched {number(self.stretch)} times" if self.stretch > WIDE_STRETCH else ""


def judged(row: Row, folder: Path = MEASURED) -> Verdict:
    """The row's prediction and state. Raises MeasurementError for a measurement that is not stored."""
    if row.measurement is None:
        return Verdict(row, None, None, "missing", 1.0)
    found = fit(Measurement.load(row.measurement, folder))
    predicted = found.predict(row.at) * row.multiplier
    factor = predicted / row.budget
    if row.cap is not None and row.cap < row.at:
        factor = max(factor, row.at / row.cap)
        state = f"exists to {number(row.cap)}"
    else:
        state = "exists" if factor <= 1 else _up_to(found, row)
    return Verdict(row, predicted, factor, state, found.stretch(row.at))


def _up_to(found: Fit, row: Row) -> str:
    """Up to which size the budget suffices, below the row's own."""
    least, most = 0.0, row.at
    for _ in range(HALVINGS):
        middle = (least + most) / 2
        if found.predict(middle) * row.multiplier <= row.budget:
            least = middle
        else:
            most = middle
    if least < found.smallest:
        return f"exists to under {number(found.smallest)}"
    return f"exists to {number(_rounded_down(least))}"


def _rounded_down(value: float) -> float:
    """Two digits of it, never more than it is."""
    step = 10.0 ** (math.floor(math.log10(value)) - 1)
    return math.floor(value * (1 + ROUNDING) / step) * step
