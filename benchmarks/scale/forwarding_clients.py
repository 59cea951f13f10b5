"""The clients of gateways that forward calls: a process that asks at a rate, or as fast as it goes.

Latency counts from when a call was meant to start. A play ends once every call has its answer.
"""

from __future__ import annotations

import json
import random
import socket
import subprocess
import sys
from collections.abc import Callable, Generator, Iterable, Iterator
from math import ceil, sqrt
from typing import Any

from benchmarks.inference_requests import encode_request
from gaproute.http1 import ClientConnection, Exchange, NoResponseError, Response
from gaproute.loop import Loop, Promise, connect
from gaproute.loop.addresses import parse_address

SECOND = 1_000_000_000
CONNECTIONS = 128  # connections to each gateway
TOGETHER = 16  # of them in use where no rate is given: a longer queue makes the cells slow ones
MAX_FAILURES_DESCRIBED = 20  # failed calls of which the result has what came in place of an answer
FASTEST = 1_800  # calls a second for which functions are set aside where no rate is given
DEVIATIONS = 7  # of the number of calls that come by chance above its mean: more come once in 1e12 plays
ANSWER_TIME = 6 * SECOND  # after the last call: above the hard limit of the fleet's track


def max_calls(rate: float, seconds: float) -> int:
    """How many calls of a play may come at most; `rate` as of `run`."""
    mean = (rate or FASTEST) * seconds
    return ceil(mean + DEVIATIONS * sqrt(mean) + DEVIATIONS) if rate else ceil(mean)


def arrivals(chance: random.Random, rate: float, begin: int, end: int) -> Iterator[int]:
    """When calls at that rate a second come by chance, ns, up to `end`."""
    at = begin + round(chance.expovariate(rate) * SECOND)
    while at < end:
        yield at
        at += round(chance.expovariate(rate) * SECOND)


def run(functions_by_address: dict[str, list[str]], rate: float, seconds: float, seed: int) -> dict[str, Any]:
    """Counts and times of all calls; each address gets calls of its functions in turn."""
    play = json.dumps(
        {"functions_by_address": functions_by_address, "rate": rate, "seconds": seconds, "seed": seed}
    )
    command = [sys.executable, "-m", "benchmarks.scale.forwarding_clients"]
    done = subprocess.run(command, input=play.encode(), capture_output=True, check=True)
    figures: dict[str, Any] = json.loads(done.stdout)
    return figures


class GatewayClients:
    """All clients of one gateway."""

    def __init__(self, group: ClientGroup, where: str, functions: Iterable[str], seed: int) -> None:
        self.group, self.loop, self.where, self.functions = group, group.loop, where, iter(functions)
        self.chance = random.Random(f"{seed} {where}")
        self.idle: list[ClientConnection] = []

    def connect(self, ready: Callable[[], None]) -> None:
        """Open the connections; `ready()` once all stand."""

        def on_connected(sock: socket.socket | None, error: OSError | None) -> None:
            if sock is None:
                raise OSError(error)
            self.idle.append(ClientConnection(self.loop, sock, 65536, 1 << 20))
            if len(self.idle) == CONNECTIONS:
                ready()

        for _ in range(CONNECTIONS):
            connect(self.loop, parse_address(self.where), SECOND, on_connected)

    def close(self) -> None:
        """End the connections that are idle; those at work end with the process."""
        while self.idle:
            self.idle.pop().abort()

    def idle_connection(self) -> ClientConnection | None:
        """An idle connection that the gateway has not closed meanwhile, or None."""
        while self.idle:
            connection = self.idle.pop()
            if connection.open and connection.stream.is_quiet():
                return connection
            connection.abort()
        return None

    def call(self, meant: int) -> None:
        """Make one call, on a connection that is idle; without one it has failed.

        Raises RuntimeError where no function is left, as then the play is not the one that was meant.
        """
        function = next(self.functions, None)
        if function is None:
            raise RuntimeError(f"no function is left for one more call to {self.where}")
        connection = self.idle_connection()
        if connection is None:
            self.group.fail(function, "no idle connection")
            return

        def on_end(answer: Response | None, undelivered: NoResponseError | None) -> None:
            del self.group.open[exchange]
            if answer is None or answer.status != 200:
                self.group.fail(function, undelivered if answer is None else _described(answer))
            self.group.times.append(self.loop.now() - meant)
            if connection.open:
                self.idle.append(connection)
            if answer is not None and not self.group.rate and self.loop.now() < self.group.end:
                self.call(self.loop.now())
            self.group.stop_when_over()

        exchange = Exchange(self.loop, encode_request(function), on_end)
        self.group.open[exchange] = function
        exchange.send_on(connection)

    def pace(self) -> Generator[Promise, Any, None]:
        """Make calls at the group's rate, by chance."""
        for at in arrivals(self.chance, self.group.rate, self.loop.now(), self.group.end):
            if at > self.loop.now():
                yield self.loop.sleep(at - self.loop.now())
            self.call(at)
        self.group.pacing -= 1
        self.group.stop_when_over()


class ClientGroup:
    """The clients of all gateways."""

    def __init__(
        self, functions_by_address: dict[str, list[str]], rate: float, seconds: float, seed: int
    ) -> None:
        self.loop, self.rate, self.seconds = Loop(), rate, seconds
        self.times: list[int] = []
        self.failed, self.end = 0, 0
        self.failures: list[str] = []
        self.pacing = len(functions_by_address) if rate else 0  # clients that still make calls
        self.open: dict[Exchange, str] = {}  # exchange: function, of calls without an answer so far
        self.loop.on_error = self._stop_at_error
        self.error: BaseException | None = None
        self.clients = [
            GatewayClients(self, where, functions, seed) for where, functions in functions_by_address.items()
        ]
        self.waiting = len(self.clients)

    def stop_when_over(self) -> None:
        """End the play once its time is over, all calls were made and each has its answer."""
        if not self.open and not self.pacing and self.loop.now() >= self.end:
            self.loop.stop()

    def _stop_at_error(self, error: BaseException) -> None:
        self.error = error
        self.loop.stop()

    def fail(self, function: str, what: object) -> None:
        """Count a call that was not answered 200, and what came instead."""
        self.failed += 1
        if len(self.failures) < MAX_FAILURES_DESCRIBED:
            self.failures.append(f"{function}: {what}")

    def play(self) -> dict[str, Any]:
        """Run the play and return its figures. Raises what went wrong in the clients themselves."""
        for each in self.clients:
            each.connect(self._ready)
        self.loop.run()
        for each in self.clients:
            each.close()
        if self.error is not None:
            raise self.error
        for exchange, function in self.open.items():
            connection = exchange.connection
            self.fail(
                function, f"no answer, its connection {'open' if connection and connection.open else 'ended'}"
            )
        times = sorted(self.times)
        return {
            "calls": len(times),
            "failed": self.failed,
            "failures": self.failures,
            "seconds": self.seconds,
            "p50_ms": times[len(times) // 2] / 1e6,
            "p99_ms": times[len(times) * 99 // 100] / 1e6,
        }

    def _ready(self) -> None:
        self.waiting -= 1
        if self.waiting:
            return
        self.end = self.loop.now() + round(self.seconds * SECOND)
        self.loop.call_at(self.end, self.stop_when_over)
        self.loop.call_at(self.end + ANSWER_TIME, self.loop.stop)
        for each in self.clients:
            if self.rate:
                self.loop.spawn(each.pace())
            else:
                for _ in range(TOGETHER):
                    each.call(self.loop.now())


def _described(answer: Response) -> str:
    """An answer's status, headers and body as text."""
    return f"{answer.status} {dict(answer.headers)} {bytes(answer.body[:400])!r}"


if __name__ == "__main__":
    print(json.dumps(ClientGroup(**json.load(sys.stdin)).play()))
