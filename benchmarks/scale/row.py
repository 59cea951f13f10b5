"""One row of the budget."""

from dataclasses import dataclass


@dataclass(frozen=True)
class Row:
    """One cost of one role against its budget.

    The cost is what `measurement` predicts at `at`, times `multiplier`, in `unit`. Where `measurement` is
    None the mechanism is missing, and nothing is predicted. `cap`: a bound in the code, in the unit of `at`,
    up to which the mechanism works whatever it costs."""

    key: str
    role: str
    cost: str
    measurement: str | None
    at: float
    multiplier: float
    budget: float
    unit: str
    mechanism: str
    cap: float | None = None
