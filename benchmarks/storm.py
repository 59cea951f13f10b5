"""A district reconnects: half of all connections drop and come back within a second, each with a task.

    python benchmarks/storm.py [--connections 2000,6000,10000] [--runs 3] [--out docs/measured]

One gateway with the module, ten hosts that answer at once, connections held by the load tool. Quiet clients
that stayed go on with repair orders (effectful) at 50 a second. Measured for 5 s without and with a storm at
the start: their time to the answer, what became of the storm's tasks and when the last ended; once with the
admission as it is, once with all that waits in one line, in the order of coming, accepts first.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
from pathlib import Path
from statistics import median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from relay import cpu
from rows import write

from gaproute.load import read_result

HERE = Path(__file__)
CONFIG = """
name g
listen kserve 127.0.0.1:0
track check pure contract 1200ms limit 5s earnings 1
track order effectful contract 600ms limit 4s earnings 3
copies keep 10s orders yes free 6 share 0.3 window 10s
clients connections 19000 per-address 2000
"""
LOAD = """
target {where}
length 5s
hold {count} over {over}s addresses 100 again 200ms
traffic orders rate 50 path {orders} share 0.2 patience 8s
traffic checks rate 100 path {checks} share 0.8 patience 8s
{storm}
"""


def serve(file, form):
    if form == "one line":
        from gaproute.connections import AcceptedConnections
        from gaproute.decisions.admission.admission import Admission, AdmissionQueue

        def look(connections, events, seen):
            for fd, _ in events:
                if connections.states[fd] == 1:
                    connections.states[fd] = 2
                    connections.new_queue.append((fd, seen))

        AcceptedConnections.enqueue_events = look
        Admission.next_queue = lambda self, returning, new, arriving: (
            AdmissionQueue.ARRIVING if arriving else AdmissionQueue.NEW if new else None
        )
    from gaproute.cli.main import main

    main(["serve", file, "--seed", "1"])


def play(where, folder, count, storm, seed):
    script, out = Path(folder, "load"), Path(folder, "out")
    script.write_text(
        LOAD.format(
            where=where,
            count=count,
            over=max(1, count // 3000),
            storm="storm at 50ms share 0.5 back 1s" * storm,
            orders=",".join(f"/v2/models/o{n}/infer" for n in range(20)),
            checks=",".join(f"/v2/models/c{n}/infer" for n in range(60)),
        )
    )
    subprocess.run(
        [
            sys.executable,
            "-m",
            "gaproute",
            "load",
            str(script),
            "--seed",
            str(seed),
            "--out",
            str(out),
            "--json",
        ],
        capture_output=True,
        cwd=HERE.parent.parent,
    )
    return read_result(out)


def measure(form, hosts, count, runs):
    with tempfile.TemporaryDirectory() as folder:
        file = Path(folder, "g.conf")
        lines = [f"host h{place} {each} capacity 4" for place, each in enumerate(hosts)]
        lines += [f"model o{n} track order lanes 4" for n in range(20)]
        lines += [f"model c{n} track check lanes 4" for n in range(60)]
        file.write_text(CONFIG + "\n".join(lines) + "\n")
        gate = subprocess.Popen(
            [sys.executable, str(HERE), "serve", str(file), form],
            stderr=subprocess.PIPE,
            cwd=HERE.parent.parent,
        )
        while True:
            told = json.loads(gate.stderr.readline())
            if told["event"] == "started":
                where = told["listen_addresses"][0]
                break
        os.set_blocking(gate.stderr.fileno(), False)
        play(where, folder, 100, False, 9)
        found = []
        for seed in range(runs):
            calm = play(where, folder, count, False, seed)[3]["orders"]
            before = cpu(gate.pid)
            _, _, counts, tallies = play(where, folder, count, True, seed)
            storm = [tally for name, tally in tallies.items() if name.endswith("storm")]
            ends = {}
            for tally in storm:
                for end, n in tally.ends.items():
                    ends[end] = ends.get(end, 0) + n
            quiet = tallies["orders"]
            found.append(
                {
                    "calm p99": calm.figures()["p99"],
                    "storm p99": quiet.figures()["p99"],
                    "quiet, not well": sum(
                        n for end, n in quiet.ends.items() if end not in ("delivered", "given up")
                    ),
                    "storm's tasks": sum(ends.values()),
                    "delivered": ends.get("delivered", 0),
                    "declined": ends.get("declined", 0),
                    "scrapped": ends.get("scrapped", 0),
                    "no answer": sum(
                        n for end, n in ends.items() if end not in ("delivered", "declined", "scrapped")
                    ),
                    "storm's p99, ms": max(tally.figures()["p99"] for tally in storm),
                    "CPU, s": cpu(gate.pid) - before,
                }
            )
        gate.terminate()
        gate.wait()
        gate.stderr.close()
    return {"admission": form, "connections": count} | {
        name: round(median(run[name] for run in found), 1) for name in found[0]
    }


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--connections", default="2000,6000,10000")
    arguments.add_argument("--runs", type=int, default=3)
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    sink = subprocess.Popen(
        [sys.executable, str(HERE.with_name("relay.py")), "hosts", "10"], stdout=subprocess.PIPE
    )
    hosts = json.loads(sink.stdout.readline())
    rows = []
    for count in map(int, told.connections.split(",")):
        for form in ("one line", "as it is"):
            rows.append(measure(form, hosts, count, told.runs))
            print(rows[-1], flush=True)
    sink.kill()
    sink.wait()
    write(told.out, "storm", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        serve(sys.argv[2], sys.argv[3])
    else:
        main()
