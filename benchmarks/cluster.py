"""200 gateways and 120 hosts as processes, with links and faults between them: what a play takes, and what
holds.

    python benchmarks/cluster.py --plays 3 --out DIR [--script fleet-cluster] [--direct] [--quiet-wire]

Plays the script at seeds 1, 2, ...; a row for each play, void and failed ones too, as JSON in
DIR/cluster.json and as lines on standard output. `--direct`: without the links; `--quiet-wire`: with them,
without the script's faults.
"""

from __future__ import annotations

import argparse
import json
import statistics
import subprocess
import sys
from pathlib import Path
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.trial_command import trial_command
from gaproute.cluster.script import read_script

FAULT_LINES = ("fault", "strike", "list", "trouble")  # first words of the lines of a script's faults
VERDICT_KEYS = (
    "seed",
    "verdict",
    "void",
    "service",
    "ready_s",
    "took_s",
    "late_ms",
    "gateways_waited",
    "relays",
    "orders",
    "fetches",
    "windows",
)
WIRE_KEYS = ("bytes", "pieces", "opened", "messages")  # of all link emulators together
WHOLE_DAY = 0.9  # share of the day after whose end a host that lived through it still had requests

Row = dict[str, Any]


class Evenness(NamedTuple):
    """Of the requests that arrived at each host: standard deviation over mean, and most over mean."""

    coefficient: float | None
    most: float | None


def variant(script: str, *, direct: bool, quiet: bool, crowded: bool) -> str:
    """The script's text, without links, without faults, with gateways before other work."""
    text: str = read_script(script).text
    if crowded:
        text = text.replace("\nrig ", "\nrig crowded yes ", 1)
    if direct:
        text = text.replace("\nrig ", "\nrig direct yes ", 1)
    if quiet:
        text = "\n".join(line for line in text.split("\n") if line.split(" ")[0] not in FAULT_LINES)
    return text


def evenness(out: Path, begun: int, length: int) -> Evenness:
    """Of the hosts that lived through the day, which began at `begun` and took `length` ns."""
    counts = []
    for tap in sorted(out.glob("host-*.1.tap")):
        at = [json.loads(line)["at"] for line in tap.read_bytes().split(b"\n") if b'"what":"task"' in line]
        if at and at[-1] > begun + WHOLE_DAY * length:
            counts.append(len(at))
    mean = statistics.mean(counts) if counts else 0
    if not mean:
        return Evenness(None, None)
    return Evenness(round(statistics.pstdev(counts) / mean, 3), round(max(counts) / mean, 2))


def play(script: Path, seed: int, out: Path) -> Row:
    """Plays the script once; the row of that play."""
    subprocess.run(trial_command(script, seed=seed, out=out), stdout=subprocess.DEVNULL)
    verdict = json.loads((out / "verdict.json").read_text())
    row: Row = {key: verdict.get(key) for key in VERDICT_KEYS}
    broken = [violation["rule"] for violation in verdict.get("broken", ())]
    row["broken"] = {rule: broken.count(rule) for rule in sorted(set(broken))}
    row["evenness"] = evenness(out, begin_of_day(out), read_script(str(script)).day.length)
    wires = [counts for counts in verdict["wires"] if counts]
    row["wire"] = {key: sum(counts[key] for counts in wires) for key in WIRE_KEYS}
    return row


def begin_of_day(out: Path) -> int:
    """When the day began, ns; 0 where it never did."""
    lines = (out / "run.tap").read_bytes().split(b"\n")
    at: int = next((json.loads(line)["at"] for line in lines if b'"begun"' in line), 0)
    return at


def show(seed: int, row: Row) -> None:
    """Prints a play in one line."""
    late = ", ".join(f"{part} {late:.0f}" for part, late in row["late_ms"].items())
    print(
        f"seed {seed}: {row['verdict']}; service {row['service'] and round(row['service'], 3)}; ready "
        f"{row['ready_s']} s; late ms: {late}; waited {row['gateways_waited']:.3f}; "
        f"broken {row['broken']}; "
        f"evenness {tuple(row['evenness'])}",
        flush=True,
    )


def options() -> argparse.Namespace:
    """The command's arguments."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--script", default="fleet-cluster")
    parser.add_argument("--plays", type=int, default=1)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--direct", action="store_true")
    parser.add_argument("--quiet-wire", action="store_true")
    parser.add_argument("--crowded", action="store_true", help="the machine has other work")
    return parser.parse_args()


def main() -> None:
    """Plays one seed after another."""
    chosen = options()
    chosen.out.mkdir(parents=True, exist_ok=True)
    script: Path = chosen.out / "play.script"
    text = variant(chosen.script, direct=chosen.direct, quiet=chosen.quiet_wire, crowded=chosen.crowded)
    script.write_text(text)
    rows = []
    for seed in range(chosen.first, chosen.first + chosen.plays):
        rows.append(play(script, seed, chosen.out / f"seed-{seed}"))
        (chosen.out / "cluster.json").write_text(json.dumps(rows, indent=1))
        show(seed, rows[-1])


if __name__ == "__main__":
    main()
