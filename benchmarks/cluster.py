"""200 gateways and 120 hosts as processes, with a wire and faults between them: what a play takes, and what
holds.

    python benchmarks/cluster.py --plays 3 --out DIR [--script fleet-cluster] [--direct] [--quiet-wire]

Plays the script at seeds 1, 2, ...; a row for each play, void and failed ones too, as JSON in
DIR/cluster.json and as lines on standard output. `--direct`: without the wire; `--quiet-wire`: through it,
without the script's faults.
"""

import argparse
import json
import statistics
import subprocess
from pathlib import Path

from trial_command import trial_command

from gaproute.cluster.script import read_script


def variant(script, direct, quiet, crowded):
    """The script's text, without the wire, without what strikes, with gateways before other work."""
    text = read_script(script).text
    if crowded:
        text = text.replace("\nrig ", "\nrig crowded yes ", 1)
    if direct:
        text = text.replace("\nrig ", "\nrig direct yes ", 1)
    if quiet:
        text = "\n".join(
            line
            for line in text.split("\n")
            if line.split(" ")[0] not in ("fault", "strike", "list", "trouble")
        )
    return text


def evenness(out, begun, length):
    """(coefficient of hosts' tasks, most over mean) of the hosts that lived through the day: arrivals at
    them."""
    counts = []
    for tap in sorted(out.glob("host-*.1.tap")):
        at = [json.loads(line)["at"] for line in tap.read_bytes().split(b"\n") if b'"what":"task"' in line]
        if at and at[-1] > begun + 0.9 * length:
            counts.append(len(at))
    mean = statistics.mean(counts) if counts else 0
    if not mean:
        return None, None
    return round(statistics.pstdev(counts) / mean, 3), round(max(counts) / mean, 2)


def play(script, seed, out):
    subprocess.run(trial_command(script, seed=seed, out=out), stdout=subprocess.DEVNULL)
    told = json.loads((out / "verdict.json").read_text())
    begun = next(
        (
            json.loads(line)["at"]
            for line in (out / "run.tap").read_bytes().split(b"\n")
            if b'"begun"' in line
        ),
        0,
    )
    row = {
        key: told.get(key)
        for key in (
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
    }
    broken = [each["rule"] for each in told.get("broken", ())]
    row["broken"] = {rule: broken.count(rule) for rule in sorted(set(broken))}
    row["evenness"] = evenness(out, begun, read_script(str(script)).day.length)
    wires = [each for each in told["wires"] if each]
    row["wire"] = {key: sum(each[key] for each in wires) for key in ("bytes", "pieces", "opened", "messages")}
    return row


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--script", default="fleet-cluster")
    parser.add_argument("--plays", type=int, default=1)
    parser.add_argument("--first", type=int, default=1, help="the first seed")
    parser.add_argument("--out", type=Path, required=True)
    parser.add_argument("--direct", action="store_true")
    parser.add_argument("--quiet-wire", action="store_true")
    parser.add_argument("--crowded", action="store_true", help="the machine has other work")
    told = parser.parse_args()
    told.out.mkdir(parents=True, exist_ok=True)
    script = told.out / "play.script"
    script.write_text(variant(told.script, told.direct, told.quiet_wire, told.crowded))
    rows = []
    for seed in range(told.first, told.first + told.plays):
        rows.append(play(script, seed, told.out / f"seed-{seed}"))
        (told.out / "cluster.json").write_text(json.dumps(rows, indent=1))
        row = rows[-1]
        late = ", ".join(f"{who} {late:.0f}" for who, late in row["late_ms"].items())
        print(
            f"seed {seed}: {row['verdict']}; service {row['service'] and round(row['service'], 3)}; ready "
            f"{row['ready_s']} s; late ms: {late}; waited {row['gateways_waited']:.3f}; "
            f"broken {row['broken']}; "
            f"evenness {row['evenness']}",
            flush=True,
        )


if __name__ == "__main__":
    main()
