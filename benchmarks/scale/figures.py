"""Single figures in a page's text, each told by a file's name and a few words."""

from __future__ import annotations

from pathlib import Path

from benchmarks.scale import roles
from benchmarks.scale.budget import judged
from benchmarks.scale.fit import fit
from benchmarks.scale.measurement import Measurement
from benchmarks.scale.tables import PageError, size_named, times
from benchmarks.scale.text import number, share


def figure(file: str, words: str, folder: Path) -> str:
    """The figure as text. Errors: PageError, MeasurementError."""
    if file == "size.py":
        name, _, unit = words.partition(" ")
        if unit not in ("", "share"):
            raise PageError(f"a size has no {unit}")
        return share(size_named(name)) if unit else number(size_named(name))
    if file == "roles.py":
        return _of_row(words, folder)
    if file.endswith(".json"):
        return _of_measurement(Measurement.load(file.removesuffix(".json"), folder), words)
    raise PageError(f"no figures come from {file}")


def _of_row(words: str, folder: Path) -> str:
    """`KEY predicted`, `KEY budget`, `KEY factor` or `KEY state`."""
    key, _, what = words.partition(" ")
    row = next((row for row in roles.ROWS if row.key == key), None)
    if row is None:
        raise PageError(f"no such row: {key}")
    verdict = judged(row, folder)
    if what in ("predicted", "factor") and (verdict.predicted is None or verdict.factor is None):
        raise PageError(f"{key} is missing: nothing is predicted for it")
    if what == "predicted" and verdict.predicted is not None:
        return f"{number(verdict.predicted)} {row.unit}"
    if what == "budget":
        return f"{number(row.budget)} {row.unit}"
    if what == "factor" and verdict.factor is not None:
        return times(verdict.factor)
    if what == "state":
        return verdict.state
    raise PageError(f"a row has no {what or 'nothing'}")


def _of_measurement(measured: Measurement, words: str) -> str:
    """`measured at SIZE`, `predicted at SIZE`, `stretch at SIZE`, `residual` or `spread`."""
    fitted = fit(measured)
    if words == "residual":
        return share(fitted.residual)
    if words == "spread":
        return share(max(point.spread for point in measured.points))
    what, _, size_name = words.partition(" at ")
    at = size_named(size_name)
    if what == "predicted":
        return f"{number(fitted.predict(at))} {measured.unit}"
    if what == "stretch":
        return f"{number(fitted.stretch(at), digits=2)} times"
    if what != "measured":
        raise PageError(f"a measurement has no {words}")
    values = [point.value for point in measured.points if point.size == at]
    if not values:
        raise PageError(f"{measured.name} was not measured at {number(at)}")
    return f"{number(values[0])} {measured.unit}"
