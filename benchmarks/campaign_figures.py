"""What the measurements of campaigns share: how figures are written, and a random course of spare lanes."""

import random
from collections.abc import Sequence
from statistics import median
from typing import Any

Row = dict[str, Any]
HOST_LANES = 8


def spread(figures: Sequence[float], digits: int = 2) -> str:
    """The median, with the least and the most in brackets."""
    least, middle, most = min(figures), median(figures), max(figures)
    return f"{middle:.{digits}f} ({least:.{digits}f}-{most:.{digits}f})"


def spare_course(chance: random.Random, slots: int, level: float, off: float) -> list[float]:
    """Spare lanes over time: a level, swings that last minutes, bursts of production."""
    swing, course, burst = 0.0, [], 0
    for _ in range(slots):
        swing = 0.8 * swing + chance.gauss(0, off)
        burst = burst - 1 if burst else chance.randrange(2, 6) if chance.random() < 0.04 else 0
        course.append(max(0.0, min(1.0, level + swing - 0.4 * bool(burst))))
    return course
