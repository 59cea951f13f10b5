"""What one request costs a gateway on one core, and the latency it adds.

    python benchmarks/relay.py [--hosts 10,60,300] [--seconds 6] [--out docs/measured]

For each size: a gateway whose decisions are the module's, and one whose decisions are nothing but the next
host in turn, relay through the same loop, front and host connections. Hosts are listeners of one process that
answer at once; one load process holds 64 connections. First as fast as it goes (requests a second, CPU each
by the kernel's account), then at half the module's rate for the latency added over asking the hosts directly.
"""

from __future__ import annotations

import argparse
import json
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.host_processes import serve_hosts
from benchmarks.relay_processes import (
    CONNECTIONS,
    Figures,
    GatewayProcess,
    answer_at_once,
    play,
    run_clients,
    start_hosts,
)
from benchmarks.rows import write

WARM_UP = 2  # seconds: connections, tables
ROUNDS = 3  # in turn, so that the machine's drift affects both decisions alike
DECISIONS = {
    "module": "gaproute.decisions.routing:Gateway",
    "next in turn": "next_in_turn:NextInTurn",
}


def measure(hosts: int, seconds: float) -> list[Figures]:
    """A row for each of the decisions, before so many hosts."""
    with start_hosts(hosts) as host_process, tempfile.TemporaryDirectory() as folder:
        gateways = {
            name: GatewayProcess(host_process.addresses, decisions, folder)
            for name, decisions in DECISIONS.items()
        }
        for gateway in gateways.values():
            gateway.measure(WARM_UP)
        full_load = _median_of_rounds(gateways, seconds / ROUNDS)
        half_rate = full_load["module"]["rate"] / 2
        direct = play(host_process.addresses[:CONNECTIONS], seconds, half_rate)
        half_load = {name: gateway.measure(seconds, half_rate) for name, gateway in gateways.items()}
        for gateway in gateways.values():
            gateway.end()
    return [
        {
            "hosts": hosts,
            "decisions": name,
            "tasks_per_s": round(full_load[name]["rate"]),
            "cpu_ms": round(full_load[name]["cpu_ms"], 3),
            "bad": full_load[name]["bad"] + half_load[name]["bad"],
            "at_rate": round(half_rate),
            "added_p50_ms": round(half_load[name]["p50_ms"] - direct["p50_ms"], 2),
            "added_p99_ms": round(half_load[name]["p99_ms"] - direct["p99_ms"], 2),
        }
        for name in gateways
    ]


def _median_of_rounds(gateways: dict[str, GatewayProcess], seconds: float) -> dict[str, Figures]:
    """Figures at full load, by decisions: those of the round with the median CPU time."""
    rounds: dict[str, list[Figures]] = {name: [] for name in gateways}
    for seed in range(ROUNDS):
        for name, gateway in gateways.items():
            rounds[name].append(gateway.measure(seconds, seed=seed))
    return {
        name: sorted(figures, key=lambda each: float(each["cpu_ms"]))[ROUNDS // 2]
        for name, figures in rounds.items()
    }


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--hosts", default="10,60,300")
    options.add_argument("--seconds", type=float, default=6)
    options.add_argument("--out", default="docs/measured")
    arguments = options.parse_args()
    rows = []
    for count in map(int, arguments.hosts.split(",")):
        for row in measure(count, arguments.seconds):
            rows.append(row)
            print(row, flush=True)
    write(arguments.out, "relay", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["hosts"]:
        serve_hosts(int(sys.argv[2]), answer_at_once)
    elif sys.argv[1:2] == ["load"]:
        run_clients(json.loads(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4]), int(sys.argv[5]))
    else:
        main()
