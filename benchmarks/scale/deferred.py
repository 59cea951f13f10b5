"""A measurement that is described now and made when it is asked for."""

from benchmarks.scale.measurement import measure


def deferred(name, meaning, unit, parameter, sizes, play, conditions):
    """{name: function that makes the measurement}, for a module's MEASUREMENTS."""
    return {name: lambda: measure(name, meaning, unit, parameter, sizes, play, conditions)}
