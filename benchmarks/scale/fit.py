"""Fits of a cost by size: which form describes it, how well, and how far a prediction is stretched."""

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from statistics import linear_regression

from benchmarks.scale.measurement import Measurement

WIDE_STRETCH = 10  # times the largest measured size, beyond which a prediction has to say so


@dataclass(frozen=True)
class Fit:
    """`form` names the curve; `residual` is the root mean square of the relative errors at the points.

    `last_ratio` is the measured value at the largest size over the curve's there.
    """

    form: str
    first: float
    second: float
    residual: float
    smallest: float
    largest: float
    last_ratio: float = 1.0

    def predict(self, size: float) -> float:
        """The curve's value within the range.

        From the largest size on, the curve goes on from what was measured there, lest a cost that turns
        steeper be predicted as less than it already was.
        """
        value = FORMS[self.form](self.first, self.second, size)
        return value * self.last_ratio if size >= self.largest else value

    def stretch(self, size: float) -> float:
        """How many times beyond the largest measured size; 1 within the range."""
        return max(1.0, size / self.largest)

    @property
    def formula(self) -> str:
        """The curve as text, with its figures."""
        return FORMULAS[self.form].format(self.first, self.second)


FORMS: dict[str, Callable[[float, float, float], float]] = {
    "constant": lambda first, second, size: first,
    "linear": lambda first, second, size: first + second * size,
    "power": lambda first, second, size: first * size**second,
    "logarithmic": lambda first, second, size: first + second * math.log2(size),
}
FORMULAS = {
    "constant": "{0:.3g}",
    "linear": "{0:.3g} + {1:.3g} n",
    "power": "{0:.3g} n^{1:.2f}",
    "logarithmic": "{0:.3g} + {1:.3g} log2 n",
}


def fit(measurement: Measurement) -> Fit:
    """The form with the least residual; a simpler one wins where it is nearly as good."""
    sizes = [point.size for point in measurement.points]
    values = [point.value for point in measurement.points]
    fits = [_fit_of(form, sizes, values) for form in FORMS]
    best = min(found.residual for found in fits if found is not None)
    return next(found for found in fits if found is not None and found.residual <= best * 1.1 + 0.01)


def _fit_of(form: str, sizes: Sequence[float], values: Sequence[float]) -> Fit | None:
    """The fit of one form, or None where the values do not allow it."""
    coefficients = _coefficients(form, sizes, values)
    if coefficients is None:
        return None
    first, second = coefficients
    curve = FORMS[form]
    errors = [
        (curve(first, second, size) - value) / value if value else curve(first, second, size)
        for size, value in zip(sizes, values, strict=True)
    ]
    residual = math.sqrt(sum(error * error for error in errors) / len(errors))
    last, value = max(zip(sizes, values, strict=True))
    fitted = curve(first, second, last)
    last_ratio = value / fitted if fitted > 0 < value else 1.0
    return Fit(form, first, second, residual, min(sizes), last, last_ratio)


def _coefficients(form: str, sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float] | None:
    """The curve's two figures, or None where the values do not allow this form."""
    if form == "constant":
        return sum(values) / len(values), 0.0
    if form == "linear":
        return _line(sizes, values)
    if form == "logarithmic":
        return _line([math.log2(size) for size in sizes], values)
    if min(values) <= 0:
        return None
    exponent, logarithm = linear_regression(
        [math.log(size) for size in sizes], [math.log(value) for value in values]
    )
    return math.exp(logarithm), exponent


def _line(sizes: Sequence[float], values: Sequence[float]) -> tuple[float, float]:
    """Offset and slope of least squares of the relative errors.

    Sizes differ by hundreds, and the small ones are to count as much as the large ones.
    """
    weights = [1 / value**2 if value else 1.0 for value in values]
    total = sum(weights)
    mean_size = sum(w * x for w, x in zip(weights, sizes, strict=True)) / total
    mean_value = sum(w * y for w, y in zip(weights, values, strict=True)) / total
    spread = sum(w * (x - mean_size) ** 2 for w, x in zip(weights, sizes, strict=True))
    together = sum(
        w * (x - mean_size) * (y - mean_value) for w, x, y in zip(weights, sizes, values, strict=True)
    )
    slope = together / spread
    return mean_value - slope * mean_size, slope
