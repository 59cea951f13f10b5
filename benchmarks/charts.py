"""Draws the measured tables: `python benchmarks/charts.py [--folder docs/measured]`; a PNG beside each known
table."""

from __future__ import annotations

import argparse
import json
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import matplotlib  # type: ignore[import-not-found]

matplotlib.use("Agg")
from matplotlib import pyplot

BAR_SHARE = 0.8  # of a group's width that its bars take
WIDTH, HEIGHT = 4.2, 3.2  # inches of one figure
DPI = 100

Row = dict[str, Any]


class Chart(NamedTuple):
    """What is drawn of a table: the column of a group of bars, that of a bar in it, and those drawn."""

    group: str
    bar: str
    figures: tuple[str, ...]


CHARTS = {
    "learning": Chart("restarted", "told by", ("2 s", "fetches in 30 s")),
    "learning-untried": Chart("restarted", "told by", ("2 s", "fetches in 30 s")),
    "learning-wrong": Chart("restarted", "told", ("2 s", "fetches in 30 s")),
    "connections": Chart(
        "connections",
        "form",
        ("bytes each", "% of a core at 0.1%", "% of a core at 1.0%", "us a task at 1.0%"),
    ),
    "membership": Chart("gateways", "lost", ("all know, s", "bytes/s", "suspicions")),
    "storm": Chart("connections", "admission", ("calm p99", "storm p99", "storm's p99, ms")),
    "timers": Chart("timers", "form", ("us a move", "bytes each")),
    "telling": Chart("tasks/s", "learners", ("p99, ms", "telling, % of a core")),
}


def draw(path: Path, chart: Chart, rows: Sequence[Row]) -> None:
    """Draw the chart of a table into a file."""
    count = len(chart.figures)
    picture, axes = pyplot.subplots(1, count, figsize=(WIDTH * count, HEIGHT))
    all_axes = [axes] if count == 1 else list(axes)
    for axis, name in zip(all_axes, chart.figures, strict=True):
        draw_figure(axis, name, chart, rows)
    all_axes[0].legend(title=chart.bar, fontsize=8)
    picture.tight_layout()
    picture.savefig(path, dpi=DPI)
    pyplot.close(picture)


def draw_figure(axis: Any, name: str, chart: Chart, rows: Sequence[Row]) -> None:
    """Draw one figure as groups of bars; what a table lacks is 0."""
    groups = list(dict.fromkeys(row[chart.group] for row in rows))
    bars = list(dict.fromkeys(row[chart.bar] for row in rows))
    values = {(row[chart.group], row[chart.bar]): row[name] for row in reversed(rows)}
    width = BAR_SHARE / len(bars)
    for place, bar in enumerate(bars):
        heights = [values.get((group, bar), 0) for group in groups]
        left = [number + width * place for number in range(len(groups))]
        axis.bar(left, heights, width, label=str(bar))
    middle = [number + (BAR_SHARE - width) / 2 for number in range(len(groups))]
    axis.set_xticks(middle, map(str, groups))
    axis.set_title(name, fontsize=10)
    axis.set_xlabel(chart.group)


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--folder", default="docs/measured")
    folder = Path(options.parse_args().folder)
    for name, chart in CHARTS.items():
        table = folder / f"{name}.json"
        if table.exists():
            picture = folder / f"{name}.png"
            draw(picture, chart, json.loads(table.read_text())["rows"])
            print(picture)


if __name__ == "__main__":
    main()
