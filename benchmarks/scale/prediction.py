"""Predictions of a rung's figures from the smaller rungs, made before it runs, and their errors after."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Any

from benchmarks.scale.fit import fit
from benchmarks.scale.measurement import Measurement, Point

LEAST = 3  # smaller rungs that a prediction needs: a curve of two figures fits any two
NEVER_PREDICTED = ("simulated_s", "events")

Figures = Mapping[str, Any]  # by name; None where it was not reached
Prediction = dict[str, dict[str, Any]]  # by figure: `value` and `formula`, as the ladder's file has them


def predict(rungs: Sequence[tuple[int, Figures]], size: int) -> Prediction:
    """The figures for the size, from rungs that are all smaller: (size, figures)."""
    names = [name for _, figures in rungs for name in figures if name not in NEVER_PREDICTED]
    predicted: Prediction = {}
    for name in dict.fromkeys(names):
        points = [
            Point(smaller, [figures[name]]) for smaller, figures in rungs if figures.get(name) is not None
        ]
        if len(points) < LEAST:
            continue
        curve = fit(Measurement(name, "", "", "gateways", points))
        predicted[name] = {"value": curve.predict(size), "formula": curve.formula}
    return predicted


def errors(predicted: Prediction, figures: Figures) -> dict[str, float]:
    """By figure: the error of the prediction in % of what was measured, where both are there."""
    return {
        name: round(100 * (prediction["value"] - figures[name]) / figures[name], 1)
        for name, prediction in predicted.items()
        if figures.get(name)
    }
