"""Predictions of a rung's figures from the smaller rungs, made before it runs, and their errors after."""

from benchmarks.scale.fit import fit
from benchmarks.scale.measurement import Measurement, Point

LEAST = 3  # smaller rungs that a prediction needs: a curve of two figures fits any two
NEVER_PREDICTED = ("simulated_s", "events")


def predict(rungs, size):
    """{figure: {"value", "formula"}} for the size; `rungs`: [(size, figures)], all smaller."""
    names = [name for _, figures in rungs for name in figures if name not in NEVER_PREDICTED]
    found = {}
    for name in dict.fromkeys(names):
        points = [
            Point(smaller, [figures[name]]) for smaller, figures in rungs if figures.get(name) is not None
        ]
        if len(points) < LEAST:
            continue
        curve = fit(Measurement(name, "", "", "gateways", points))
        found[name] = {"value": curve.predict(size), "formula": curve.formula}
    return found


def errors(predicted, figures):
    """{figure: error of the prediction in % of what was measured}, where both are there."""
    return {
        name: round(100 * (told["value"] - figures[name]) / figures[name], 1)
        for name, told in predicted.items()
        if figures.get(name)
    }
