"""What every ladder does: it plays rung after rung, predicts each before it plays it, and keeps all."""

import json
import os
import sys
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from benchmarks.scale.limits import MEGABYTE, Limits, machine_memory
from benchmarks.scale.prediction import errors, predict


@dataclass(frozen=True)
class Played:
    """One rung's figures, why it stopped early ("" where it did not), and what else is kept of it."""

    figures: dict[str, Any]
    stopped: str = ""
    more: dict[str, Any] = field(default_factory=dict)


def climb(sizes: Iterable[int], play: Callable[[int], Played], keep: Callable, rungs=()):
    """Plays rung after rung until one stops early; `keep(rungs, stopped)` after each. `rungs`: played before,
    smaller than all of `sizes`."""
    rungs = list(rungs)
    measured = [(rung["size"], rung["measured"]) for rung in rungs]
    for size in sizes:
        predicted = predict(measured, size)
        played = play(size)
        rungs.append(
            {
                "size": size,
                "predicted": predicted,
                "measured": played.figures,
                "error_percent": errors(predicted, played.figures),
                **played.more,
                "stopped": played.stopped,
            }
        )
        keep(rungs, f"at {size} gateways: {played.stopped}" if played.stopped else "")
        show(rungs[-1])
        if played.stopped:
            return
        measured.append((size, played.figures))


def show(rung):
    """Prints a rung as lines."""
    print(f"\n{rung['size']} gateways" + (f", stopped: {rung['stopped']}" if rung["stopped"] else ""))
    for name, value in rung["measured"].items():
        predicted = rung["predicted"].get(name)
        more = ""
        if predicted is not None:
            more = f"   predicted {predicted['value']:.4g} ({predicted['formula']})"
            if name in rung["error_percent"]:
                more += f", error {rung['error_percent'][name]:+.1f}%"
        print(f"  {name:<28} {'never' if value is None else format(value, '.4g')}{more}")
    sys.stdout.flush()


def add_arguments(parser, rungs, seconds, name):
    """What every ladder is told: `rungs`, `seconds` and `name` are defaults."""
    parser.add_argument("--rungs", default=rungs, help="sizes, the smallest first")
    parser.add_argument("--seconds", type=float, default=seconds, help="of the whole ladder")
    parser.add_argument("--memory", type=float, help="MB; half of the machine's by default")
    parser.add_argument("--name", default=name, help="of the file that keeps the rungs")


def sizes(told):
    """The sizes of the rungs."""
    return map(int, told.rungs.split(","))


def whole_rungs(folder: Path, name: str):
    """The rungs of a kept ladder that ended by themselves."""
    kept = json.loads((folder / f"ladder-{name}.json").read_text())
    return [rung for rung in kept["rungs"] if not rung["stopped"]]


def limits(told):
    """The limits, from now on."""
    return Limits(told.memory or machine_memory("MemTotal") / MEGABYTE / 2, told.seconds)


def keeper(folder: Path, name: str, bounds: Limits, conditions: dict[str, Any], **more_limits):
    """`keep(rungs, stopped)`, which writes all so far into the ladder's file, with its conditions."""

    def keep(rungs, stopped):
        content = {
            **conditions,
            "began": datetime.now(UTC).isoformat(timespec="seconds"),
            "cores": os.cpu_count(),
            "load_average": os.getloadavg(),
            "limits": {"memory_mb": round(bounds.memory), "seconds": bounds.seconds, **more_limits},
            "rungs": rungs,
            "stopped": stopped,
        }
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"ladder-{name}.json").write_text(json.dumps(content, indent=1) + "\n")

    return keep
