"""What idle connections cost a process, how they wake, and how punctual their ends are, at several sizes.

    python benchmarks/connections.py [--sizes 1000,5000,10000,19000] [--out docs/measured]

In the same run, the server as it is (idle connections parked) and a plain one: a generator, a stream, a
reader and a timer for each connection. Both answer at once, without decisions behind them. For each size:
memory of the process over connections held; CPU while all are silent, and while 0.1% and 1% of them speak
each second, with the time to the answer; then how late the idle ends of all come while 1% goes on speaking
(idle time 8 s, spread 10%).
"""

import argparse
import gc
import json
import os
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from rows import write

from gaproute.http1 import Limits, RequestReader, Server, render
from gaproute.load import LoadGenerator, read_load_script
from gaproute.load.results import TrafficResult
from gaproute.loop import Listener, Loop, Promise, Stream
from gaproute.loop.addresses import address
from gaproute.loop.descriptors import READ

MILLI, SECOND = 1_000_000, 1_000_000_000
IDLE = 60 * SECOND
SHORT = 8 * SECOND


class Plain:
    """The baseline: a generator for each connection, waiting for its bytes on a promise."""

    def __init__(self, loop, where):
        self.loop, self.held, self.late, self.idle = loop, 0, [], IDLE
        self.listener = Listener(loop, where, lambda sock: loop.spawn(self.serve(sock)))
        self.address = self.listener.address

    def serve(self, sock):
        state = [Promise()]
        reader = RequestReader(self.loop.now, 32768, 1 << 20)
        stream = Stream(self.loop, sock, lambda data: state[0].set(data), lambda error: state[0].set(b""))
        self.held += 1
        while True:
            due = self.loop.now() + self.idle
            timer = self.loop.at(due, state[0].set, None)
            data = yield state[0]
            timer.cancel()
            if data is None:
                self.late.append(self.loop.now() - due)
            if not data:
                break
            state[0] = Promise()
            for _ in reader.feed(data):
                stream.write(render(200, (), b"ok", close=False))
        self.held -= 1
        stream.close()


class Parked:
    def __init__(self, loop, where):
        self.loop, self.late = loop, []
        limits = Limits(idle_time=IDLE, connections=10**6)
        self.server = Server(loop, where, self.handle, limits, counted=True)
        self.address = self.server.address
        drop = self.server.connections._close_parked

        def timed(fd):
            if sys._getframe(1).f_code.co_name == "_close_expired":
                self.late.append(loop.now() - self.server.connections.idle_until[fd])
            drop(fd)

        self.server.connections._close_parked = timed

    @property
    def held(self):
        return self.server.connection_count

    @property
    def idle(self):
        return self.server.limits.idle_time

    @idle.setter
    def idle(self, span):
        self.server.limits = self.server.limits._replace(idle_time=span, spread=0.1)

    def handle(self, request):
        self.server.answer(request, 200, (), b"ok")


def commands(loop, act):
    """Lines of JSON from standard input, each to `act`; ends the loop at its end."""
    os.set_blocking(0, False)
    held = [b""]

    def ready(events):
        data = os.read(0, 65536)
        if not data:
            loop.stop()
        *lines, held[0] = (held[0] + data).split(b"\n")
        for line in lines:
            act(json.loads(line))

    loop.watch(0, READ, ready)


def serve(form):
    loop = Loop()
    made = {"plain": Plain, "parked": Parked}[form](loop, address("127.0.0.1:0"))
    gc.collect()
    gc.freeze()
    gc.set_threshold(10_000, 50, 100)

    def act(told):
        if "idle" in told:
            made.idle = told["idle"]
        elif told.get("late"):
            late = sorted(made.late)
            print(
                json.dumps(
                    {
                        "ends": len(late),
                        "early": sum(each < 0 for each in late),
                        "late_ms": [
                            late[min(len(late) - 1, int(len(late) * at))] / 1e6 for at in (0.5, 0.999, 1)
                        ]
                        if late
                        else [],
                    }
                ),
                flush=True,
            )
        else:
            print(json.dumps({"held": made.held}), flush=True)

    commands(loop, act)
    print(json.dumps({"at": made.address}), flush=True)
    loop.run()


def crowd(where, count):
    loop = Loop()
    load = read_load_script(
        "crowd",
        f"target {where}\nhold {count} over {max(1, count // 4000)}s addresses 100\n"
        "traffic a rate 1 path /x method GET",
    )
    crowd = LoadGenerator(loop, load, 1)
    line = load.traffic[0]

    def open_all():
        yield from crowd.open_connections()
        crowd.started_at = loop.now()
        loop.spawn(crowd.watch_deadlines())
        print(json.dumps({"open": count}), flush=True)

    def speak(rate, seconds):
        result = crowd.results["a"] = TrafficResult()
        crowd.ends_at = loop.now() + round(seconds * SECOND)
        if rate:
            loop.spawn(crowd.arrivals(line.model_copy(update={"rate": rate})))
        yield loop.sleep(round(seconds * SECOND) + 300 * MILLI)
        print(json.dumps(result.summary() if rate else {}), flush=True)

    commands(loop, lambda told: loop.spawn(speak(told["rate"], told["seconds"])))
    crowd.ends_at = 1 << 62
    loop.spawn(open_all())
    loop.run()


class Child:
    def __init__(self, *words, core=None):
        self.process = subprocess.Popen(
            [sys.executable, __file__, *map(str, words)], stdin=subprocess.PIPE, stdout=subprocess.PIPE
        )
        if core is not None:
            os.sched_setaffinity(self.process.pid, {core})

    def hear(self):
        return json.loads(self.process.stdout.readline())

    def ask(self, **told):
        self.process.stdin.write(json.dumps(told).encode() + b"\n")
        self.process.stdin.flush()
        return self.hear() if "idle" not in told else None

    def memory(self):
        for line in Path(f"/proc/{self.process.pid}/smaps_rollup").read_text().splitlines():
            if line.startswith("Pss:"):
                return int(line.split()[1]) * 1024

    def cpu(self):
        return int(Path(f"/proc/{self.process.pid}/schedstat").read_text().split()[0])

    def end(self):
        self.process.stdin.close()
        self.process.wait()
        self.process.stdout.close()


def slab():
    for line in Path("/proc/meminfo").read_text().splitlines():
        if line.startswith("Slab:"):
            return int(line.split()[1]) * 1024


def measure(form, size, seconds):
    server = Child("serve", form)
    where = server.hear()["at"]
    base, kernel = server.memory(), slab()
    people = Child("crowd", where, size)
    people.hear()
    time.sleep(2)
    row = {
        "form": form,
        "connections": size,
        "held": server.ask(held=True)["held"],
        "bytes each": round((server.memory() - base) / size),
        "kernel bytes each, both ends": round((slab() - kernel) / size),
    }
    for share in (0, 0.001, 0.01):
        before = server.cpu()
        told = people.ask(rate=share * size, seconds=seconds)
        row[f"% of a core at {share:.1%}"] = round((server.cpu() - before) / 1e7 / (seconds + 0.3), 2)
        if share:
            row[f"us a task at {share:.1%}"] = round((server.cpu() - before) / 1e3 / max(1, told["tasks"]))
            row[f"p99 ms at {share:.1%}"] = round(told["p99"], 1)
    server.ask(idle=SHORT)
    people.ask(rate=2 * size / SECOND * 1e9 / 8, seconds=4)  # most speak once, and are idle from then on
    people.ask(rate=0.01 * size, seconds=9)
    told = server.ask(late=True)
    row |= {
        "idle ends": told["ends"],
        "early": told["early"],
        "late ms p50, p99.9, max": " ".join(f"{each:.1f}" for each in told["late_ms"]),
    }
    people.end()
    server.end()
    return row


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--sizes", default="1000,5000,10000,19000")
    arguments.add_argument("--seconds", type=float, default=5)
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    rows = []
    for size in map(int, told.sizes.split(",")):
        for form in ("plain", "parked"):
            rows.append(measure(form, size, told.seconds))
            print(rows[-1], flush=True)
    write(told.out, "connections", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        serve(sys.argv[2])
    elif sys.argv[1:2] == ["crowd"]:
        crowd(sys.argv[2], int(sys.argv[3]))
    else:
        main()
