"""Several processes behind one address: a queue of connections for each (SO_REUSEPORT) or one for all
(inherited).

    python benchmarks/processes.py [--runs 3] [--out docs/measured]

Four servers that answer at once. Clients come at 300 a second for 6 s, each with a connection and a request
of its own. From second 1 one process is paused for 1.5 s; from second 3 on two are replaced, one after the
other: a new one is started first, then the old one closes its listening socket and ends. Counted: requests
that failed, that took over 100 ms and over 1 s.
"""

from __future__ import annotations

import argparse
import random
import signal
import socket
import subprocess
import sys
from collections.abc import Generator
from pathlib import Path
from statistics import median
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.rows import write
from gaproute.http1 import Exchange, Request, Server
from gaproute.loop import Loop, Promise
from gaproute.loop.addresses import Address

MILLI, SECOND = 1_000_000, 1_000_000_000
LOCAL = "127.0.0.1"
QUEUE_EACH, ONE_QUEUE = "queue each", "one queue"
PROCESSES = 4
RATE, ARRIVAL_TIME = 300, 6 * SECOND  # requests a second, and for how long
LENGTH = 9 * SECOND  # of a play
PAUSE_AT, PAUSE_TIME = SECOND, 1500 * MILLI
CALM_TIME = 500 * MILLI  # between the pause and the first replacement
REPLACED, REPLACE_INTERVAL = (1, 2), SECOND
START_TIME = 700 * MILLI  # that a new process is given before the old one is stopped
STOP_GRACE = SECOND // 2  # that a server goes on for once it has been stopped
BACKLOG = 1024
CONNECT_TIMEOUT = 10 * SECOND
MAX_HEAD, MAX_BODY = 16384, 1 << 20  # bytes of an answer
REQUEST = b"GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


def serve(descriptor: int) -> None:
    """A process with a server on an inherited listening socket; SIGTERM stops it."""
    loop = Loop()
    sock = socket.socket(fileno=descriptor)

    def handle(request: Request) -> None:
        server.answer(request, 200, (), b"ok")

    def stop() -> None:
        server.stop()
        loop.call_later(STOP_GRACE, loop.stop)

    where: Any = (sock.family, None)
    server = Server(loop, where, handle, inherited=sock)
    loop.on_signal(signal.SIGTERM, stop)
    print("ready", flush=True)
    loop.run()


def listen(port: int = 0) -> socket.socket:
    """A listening socket; others may listen at the same port."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
    sock.bind((LOCAL, port))
    sock.listen(BACKLOG)
    return sock


class Servers:
    """Server processes behind one port, with a queue of connections each or one for all."""

    def __init__(self, form: str) -> None:
        self._shared = listen()
        self.port: int = self._shared.getsockname()[1]
        self._is_shared = form == ONE_QUEUE
        if not self._is_shared:
            self._shared.close()
        self.processes: list[subprocess.Popen[bytes]] = []
        for _ in range(PROCESSES):
            self.start(wait=True)

    def start(self, *, wait: bool) -> None:
        """Start a process; `wait` until it serves."""
        sock = self._shared if self._is_shared else listen(self.port)
        sock.set_inheritable(True)
        process = subprocess.Popen(
            [sys.executable, __file__, "serve", str(sock.fileno())],
            pass_fds=[sock.fileno()],
            stdout=subprocess.PIPE,
        )
        if wait:
            assert process.stdout is not None
            process.stdout.readline()
        if not self._is_shared:
            sock.close()
        self.processes.append(process)

    def close(self) -> None:
        """End all processes."""
        for process in self.processes:
            assert process.stdout is not None
            process.terminate()
            process.wait()
            process.stdout.close()
        self._shared.close()


class RequestEnd(NamedTuple):
    """What became of a request."""

    duration: int  # ns
    answered: bool


class Play:
    """Clients, and what happens to the processes meanwhile."""

    def __init__(self, servers: Servers, seed: int) -> None:
        self._servers, self._loop, self._random = servers, Loop(), random.Random(seed)
        self.ends: list[RequestEnd] = []

    def run(self) -> None:
        """Play to the end."""
        self._loop.spawn(self._arrivals())
        self._loop.spawn(self._disturb())
        self._loop.call_later(LENGTH, self._loop.stop)
        self._loop.run()

    def _arrivals(self) -> Generator[Promise, None, None]:
        at = self._loop.now()
        end = at + ARRIVAL_TIME
        while at < end:
            at += round(self._random.expovariate(RATE) * SECOND)
            yield self._loop.sleep(max(0, at - self._loop.now()))
            self._send(at)

    def _send(self, at: int) -> None:
        def done(response: object, failure: object) -> None:
            self.ends.append(RequestEnd(self._loop.now() - at, response is not None))

        target = Address(socket.AF_INET, (LOCAL, self._servers.port))
        Exchange(self._loop, REQUEST, done).connect(target, CONNECT_TIMEOUT, MAX_HEAD, MAX_BODY)

    def _disturb(self) -> Generator[Promise, None, None]:
        """Pause a process, then replace others."""
        paused = self._servers.processes[0]
        yield self._loop.sleep(PAUSE_AT)
        paused.send_signal(signal.SIGSTOP)
        yield self._loop.sleep(PAUSE_TIME)
        paused.send_signal(signal.SIGCONT)
        yield self._loop.sleep(CALM_TIME)
        for number in REPLACED:
            self._loop.spawn(self._replace(number))
            yield self._loop.sleep(REPLACE_INTERVAL)

    def _replace(self, number: int) -> Generator[Promise, None, None]:
        self._servers.start(wait=False)  # the clients go on meanwhile
        yield self._loop.sleep(START_TIME)
        self._servers.processes[number].send_signal(signal.SIGTERM)


def play(form: str, seed: int) -> dict[str, int]:
    """The counts of one play."""
    servers = Servers(form)
    played = Play(servers, seed)
    played.run()
    servers.close()
    return {
        "tasks": len(played.ends),
        "failed": sum(not end.answered for end in played.ends),
        "over 100 ms": sum(end.duration > SECOND // 10 for end in played.ends),
        "over 1 s": sum(end.duration > SECOND for end in played.ends),
    }


def main() -> None:
    """Run the command line."""
    options = argparse.ArgumentParser()
    options.add_argument("--runs", type=int, default=3)
    options.add_argument("--out", default="docs/measured")
    arguments = options.parse_args()
    rows: list[dict[str, Any]] = []
    for form in (QUEUE_EACH, ONE_QUEUE):
        runs = [play(form, seed) for seed in range(arguments.runs)]
        rows.append({"form": form} | {name: median(run[name] for run in runs) for name in runs[0]})
        print(rows[-1], flush=True)
    write(arguments.out, "processes", rows)


if __name__ == "__main__":
    if sys.argv[1:2] == ["serve"]:
        serve(int(sys.argv[2]))
    else:
        main()
