"""Draws the kept tables: `python benchmarks/charts.py [--folder docs/measured]`; a PNG beside each known
table."""

import argparse
import json
from pathlib import Path

import matplotlib

matplotlib.use("Agg")
from matplotlib import pyplot

# table: (what a group of bars is, what a bar in it is, figures drawn)
BARS = {
    "learning": ("restarted", "told by", ("2 s", "fetches in 30 s")),
    "learning-untried": ("restarted", "told by", ("2 s", "fetches in 30 s")),
    "learning-wrong": ("restarted", "told", ("2 s", "fetches in 30 s")),
    "connections": (
        "connections",
        "form",
        ("bytes each", "% of a core at 0.1%", "% of a core at 1.0%", "us a task at 1.0%"),
    ),
    "membership": ("gateways", "lost", ("all know, s", "bytes/s", "suspicions")),
    "storm": ("connections", "admission", ("calm p99", "storm p99", "storm's p99, ms")),
    "timers": ("timers", "form", ("us a move", "bytes each")),
    "telling": ("tasks/s", "learners", ("p99, ms", "telling, % of a core")),
}


def draw(path, group, bar, figures, rows):
    groups, bars = (list(dict.fromkeys(row[each] for row in rows)) for each in (group, bar))
    figure, axes = pyplot.subplots(1, len(figures), figsize=(4.2 * len(figures), 3.2))
    for axis, name in zip([axes] if len(figures) == 1 else axes, figures, strict=True):
        for place, each in enumerate(bars):
            heights = [
                next((row[name] for row in rows if row[group] == one and row[bar] == each), 0)
                for one in groups
            ]
            axis.bar(
                [number + 0.8 * place / len(bars) for number in range(len(groups))],
                heights,
                0.8 / len(bars),
                label=str(each),
            )
        axis.set_xticks([number + 0.4 - 0.4 / len(bars) for number in range(len(groups))], map(str, groups))
        axis.set_title(name, fontsize=10)
        axis.set_xlabel(group)
    (axis if len(figures) == 1 else axes[0]).legend(title=bar, fontsize=8)
    figure.tight_layout()
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--folder", default="docs/measured")
    folder = Path(arguments.parse_args().folder)
    for name, (group, bar, figures) in BARS.items():
        table = folder / f"{name}.json"
        if table.exists():
            rows = json.loads(table.read_text())["rows"]
            draw(folder / f"{name}.png", group, bar, figures, rows)
            print(folder / f"{name}.png")


if __name__ == "__main__":
    main()
