"""A measurement that is described now and made when it is asked for."""

from collections.abc import Sequence
from functools import partial

from benchmarks.scale.measurement import Measurements, Play, measure


def deferred(
    name: str, meaning: str, unit: str, parameter: str, sizes: Sequence[int], play: Play, conditions: str
) -> Measurements:
    """{name: function that makes the measurement}, for a module's MEASUREMENTS; arguments as of `measure`."""
    return {name: partial(measure, name, meaning, unit, parameter, sizes, play, conditions)}
