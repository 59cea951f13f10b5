"""The clients of gateways that forward calls: a process that asks at a rate, or as fast as it goes.

Latency counts from when a call was meant to start. A play ends once every call has its answer.
"""

import json
import random
import subprocess
import sys
from collections.abc import Iterator
from math import ceil, sqrt

from gaproute.http1 import Exchange, Link
from gaproute.loop import Loop, connect
from gaproute.loop.addresses import address

SECOND = 1_000_000_000
LINKS = 128  # connections to each gateway
TOGETHER = 16  # of them in use where no rate is told: a longer queue makes the cells slow ones
FAILURES_TOLD = 20  # failed calls of which is told what came in place of an answer
FASTEST = 1_800  # calls a second for which functions are set aside where no rate is told
DEVIATIONS = 7  # of the number of calls that come by chance above its mean: more come once in 1e12 plays
ANSWER_TIME = 6 * SECOND  # after the last call: above the hard limit of the fleet's track
BODY = json.dumps(
    {"id": "x", "inputs": [{"name": "in", "shape": [1], "datatype": "BYTES", "data": ["x" * 200]}]}
)


def most_calls(rate: float, seconds: float) -> int:
    """How many calls of a play may come at most; `rate` as of `run`."""
    mean = (rate or FASTEST) * seconds
    return ceil(mean + DEVIATIONS * sqrt(mean) + DEVIATIONS) if rate else ceil(mean)


def arrivals(chance: random.Random, rate: float, begin: int, end: int) -> Iterator[int]:
    """When calls at that rate a second come by chance, ns, up to `end`."""
    at = begin + round(chance.expovariate(rate) * SECOND)
    while at < end:
        yield at
        at += round(chance.expovariate(rate) * SECOND)


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

    def close(self):
        """Ends the connections that are idle; those at work end with the process."""
        while self.idle:
            self.idle.pop().drop()

    def idle_link(self):
        """An idle connection that the gateway has not closed meanwhile, or None."""
        while self.idle:
            link = self.idle.pop()
            if link.open and link.stream.is_quiet():
                return link
            link.drop()
        return None

    def ask(self, meant):
        """One call, on a connection that is idle; without one it has failed.

        Errors: RuntimeError where no function is left, as then the play is not the one that was meant.
        """
        function = next(self.functions, None)
        if function is None:
            raise RuntimeError(f"no function is left for one more call to {self.where}")
        link = self.idle_link()
        if link is None:
            self.crowd.fail(function, "no idle connection")
            return
        exchange = None

        def came(answer, undelivered):
            del self.crowd.open[exchange]
            if answer is None or answer.status != 200:
                self.crowd.fail(function, undelivered if answer is None else _described(answer))
            self.crowd.times.append(self.loop.now() - meant)
            if link.open:
                self.idle.append(link)
            if answer is not None and not self.crowd.rate and self.loop.now() < self.crowd.end:
                self.ask(self.loop.now())
            self.crowd.stop_when_over()

        head = f"POST /v2/models/{function}/infer HTTP/1.1\r\nHost: g\r\nContent-Type: application/json\r\n"
        data = f"{head}Content-Length: {len(BODY)}\r\n\r\n{BODY}".encode()
        exchange = Exchange(self.loop, data, came)
        self.crowd.open[exchange] = function
        exchange.on(link)

    def pace(self):
        """Calls at the crowd's rate, by chance."""
        for at in arrivals(self.chance, self.crowd.rate, self.loop.now(), self.crowd.end):
            if at > self.loop.now():
                yield self.loop.sleep(at - self.loop.now())
            self.ask(at)
        self.crowd.pacing -= 1
        self.crowd.stop_when_over()


class Crowd:
    """The clients of all gateways."""

    def __init__(self, asked, rate, seconds, seed):
        self.loop, self.rate, self.seconds = Loop(), rate, seconds
        self.times, self.failed, self.failures, self.end = [], 0, [], 0
        self.pacing = len(asked) if rate else 0  # clients that are still to ask
        self.open = {}  # exchange: function, of calls without an answer so far
        self.loop.on_error = self._stop_at_error
        self.error = None
        self.clients = [Clients(self, where, functions, seed) for where, functions in asked.items()]
        self.waiting = len(self.clients)

    def stop_when_over(self):
        """Ends the play once its time is over, all calls have been asked and each has its answer."""
        if not self.open and not self.pacing and self.loop.now() >= self.end:
            self.loop.stop()

    def _stop_at_error(self, error):
        self.error = error
        self.loop.stop()

    def fail(self, function, what):
        """A call that was not answered 200, and what came instead."""
        self.failed += 1
        if len(self.failures) < FAILURES_TOLD:
            self.failures.append(f"{function}: {what}")

    def play(self):
        """Runs the play; returns what is told of it. Errors: what went wrong in the clients themselves."""
        for each in self.clients:
            each.connect(self._ready)
        self.loop.run()
        for each in self.clients:
            each.close()
        if self.error is not None:
            raise self.error
        for exchange, function in self.open.items():
            self.fail(function, f"no answer, its connection {'open' if exchange.link.open else 'ended'}")
        times = sorted(self.times)
        return {
            "calls": len(times),
            "failed": self.failed,
            "failures": self.failures,
            "seconds": self.seconds,
            "p50_ms": times[len(times) // 2] / 1e6,
            "p99_ms": times[len(times) * 99 // 100] / 1e6,
        }

    def _ready(self):
        self.waiting -= 1
        if self.waiting:
            return
        self.end = self.loop.now() + round(self.seconds * SECOND)
        self.loop.at(self.end, self.stop_when_over)
        self.loop.at(self.end + ANSWER_TIME, self.loop.stop)
        for each in self.clients:
            if self.rate:
                self.loop.spawn(each.pace())
            else:
                for _ in range(TOGETHER):
                    each.ask(self.loop.now())


def _described(answer):
    """An answer's status, headers and body as text."""
    return f"{answer.status} {dict(answer.headers)} {bytes(answer.body[:400])!r}"


if __name__ == "__main__":
    print(json.dumps(Crowd(**json.load(sys.stdin)).play()))
