"""Single figures in a page's text, each named by a file and a description."""

from pathlib import Path

from benchmarks.scale import roles
from benchmarks.scale.budget import judged
from benchmarks.scale.fit import fit
from benchmarks.scale.measurement import Measurement
from benchmarks.scale.tables import PageError, size_named, times
from benchmarks.scale.text import number, share


def figure(file: str, description: str, folder: Path) -> str:
    """The figure as text. Raises PageError and MeasurementError."""
    if file == "size.py":
        name, _, unit = description.partition(" ")
        if unit not in ("", "share"):
            raise PageError(f"a size has no {unit}")
        return share(size_named(name)) if unit else number(size_named(name))
    if file == "roles.py":
        return _of_row(description, folder)
    if file.endswith(".json"):
        return _of_measurement(Measurement.load(file.removesuffix(".json"), folder), description)
    raise PageError(f"no figures come from {file}")


def _of_row(description: str, folder: Path) -> str:
    """`KEY predicted`, `KEY budget`, `KEY factor` or `KEY state`."""
    key, _, what = description.partition(" ")
    row = next((row for row in roles.ROWS if row.key == key), None)
    if row is None:
        raise PageError(f"no such row: {key}")
    verdict = judged(row, folder)
    if what == "budget":
        return f"{number(row.budget)} {row.unit}"
    if what == "state":
        return verdict.state
    if what in ("predicted", "factor"):
        if verdict.predicted is None or verdict.factor is None:
            raise PageError(f"{key} is missing: nothing is predicted for it")
        return f"{number(verdict.predicted)} {row.unit}" if what == "predicted" else times(verdict.factor)
    raise PageError(f"a row has no {what or 'nothing'}")


def _of_measurement(measurement: Measurement, description: str) -> str:
    """`measured at SIZE`, `predicted at SIZE`, `stretch at SIZE`, `residual` or `spread`."""
    found = fit(measurement)
    if description == "residual":
        return share(found.residual)
    if description == "spread":
        return share(max(point.spread for point in measurement.points))
    what, _, named = description.partition(" at ")
    at = size_named(named)
    if what == "predicted":
        return f"{number(found.predict(at))} {measurement.unit}"
    if what == "stretch":
        return f"{number(found.stretch(at), digits=2)} times"
    if what != "measured":
        raise PageError(f"a measurement has no {description}")
    values = [point.value for point in measurement.points if point.size == at]
    if not values:
        raise PageError(f"{measurement.name} was not measured at {number(at)}")
    return f"{number(values[0])} {measurement.unit}"
