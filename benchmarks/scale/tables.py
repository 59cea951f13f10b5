"""The tables that a page can ask for, each made of the stored measurements alone."""

import fnmatch
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from benchmarks.scale import (
    assumption_figures,
    cold_start,
    failure_figures,
    ladder_table,
    machines,
    roles,
    size,
    time_figures,
)
from benchmarks.scale.budget import judged
from benchmarks.scale.fit import WIDE_STRETCH, fit
from benchmarks.scale.measurement import Measurement
from benchmarks.scale.text import number, share, table
from gaproute.errors import GaprouteError


class PageError(GaprouteError, ValueError):
    """A page asks for something that does not exist; the message names it."""


def size_named(name: str) -> float:
    """A size given as a number, or as the name of a constant of `size`. Raises PageError."""
    try:
        return float(name.replace(",", ""))
    except ValueError:
        value = getattr(size, name, None)
    if not name.isupper() or not isinstance(value, int | float):
        raise PageError(f"no such size: {name}")
    return value


def slopes(arguments: list[str], folder: Path) -> list[str]:
    """`NAME@SIZE ...`: each measurement, its fit, and what it predicts at the size.

    `*` in a name matches anything.
    """
    head = [
        "measurement",
        "cost",
        "unit",
        "sizes",
        "fit",
        "residual",
        "largest spread of plays",
        "last size over the curve",
        "predicted",
    ]
    return table(head, [_slope(name, at, folder) for name, at in _requested(arguments, folder)])


def _requested(arguments: Sequence[str], folder: Path) -> Iterator[tuple[str, float]]:
    """(name of a measurement, size) of each that the page asks for."""
    known = sorted(path.stem for path in folder.glob("*.json"))
    for argument in arguments:
        pattern, marked, at = argument.partition("@")
        if not marked:
            raise PageError(f"{argument}: a size is needed, as in {pattern}@25600")
        names = fnmatch.filter(known, pattern)
        if not names:
            raise PageError(f"no measurement is named {pattern}")
        yield from ((name, size_named(at)) for name in names)


def _slope(name: str, at: float, folder: Path) -> list[str]:
    """One row of `slopes`."""
    measurement = Measurement.load(name, folder)
    found = fit(measurement)
    stretch = found.stretch(at)
    predicted = f"{number(found.predict(at))} at {number(at)}"
    if stretch > 1:
        stretched = "**stretched**" if stretch > WIDE_STRETCH else "stretched"
        predicted += f", {stretched} {number(stretch, digits=2)} times"
    spread = max(point.spread for point in measurement.points)
    sizes = f"{number(found.smallest)} to {number(found.largest)} {measurement.parameter}"
    fitted = f"{found.formula}, {found.form}"
    ratio = number(found.last_ratio, digits=2)
    return [
        name,
        measurement.meaning,
        measurement.unit,
        sizes,
        fitted,
        share(found.residual),
        share(spread),
        ratio,
        predicted,
    ]


def budget(arguments: list[str], folder: Path) -> list[str]:
    """`[ROLE ...]`: the rows of these roles, or all, against their budgets."""
    unknown = set(arguments) - {row.role for row in roles.ROWS}
    if unknown:
        raise PageError(f"no such role: {', '.join(sorted(unknown))}")
    head = ["role", "cost", "at", "predicted", "budget", "of the budget", "mechanism", "state"]
    return table(
        head, [_budgeted(row, folder) for row in roles.ROWS if not arguments or row.role in arguments]
    )


def _budgeted(row: roles.Row, folder: Path) -> list[str]:
    """One row of `budget`."""
    verdict = judged(row, folder)
    predicted = "-" if verdict.predicted is None else f"{number(verdict.predicted)} {row.unit}"
    if verdict.stretched:
        predicted += f", {verdict.stretched}"
    factor = "-" if verdict.factor is None else times(verdict.factor)
    limit = f"{number(row.budget)} {row.unit}"
    return [row.role, row.cost, number(row.at), predicted, limit, factor, row.mechanism, verdict.state]


def times(factor: float) -> str:
    """A factor of the budget as text."""
    return f"{number(factor)} times" if factor > 1 else share(factor)


def breaks_first(arguments: list[str], folder: Path) -> list[str]:
    """What is missing, then what is over its budget, the furthest over first."""
    if arguments:
        raise PageError(f"breaks-first takes no words: {' '.join(arguments)}")
    verdicts = [judged(row, folder) for row in roles.ROWS]
    missing = [verdict for verdict in verdicts if verdict.factor is None]
    over = [(verdict.factor, verdict) for verdict in verdicts if verdict.factor is not None]
    rows = [[each.row.role, each.row.cost, "-", each.state] for each in missing]
    for factor, each in sorted(over, key=lambda pair: -pair[0]):
        if factor > 1:
            text = f"{times(factor)}, {each.stretched}" if each.stretched else times(factor)
            rows.append([each.row.role, each.row.cost, text, each.state])
    return table(["role", "cost", "over the budget", "state"], rows)


TABLES: dict[str, Callable[[list[str], Path], list[str]]] = {
    "slopes": slopes,
    "budget": budget,
    "breaks-first": breaks_first,
    "time": time_figures.time,
    "failure": failure_figures.failure,
    "assumptions": assumption_figures.assumptions,
    "cold-start": cold_start.cold_start,
    "machines": machines.machines,
    "ladder": ladder_table.ladder,
}
