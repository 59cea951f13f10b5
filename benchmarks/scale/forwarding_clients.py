"""The clients of gateways that forward calls: a process that asks at a rate, or as fast as it goes.

Latency counts from when a call was meant to start.
"""

import json
import random
import subprocess
import sys

from gaproute.http1 import Exchange, Link
from gaproute.loop import Loop, connect
from gaproute.loop.streams import address

SECOND = 1_000_000_000
LINKS = 128  # connections to each gateway
TOGETHER = 16  # of them in use where no rate is told: a longer queue makes the cells slow ones
FASTEST = 1_500  # calls a second for which functions are set aside where no rate is told
BODY = json.dumps(
    {"id": "x", "inputs": [{"name": "in", "shape": [1], "datatype": "BYTES", "data": ["x" * 200]}]}
)


def run(asked: dict[str, list[str]], rate: float, seconds: float, seed: int) -> dict:
    """Asks at each address for its functions in turn; returns counts and times of all calls."""
    told = json.dumps({"asked": asked, "rate": rate, "seconds": seconds, "seed": seed})
    command = [sys.executable, "-m", "benchmarks.scale.forwarding_clients"]
    made = subprocess.run(command, input=told.encode(), capture_output=True, check=True)
    return json.loads(made.stdout)


class Clients:
    """All clients of one gateway."""

    def __init__(self, crowd, where, functions, seed):
        self.crowd, self.loop, self.where, self.functions = crowd, crowd.loop, where, iter(functions)
        self.chance = random.Random(f"{seed} {where}")
        self.idle = []

    def connect(self, ready):
        """Opens the connections; `ready()` once all stand."""

        def linked(sock, error):
            if error is not None:
                raise OSError(error)
            self.idle.append(Link(self.loop, sock, 65536, 1 << 20))
            if len(self.idle) == LINKS:
                ready()

        for _ in range(LINKS):
            connect(self.loop, address(self.where), SECOND, linked)

    def ask(self, meant):
        """One call, on a connection that is idle; without one it has failed."""
        function = next(self.functions, None)
        if function is None or not self.idle:
            self.crowd.failed += 1
            return
        link = self.idle.pop()

        def came(answer, _):
            self.crowd.failed += answer is None or answer.status != 200
            self.crowd.times.append(self.loop.now() - meant)
            if answer is None:
                return
            self.idle.append(link)
            if not self.crowd.rate and self.loop.now() < self.crowd.end:
                self.ask(self.loop.now())

        head = f"POST /v2/models/{function}/infer HTTP/1.1\r\nHost: g\r\nContent-Type: application/json\r\n"
        data = f"{head}Content-Length: {len(BODY)}\r\n\r\n{BODY}".encode()
        Exchange(self.loop, data, came).on(link)

    def pace(self):
        """Calls at the crowd's rate, by chance."""
        at = self.loop.now()
        while at < self.crowd.end:
            at += round(self.chance.expovariate(self.crowd.rate) * SECOND)
            if at > self.loop.now():
                yield self.loop.sleep(at - self.loop.now())
            self.ask(at)


class Crowd:
    """The clients of all gateways."""

    def __init__(self, asked, rate, seconds, seed):
        self.loop, self.rate, self.seconds = Loop(), rate, seconds
        self.times, self.failed, self.end = [], 0, 0
        self.clients = [Clients(self, where, functions, seed) for where, functions in asked.items()]
        self.waiting = len(self.clients)

    def play(self):
        """Runs the play; returns what is told of it."""
        for each in self.clients:
            each.connect(self._ready)
        self.loop.run()
        times = sorted(self.times)
        return {
            "calls": len(times),
            "failed": self.failed,
            "seconds": self.seconds,
            "p50_ms": times[len(times) // 2] / 1e6,
            "p99_ms": times[len(times) * 99 // 100] / 1e6,
        }

    def _ready(self):
        self.waiting -= 1
        if self.waiting:
            return
        self.end = self.loop.now() + round(self.seconds * SECOND)
        self.loop.at(self.end + SECOND // 4, self.loop.stop)
        for each in self.clients:
            if self.rate:
                self.loop.spawn(each.pace())
            else:
                for _ in range(TOGETHER):
                    each.ask(self.loop.now())


if __name__ == "__main__":
    print(json.dumps(Crowd(**json.load(sys.stdin)).play()))
