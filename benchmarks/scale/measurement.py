"""One measured cost: its sizes, the plays at each, and the file in which it is stored."""

import json
from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, field
from pathlib import Path
from statistics import median
from typing import TypeAlias

from gaproute.errors import GaprouteError

MEASURED = Path(__file__).parents[2] / "docs" / "measured" / "scale"
LADDERS = MEASURED / "ladders"  # runs of whole fleets, which are no costs by size
LEAST_SIZES = 4  # that a measurement needs
PLAYS = 3  # of each size, with seeds from 1 on
UNITS = (
    "us",
    "ms",
    "ms/s",
    "s",
    "bytes",
    "bytes/s",
    "MB",
    "messages/s",
    "calls/s",
    "entries",
    "loads/s",
    "share",
)


class MeasurementError(GaprouteError, ValueError):
    """A measurement is incomplete, or its file is missing or contains something else."""


@dataclass(frozen=True)
class Point:
    """One size and the value that each play gave there."""

    size: float
    plays: list[float]

    @property
    def value(self) -> float:
        """The median of the plays."""
        return median(self.plays)

    @property
    def spread(self) -> float:
        """Largest minus least play over the median; 0 where the median is 0."""
        return (max(self.plays) - min(self.plays)) / self.value if self.value else 0.0


@dataclass(frozen=True)
class Measurement:
    """A cost by size. `unit` is of the values, `parameter` says what the sizes count."""

    name: str
    meaning: str
    unit: str
    parameter: str
    points: list[Point] = field(default_factory=list)
    conditions: str = ""

    def save(self, folder: Path = MEASURED) -> Path:
        """Write the measurement's file. Raises MeasurementError for too few sizes or an unknown unit."""
        if self.unit not in UNITS:
            raise MeasurementError(f"{self.name}: {self.unit!r} is none of {', '.join(UNITS)}")
        if len(self.points) < LEAST_SIZES:
            raise MeasurementError(
                f"{self.name}: {LEAST_SIZES} sizes are needed, {len(self.points)} measured"
            )
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / f"{self.name}.json"
        path.write_text(json.dumps(asdict(self), indent=1) + "\n")
        return path

    @classmethod
    def load(cls, name: str, folder: Path = MEASURED) -> "Measurement":
        """Read a measurement by its name. Raises MeasurementError."""
        path = folder / f"{name}.json"
        try:
            content = json.loads(path.read_text())
            points = [Point(**point) for point in content.pop("points")]
            return cls(**content, points=points)
        except (OSError, ValueError, TypeError, KeyError) as error:
            raise MeasurementError(f"{path}: {error!r}") from error


Play: TypeAlias = Callable[[int, int], float]  # of size and seed: one value of the cost
Measure: TypeAlias = Callable[[], Measurement]
Measurements: TypeAlias = dict[str, Measure]  # by the name of the measurement that each one makes


def measure(
    name: str,
    meaning: str,
    unit: str,
    parameter: str,
    sizes: Sequence[int],
    play: Play,
    conditions: str = "",
    plays: int = PLAYS,
) -> Measurement:
    """Call `play(size, seed)` for each size and seed; each call gives one value in `unit`."""
    points = [Point(size, [play(size, seed) for seed in range(1, plays + 1)]) for size in sizes]
    return Measurement(name, meaning, unit, parameter, points, conditions)
