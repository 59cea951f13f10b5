"""What every ladder does: it plays rung after rung, predicts each before it plays it, and keeps all."""

from __future__ import annotations

import argparse
import json
import os
import sys
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from benchmarks.scale.limits import MEGABYTE, Limits, machine_memory
from benchmarks.scale.prediction import errors, predict

Rung = dict[str, Any]  # as the ladder's file has it


@dataclass(frozen=True)
class PlayedRung:
    """One rung's figures, why it stopped early ("" where it did not), and what else the file has of it."""

    figures: dict[str, Any]
    stopped: str = ""
    more: dict[str, Any] = field(default_factory=dict)


KeepRungs = Callable[[list[Rung], str], object]  # takes all rungs so far, and why the ladder has stopped


def climb(
    sizes: Iterable[int],
    play: Callable[[int], PlayedRung],
    keep: KeepRungs,
    rungs: Iterable[Rung] = (),
) -> None:
    """Play rung after rung until one stops early; `keep(rungs, stopped)` is called after each.

    `rungs` were played before, all smaller than `sizes`.
    """
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


def show(rung: Rung) -> None:
    """Print a rung as lines."""
    print(f"\n{rung['size']} gateways" + (f", stopped: {rung['stopped']}" if rung["stopped"] else ""))
    for name, value in rung["measured"].items():
        text = "never" if value is None else format(value, ".4g")
        print(f"  {name:<28} {text}{_prediction_text(rung, name)}")
    sys.stdout.flush()


def _prediction_text(rung: Rung, name: str) -> str:
    predicted = rung["predicted"].get(name)
    if predicted is None:
        return ""
    text = f"   predicted {predicted['value']:.4g} ({predicted['formula']})"
    if name in rung["error_percent"]:
        text += f", error {rung['error_percent'][name]:+.1f}%"
    return text


def add_arguments(parser: argparse.ArgumentParser, *, rungs: str, seconds: float, name: str) -> None:
    """Add the options of every ladder, with these defaults."""
    parser.add_argument("--rungs", default=rungs, help="sizes, the smallest first")
    parser.add_argument("--seconds", type=float, default=seconds, help="of the whole ladder")
    parser.add_argument("--memory", type=float, help="MB; half of the machine's by default")
    parser.add_argument("--name", default=name, help="of the file that keeps the rungs")


def sizes_of(arguments: argparse.Namespace) -> list[int]:
    """The sizes of the rungs."""
    return [int(size) for size in arguments.rungs.split(",")]


def complete_rungs(folder: Path, name: str) -> list[Rung]:
    """The rungs of the ladder's file that ended by themselves."""
    ladder = json.loads((folder / f"ladder-{name}.json").read_text())
    return [rung for rung in ladder["rungs"] if not rung["stopped"]]


def limits_of(arguments: argparse.Namespace) -> Limits:
    """The limits, from now on."""
    return Limits(arguments.memory or machine_memory("MemTotal") / MEGABYTE / 2, arguments.seconds)


@dataclass(frozen=True)
class LadderFile:
    """Where the rungs of a ladder are stored, with its conditions and limits."""

    folder: Path
    name: str
    limits: Limits
    conditions: Mapping[str, Any]
    more_limits: Mapping[str, Any] = field(default_factory=dict)

    def keep(self, rungs: Sequence[Rung], stopped: str) -> None:
        """Write all rungs so far; `stopped`: why the ladder has, "" while it goes on."""
        limits = {"memory_mb": round(self.limits.memory), "seconds": self.limits.seconds}
        content = {
            **self.conditions,
            "began": datetime.now(UTC).isoformat(timespec="seconds"),
            "cores": os.cpu_count(),
            "load_average": os.getloadavg(),
            "limits": {**limits, **self.more_limits},
            "rungs": rungs,
            "stopped": stopped,
        }
        self.folder.mkdir(parents=True, exist_ok=True)
        (self.folder / f"ladder-{self.name}.json").write_text(json.dumps(content, indent=1) + "\n")
