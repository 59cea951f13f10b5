"""The scale run: rungs of ever more hollow gateways, each predicted from the smaller ones before it runs.

    python -m benchmarks.scale.ladder [--rungs 60,125,250,1000,4000,16000] [--seconds 1200] [--memory MB]
        [--parts membership,hosts,demand,leases] [--name simulated] [--seed 1]

Each rung runs in a process of its own, which ends with this one whatever ends it, and leaves nothing
behind. The ladder stops by itself at half of the machine's memory, or when its time is over, and says where
and why. What has ended is kept in docs/measured/scale/ladder-NAME.json after each rung.
"""

import argparse
import json
import os
import subprocess
import sys
import time
from datetime import UTC, datetime

from benchmarks.scale.children import command
from benchmarks.scale.limits import MEGABYTE, Limits, machine_memory
from benchmarks.scale.measurement import MEASURED
from benchmarks.scale.prediction import errors, predict
from gaproute.hollow import PARTS

RUNGS = "60,125,250,1000,4000,16000"


def play(size, told, limits):
    """What the rung's process printed: {"figures", "stopped"}."""
    left = limits.seconds - (time.monotonic() - limits.began)
    words = [
        "benchmarks.scale.rung",
        size,
        "--seed",
        told.seed,
        "--memory",
        limits.memory,
        "--seconds",
        max(0, left),
    ]
    words += ["--parts", told.parts, "--hosts", told.hosts]
    made = subprocess.Popen(command(words), stdout=subprocess.PIPE, text=True)
    try:
        printed, _ = made.communicate()
    finally:
        if made.poll() is None:
            made.kill()
            made.wait()
    if made.returncode:
        return {"figures": {}, "stopped": f"the rung's process ended with {made.returncode}"}
    return json.loads(printed.splitlines()[-1])


def climb(told, limits, keep):
    """Plays rung after rung; `keep(rungs, stopped)` after each."""
    rungs, measured = [], []
    for size in map(int, told.rungs.split(",")):
        predicted = predict(measured, size)
        found = play(size, told, limits)
        figures, stopped = found["figures"], found["stopped"]
        rungs.append(
            {
                "size": size,
                "predicted": predicted,
                "measured": figures,
                "error_percent": errors(predicted, figures),
                "stopped": stopped,
            }
        )
        keep(rungs, f"at {size} gateways: {stopped}" if stopped else "")
        show(rungs[-1])
        if stopped:
            return
        measured.append((size, figures))


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


def main():
    """The command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.ladder", description=__doc__)
    parser.add_argument("--rungs", default=RUNGS, help="sizes, the smallest first")
    parser.add_argument("--seconds", type=float, default=1200, help="of the whole ladder")
    parser.add_argument("--memory", type=float, help="MB; half of the machine's by default")
    parser.add_argument("--parts", default=",".join(PARTS))
    parser.add_argument("--hosts", type=int, default=240)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--name", default="simulated", help="of the file that keeps the rungs")
    told = parser.parse_args()
    memory = told.memory or machine_memory("MemTotal") / MEGABYTE / 2
    limits = Limits(memory, told.seconds)

    def keep(rungs, stopped):
        content = {
            "clock": "simulated",
            "began": datetime.now(UTC).isoformat(timespec="seconds"),
            "seed": told.seed,
            "parts": told.parts.split(","),
            "hosts": told.hosts,
            "cores": os.cpu_count(),
            "load_average": os.getloadavg(),
            "limits": {"memory_mb": round(memory), "seconds": told.seconds},
            "rungs": rungs,
            "stopped": stopped,
        }
        MEASURED.mkdir(parents=True, exist_ok=True)
        (MEASURED / f"ladder-{told.name}.json").write_text(json.dumps(content, indent=1) + "\n")

    climb(told, limits, keep)


if __name__ == "__main__":
    main()
