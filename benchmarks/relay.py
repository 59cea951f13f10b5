"""What one task costs a gateway on one core, and the latency it adds.

    python benchmarks/relay.py [--hosts 10,60,300] [--seconds 6] [--out docs/measured]

For each size: a gateway whose decisions are the module's, and one whose decisions are nothing but the next
host in turn, relay through the same loop, front and host connections. Hosts are listeners of one process that
answer at once; one load process holds 64 connections. First as fast as it goes (tasks a second, CPU a task by
the kernel's account), then at half the module's rate for the latency added over asking the hosts directly.
"""

import argparse
import json
import os
import random
import subprocess
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rows import write

from gaproute.decisions.routing import Gateway
from gaproute.http1 import ClientConnection, Exchange, Server
from gaproute.interface import Attempt, Wait
from gaproute.loop import Loop, connect
from gaproute.loop.addresses import address

SECOND = 1_000_000_000
MODELS = 300
LINKS = 64
TICKS = os.sysconf("SC_CLK_TCK")
BODY = json.dumps(
    {"id": "x", "inputs": [{"name": "in", "shape": [1], "datatype": "BYTES", "data": ["x" * 200]}]}
)


class NextInTurn(Gateway):
    """No decisions: the next host in turn, nothing booked."""

    turn = 0

    def serve(self, now, task):
        self.turn += 1
        yield Attempt(self.fleet[self.turn % len(self.fleet)].id)
        yield Wait(now + task.time_left)

    def attempt_ended(self, now, outcome):
        pass


def hosts(count):
    loop = Loop()
    metrics = (
        b"endpoint-load-metrics",
        b'JSON {"cpu_utilization": 0.3, "named_metrics": {"queue": 0, "copy": 1, "alike": 0}}',
    )
    body = json.dumps(
        {
            "model_name": "m",
            "outputs": [{"name": "o", "shape": [1], "datatype": "BYTES", "data": ["y" * 100]}],
        }
    ).encode()
    servers = []
    for _ in range(count):

        def handle(request):
            request.connection.server.answer(request, 200, (metrics,), body)

        servers.append(Server(loop, address("127.0.0.1:0"), handle))
    print(json.dumps([server.address for server in servers]), flush=True)
    loop.run()


def load(targets, seconds, rate, seed):
    """Closed loop on LINKS connections, or open loop at a rate; prints what came of it."""
    loop, chance = Loop(), random.Random(seed)
    weights = [1 / (rank + 1) for rank in range(MODELS)]
    names = chance.choices(range(MODELS), weights, k=20000)
    requests = [
        (
            f"POST /v2/models/m{name}/infer HTTP/1.1\r\nHost: g\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(BODY)}\r\n\r\n{BODY}"
        ).encode()
        for name in names
    ]
    idle, times, state = [], [], {"sent": 0, "bad": 0, "begun": 0}

    def send(link, at):
        def came(answer, undelivered):
            state["bad"] += answer is None or answer.status != 200
            times.append(loop.now() - at)
            if answer is None:
                return
            if rate:
                idle.append(link)
            elif loop.now() < state["end"]:
                send(link, loop.now())

        state["sent"] += 1
        Exchange(loop, requests[state["sent"] % len(requests)], came).send_on(link)

    def pace():
        at = loop.now()
        while at < state["end"]:
            at += round(chance.expovariate(rate) * SECOND)
            if at > loop.now():
                promise = loop.sleep(at - loop.now())
                yield promise
            if idle:
                send(idle.pop(), at)
            else:
                state["bad"] += 1

    def ready(sock, error):
        idle.append(ClientConnection(loop, sock, 65536, 1 << 20))
        if len(idle) == LINKS:
            state["begun"] = loop.now()
            state["end"] = loop.now() + round(seconds * SECOND)
            if rate:
                loop.spawn(pace())
            else:
                while idle:
                    send(idle.pop(), loop.now())
            loop.at(state["end"] + SECOND // 2, loop.stop)

    for place in range(LINKS):
        connect(loop, address(targets[place % len(targets)]), SECOND, ready)
    loop.run()
    times.sort()
    print(
        json.dumps(
            {
                "tasks": len(times),
                "bad": state["bad"],
                "rate": len(times) / seconds,
                "p50_ms": times[len(times) // 2] / 1e6,
                "p99_ms": times[len(times) * 99 // 100] / 1e6,
            }
        )
    )


def play(targets, seconds, rate=0, seed=1):
    out = subprocess.run(
        [sys.executable, __file__, "load", json.dumps(targets), str(seconds), str(rate), str(seed)],
        capture_output=True,
        check=True,
    )
    return json.loads(out.stdout)


def cpu(pid):
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


class Gate:
    def __init__(self, where, decisions, folder, *more):
        lines = [
            f"listen kserve 127.0.0.1:0\ndecisions {decisions}\nreports answer",
            "track a pure contract 1200ms limit 5s\nrelays limit 4",
            "copies keep 10s orders yes free 6 share 0.3",
        ]
        lines += [f"model m{number} track a lanes 4" for number in range(MODELS)]
        lines += [f"host h{place} {each}" for place, each in enumerate(where)] + list(more)
        file = Path(folder, decisions.replace(":", "-") + ".conf")
        file.write_text("\n".join(lines) + "\n")
        environment = os.environ | {"PYTHONPATH": f"{Path(__file__).parent}:{Path(__file__).parent.parent}"}
        self.process = subprocess.Popen(
            [sys.executable, "-m", "gaproute", "serve", str(file), "--seed", "1"],
            stderr=subprocess.PIPE,
            env=environment,
        )
        while True:
            told = json.loads(self.process.stderr.readline())
            if told["event"] == "started":
                self.where = told["listen_addresses"]
                break
        os.set_blocking(self.process.stderr.fileno(), False)

    def measure(self, seconds, rate=0, seed=1):
        before = cpu(self.process.pid)
        told = play(self.where, seconds, rate, seed)
        told["cpu_ms"] = (cpu(self.process.pid) - before) / max(1, told["tasks"]) * 1000
        return told

    def end(self):
        self.process.terminate()
        self.process.wait()
        self.process.stderr.close()


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--hosts", default="10,60,300")
    arguments.add_argument("--seconds", type=float, default=6)
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    rows = []
    for count in map(int, told.hosts.split(",")):
        sink = subprocess.Popen([sys.executable, __file__, "hosts", str(count)], stdout=subprocess.PIPE)
        where = json.loads(sink.stdout.readline())
        with tempfile.TemporaryDirectory() as folder:
            made = {
                name: Gate(where, decisions, folder)
                for name, decisions in (
                    ("module", "gaproute.decisions.routing:Gateway"),
                    ("next in turn", "relay:NextInTurn"),
                )
            }
            for gate in made.values():
                gate.measure(2)  # warms up: connections, tables
            fast = {name: [] for name in made}
            for seed in range(3):  # in turn, so that the machine's drift strikes both
                for name, gate in made.items():
                    fast[name].append(gate.measure(told.seconds / 3, seed=seed))
            fast = {name: sorted(runs, key=lambda run: run["cpu_ms"])[1] for name, runs in fast.items()}
            half = fast["module"]["rate"] / 2
            direct = play(where[:LINKS], told.seconds, half)
            calm = {name: gate.measure(told.seconds, half) for name, gate in made.items()}
            for name, gate in made.items():
                gate.end()
                rows.append(
                    {
                        "hosts": count,
                        "decisions": name,
                        "tasks_per_s": round(fast[name]["rate"]),
                        "cpu_ms": round(fast[name]["cpu_ms"], 3),
                        "bad": fast[name]["bad"] + calm[name]["bad"],
                        "at_rate": round(half),
                        "added_p50_ms": round(calm[name]["p50_ms"] - direct["p50_ms"], 2),
                        "added_p99_ms": round(calm[name]["p99_ms"] - direct["p99_ms"], 2),
                    }
                )
                print(rows[-1], flush=True)
        sink.kill()
        sink.wait()
    write(told.out, "relay", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["hosts"]:
        hosts(int(sys.argv[2]))
    elif sys.argv[1:2] == ["load"]:
        load(json.loads(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4]), int(sys.argv[5]))
    else:
        main()
