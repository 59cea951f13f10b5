"""Faults at scale on the simulated clock: `python -m benchmarks.scale.faults [NAME ...] [--size N]`.

Each scenario is a function of (size, seed) that gives figures by name. Results are stored in
docs/measured/scale/ladders/ladder-faults.json by scenario and size; those of earlier runs stay.
"""

from __future__ import annotations

import argparse
import json
import time

from benchmarks.scale import cell_faults, fleet_faults, list_faults, membership_faults
from benchmarks.scale.measurement import LADDERS
from benchmarks.scale.watched import Figures, Scenario

FILE = LADDERS / "ladder-faults.json"
SCENARIOS: dict[str, Scenario] = {
    scenario.__name__: scenario
    for scenario in (
        *fleet_faults.SCENARIOS,
        *list_faults.SCENARIOS,
        *membership_faults.SCENARIOS,
        *cell_faults.SCENARIOS,
    )
}


def record(name: str, size: int, seed: int, figures: Figures) -> None:
    """Write a scenario's figures into the file, beside those that are there."""
    played = json.loads(FILE.read_text()) if FILE.exists() else {}
    played.setdefault(name, {})[f"{size} gateways, seed {seed}"] = figures
    LADDERS.mkdir(parents=True, exist_ok=True)
    FILE.write_text(json.dumps(played, indent=1) + "\n")


def main() -> None:
    """Run the command line."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.faults", description=__doc__)
    parser.add_argument("names", nargs="*", choices=[*SCENARIOS, []])
    parser.add_argument("--size", type=int, default=250)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    for name in arguments.names or SCENARIOS:
        began = time.process_time()
        figures = SCENARIOS[name](arguments.size, arguments.seed)
        figures["run_cpu_s"] = round(time.process_time() - began, 1)
        record(name, arguments.size, arguments.seed, figures)
        print(name, arguments.size, json.dumps(figures), flush=True)


if __name__ == "__main__":
    main()
