"""What telling ten learners costs a busy giver: CPU, and the latency of its tasks, in windows with and
without.

    python benchmarks/telling.py [--hosts 60] [--pairs 6] [--seconds 4] [--out docs/measured]

The giver relays at half of what it can do, and knows 300 functions. In every second window ten learners begin
at once, take the whole snapshot, and go on asking for changes, as after a roll over ten gateways.
"""

import argparse
import json
import subprocess
import sys
import tempfile
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.relay_processes import GatewayProcess
from benchmarks.rows import write
from gaproute.config import read_peers
from gaproute.loop import Loop
from gaproute.peers import ObservationClient

SECOND = 1_000_000_000
LEARNERS = 10


class Nothing:
    """A client's observations and record, for which nothing matters but that the bytes came and were read."""

    def rejected(self):
        return {}

    def merge(self, observations):
        pass

    def event(self, level, what, **told):
        pass


def learn(where, seconds):
    loop, peers = Loop(), read_peers("peers", f"peer giver {where}")
    state = {"whole": 0}

    def whole():
        state["whole"] += 1

    for _ in range(LEARNERS):
        ObservationClient(loop, peers, Nothing(), lambda subjects: 0, whole, Nothing())
    loop.after(round(seconds * SECOND), loop.stop)
    loop.run()
    print(json.dumps(state))


def ask(where):
    import socket

    with socket.socket(socket.AF_UNIX) as sock:
        sock.connect(where)
        sock.sendall(b"GET /status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        with sock.makefile("rb") as answer:
            return json.loads(answer.read().partition(b"\r\n\r\n")[2])["telling"]


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--hosts", type=int, default=60)
    arguments.add_argument("--pairs", type=int, default=6)
    arguments.add_argument("--seconds", type=float, default=4)
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    sink = subprocess.Popen(
        [sys.executable, str(Path(__file__).with_name("relay.py")), "hosts", str(told.hosts)],
        stdout=subprocess.PIPE,
    )
    hosts = json.loads(sink.stdout.readline())
    windows = {False: [], True: []}
    with tempfile.TemporaryDirectory() as folder:
        gate = GatewayProcess(
            hosts,
            "gaproute.decisions.routing:Gateway",
            folder,
            f"listen peers unix:{folder}/p",
            f"listen operator unix:{folder}/o",
        )
        gate.addresses = gate.addresses[:1]
        rate = sorted(gate.measure(2)["rate"] for _ in range(3))[1] / 2
        for pair in range(told.pairs):
            for learners in (False, True) if pair % 2 else (True, False):
                asking = learners and subprocess.Popen(
                    [sys.executable, __file__, "learn", f"unix:{folder}/p", str(told.seconds)],
                    stdout=subprocess.PIPE,
                )
                before = ask(f"{folder}/o")
                run = gate.measure(told.seconds, rate, pair + 1)
                after = ask(f"{folder}/o")
                run["telling"] = (after["cpu_ms"] - before["cpu_ms"]) / told.seconds / 10
                run["facts"], run["put_off"] = (after[key] - before[key] for key in ("facts", "put_off"))
                run["whole"] = json.loads(asking.communicate()[0])["whole"] if asking else 0
                windows[learners].append(run)
        gate.end()
    sink.kill()
    sink.wait()
    rows = []
    for learners, runs in windows.items():
        rows.append(
            {"learners": LEARNERS if learners else 0, "tasks/s": round(rate)}
            | {
                name: round(median(run[key] for run in runs), 3)
                for name, key in (
                    ("CPU, ms a task", "cpu_ms"),
                    ("p50, ms", "p50_ms"),
                    ("p99, ms", "p99_ms"),
                    ("telling, % of a core", "telling"),
                    ("facts told", "facts"),
                    ("asks put off", "put_off"),
                    ("snapshots whole", "whole"),
                )
            }
            | {"p99 of each": " ".join(f"{run['p99_ms']:.1f}" for run in runs)}
        )
        print(rows[-1], flush=True)
    write(told.out, "telling", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["learn"]:
        learn(sys.argv[2], float(sys.argv[3]))
    else:
        main()
