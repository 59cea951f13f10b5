"""Costs of a gateway that goes by cells, by the fleet's size: taken from the ladders that were played."""

import json
from dataclasses import dataclass
from pathlib import Path

from benchmarks.scale.measurement import LADDERS, Measurement, Point

PATTERN = "ladder-cells*.json"  # a ladder a seed
LEAST_SIZE = 250  # gateways; smaller rungs are there for the predictions alone


@dataclass(frozen=True)
class Taken:
    """A ladder's figure as a measurement; `factor` brings it into `unit`."""

    figure: str
    meaning: str
    unit: str
    factor: float = 1


TAKEN = {
    "cells-ladder-bytes": Taken(
        "day_bytes_per_s", "bytes that all control parts send with headers", "bytes/s"
    ),
    "cells-ladder-memory": Taken("memory_mb", "memory of all control parts' objects", "MB"),
    "cells-ladder-change": Taken("change_known_s", "until all gateways hold a changed row", "ms", 1_000),
    "cells-ladder-death": Taken("death_known_s", "until the own cell holds a gateway dead", "s"),
    "cells-ladder-newcomer": Taken("newcomer_hosts_s", "until a newcomer has table and hosts", "s"),
}


def taken(name: str, folder: Path = LADDERS) -> Measurement:
    """The measurement of that name from all ladders with cells in the folder."""
    told, plays, seeds = TAKEN[name], {}, []
    for path in sorted(folder.glob(PATTERN)):
        kept = json.loads(path.read_text())
        seeds.append(str(kept["seed"]))
        for rung in kept["rungs"]:
            value = rung["measured"].get(told.figure)
            if value is not None and rung["size"] >= LEAST_SIZE:
                plays.setdefault(rung["size"], []).append(told.factor * value)
    points = [Point(size, plays[size]) for size in sorted(plays)]
    conditions = f"ladders with cells, seeds {', '.join(seeds)}; 46,000 changes a day"
    return Measurement(name, told.meaning, told.unit, "gateways in the fleet", points, conditions)


MEASUREMENTS = {name: lambda name=name: taken(name) for name in TAKEN}
