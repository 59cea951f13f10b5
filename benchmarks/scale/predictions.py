"""What the smaller sizes of a measurement say of each larger one.

`python -m benchmarks.scale.predictions PREFIX` writes docs/measured/scale/predictions/PREFIX.json.
"""

import json
import sys
from dataclasses import asdict, dataclass, replace

from benchmarks.scale.fit import fit
from benchmarks.scale.measurement import MEASURED, Measurement

LEAST_SMALLER = 2


@dataclass(frozen=True)
class Prediction:
    """`measured` over `predicted` is the factor by which the fit of the smaller sizes was wrong."""

    size: float
    predicted: float
    measured: float
    formula: str

    @property
    def factor(self) -> float:
        """Measured over predicted."""
        return self.measured / self.predicted if self.predicted else float("inf")


def predictions(measurement: Measurement) -> list[Prediction]:
    """For each size that has enough smaller ones."""
    found = []
    for place in range(LEAST_SMALLER, len(measurement.points)):
        point = measurement.points[place]
        smaller = fit(replace(measurement, points=measurement.points[:place]))
        found.append(Prediction(point.size, smaller.predict(point.size), point.value, smaller.formula))
    return found


def main(prefix: str) -> None:
    """Predict for all measurements of that prefix; print and store the result."""
    stored = {}
    for path in sorted(MEASURED.glob(f"{prefix}-*.json")):
        measurement = Measurement.load(path.stem)
        made = predictions(measurement)
        stored[measurement.name] = [asdict(each) | {"factor": round(each.factor, 3)} for each in made]
        factors = ", ".join(f"{each.size:.0f}: {each.factor:.2f}" for each in made)
        print(f"{measurement.name}: measured over predicted {factors}")
    folder = MEASURED / "predictions"
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{prefix}.json").write_text(json.dumps(stored, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1])
