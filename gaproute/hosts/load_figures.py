"""Figures of load reports as they come from hosts: what makes no sense counts as not reported."""

import math

MAX_COUNT = 1 << 20  # above any number of requests or instances that a host can have


def valid_figure(figure: float | None) -> float | None:
    """The figure, if it is a finite number that is not negative."""
    return figure if figure is not None and 0 <= figure < math.inf else None  # not of NaN either


def parse_figure(value: object) -> float | None:
    """As `valid_figure`, of what came as a number or as text."""
    try:
        return valid_figure(float(value))  # type: ignore[arg-type]
    except (TypeError, ValueError):
        return None


def bounded_count(figure: float | None) -> int | None:
    """A valid figure as a number of things, `MAX_COUNT` at most."""
    return None if figure is None else int(min(figure, MAX_COUNT))
