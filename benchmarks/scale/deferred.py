"""A measurement that is described now and made when it is asked for."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

from benchmarks.scale.measurement import Measurement, Play, measure

Measurements = dict[str, Callable[[], Measurement]]  # by name, what makes the measurement


def deferred(
    name: str,
    meaning: str,
    unit: str,
    parameter: str,
    sizes: Iterable[Any],
    play: Play,
    conditions: str,
) -> Measurements:
    """One entry for a module's MEASUREMENTS."""
    return {name: lambda: measure(name, meaning, unit, parameter, sizes, play, conditions)}
