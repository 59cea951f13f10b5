"""What follows from the operators' numbers by arithmetic alone, or by arithmetic on stored measurements."""

from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale import size
from benchmarks.scale.fit import WIDE_STRETCH, fit
from benchmarks.scale.measurement import Measurement
from benchmarks.scale.text import number, table

HOUR = 3_600  # seconds
MINUTE = 60  # seconds
KB, MB = 1 << 10, 1 << 20
CHANGE_BYTES = 200  # assumed: one change of configuration as sent, with its headers
HOSTS = size.HOSTS_AT_20  # the largest fleet assumed
CELL_HOSTS = 256  # assumed: hosts of a cell
CELLS = round(HOSTS / CELL_HOSTS)
RACK_HOSTS = 40  # assumed
ATTENDED_CELLS = 2  # cells of its own zone that a gateway knows
MEMBERS_CAP = 4_096  # gateways that membership has room for today
BUDGET = size.CONTROL_BYTES * KB  # bytes a second of a gateway for control


@dataclass(frozen=True)
class Derived:
    """One derived figure: what it is, how it is made, its value as text, what it was made from."""

    what: str
    how: str
    value: str
    source: str = "arithmetic"

    def row(self) -> list[str]:
        """The figure as a row of a table."""
        return [self.what, self.how, self.value, self.source]


@dataclass(frozen=True)
class Predicted:
    """A measurement's prediction at a size, with a text that names where it comes from."""

    value: float
    source: str


def predicted(name: str, at: float, folder: Path) -> Predicted:
    """What a stored measurement predicts. Raises MeasurementError."""
    found = fit(Measurement.load(name, folder))
    source = f"`{name}` at {number(at)}"
    stretch = found.stretch(at)
    if stretch > 1:
        mark = "**stretched**" if stretch > WIDE_STRETCH else "stretched"
        source += f", {mark} {number(stretch, digits=2)} times"
    return Predicted(found.predict(at), source)


def rows_of(figures: list[Derived]) -> list[str]:
    """The Markdown table of derived figures."""
    return table(["what", "how", "value", "from"], [figure.row() for figure in figures])
