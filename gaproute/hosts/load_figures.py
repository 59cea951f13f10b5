"""Validates the figures of load reports from hosts; an invalid figure counts as not reported."""

import math

MAX_COUNT = 1 << 20  # more requests or instances than any host can have


def valid_figure(figure: float | None) -> float | None:
    """The figure, or None unless it is a finite number that is not negative."""
    return figure if figure is not None and 0 <= figure < math.inf else None  # false for NaN


def parse_figure(value: object) -> float | None:
    """The valid figure that a number or a text stands for; None for anything else."""
    try:
        return valid_figure(float(value))  # type: ignore[arg-type]
    except (TypeError, ValueError):
        return None


def bounded_count(figure: float | None) -> int | None:
    """A valid figure as a whole number of at most `MAX_COUNT`; None where there is no figure."""
    return None if figure is None else int(min(figure, MAX_COUNT))
