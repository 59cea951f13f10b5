"""How long after its client left an attempt for a request still begins, at a gateway whose loop is full.

    taskset -c 7 python benchmarks/leaving.py [--rates 4000,5600] [--seconds 20] [--seed 1] [--peers 6]

One gateway of the platform in a process of its own on the core that this is started on; its clients share a
process on the core `--peers`, its hosts one on the core before that. Of the requests, which come at a steady
rate over open connections, one in ten loses its client within 20 ms, by a close or a reset. Hosts take 30 ms,
and reject one attempt in ten, so that it is tried again. The lag runs from just before the close to when the
host has read the attempt, so it holds the peers' own lateness, which has a column of its own.
"""

from __future__ import annotations

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.processor_time import cpu_seconds
from benchmarks.rows import table, write
from gaproute.decisions.chance import Chance
from gaproute.loop import Loop, Stream
from gaproute.standins.platform.deployment_settings import RequestClassSettings, deployment_settings
from gaproute.standins.platform.gateway_configuration import GatewayConfiguration
from gaproute.standins.platform.scripted import ScriptedChangeLog, ScriptedClient, ScriptedHost, event

MILLI, SECOND = 1_000_000, 1_000_000_000
HOSTS, CONNECTIONS = 12, 300  # connections of clients, which stay open
WORK_TIME, MAX_LEAVE_TIME = 30 * MILLI, 20 * MILLI
WARM_UP_TIME = 2 * SECOND  # nothing is counted before it is over
GATEWAY = "127.0.0.1:7390"
REQUEST_CLASSES = (
    RequestClassSettings("check"),
    RequestClassSettings("check"),
    RequestClassSettings("check"),
    RequestClassSettings("order", "effectful"),
)


class Hosts:
    """In a process of their own; `seen`: id: when its last attempt was read."""

    def __init__(self, seed: int, folder: str) -> None:
        self.loop, self.chance = Loop(), Chance(seed)
        self.seen: dict[str, int] = {}
        self.hosts = [ScriptedHost(self.loop, self.answer) for _ in range(HOSTS)]
        self.loop.on_signal(signal.SIGTERM, self.loop.stop)
        Path(folder, "part").write_text(json.dumps([host.address for host in self.hosts]))
        Path(folder, "part").rename(Path(folder, "hosts"))
        self.loop.run()
        Path(folder, "seen").write_text(json.dumps(self.seen))

    def answer(self, stream: Stream, command: dict[str, Any]) -> None:
        """Note when an attempt was read; reject one in ten and serve the others after their work."""
        host = self.hosts[0]
        if command["type"] != "go":
            host.serve(stream, command)
            return
        self.seen[command["req"]] = self.loop.now()
        if self.chance.below(10) == 0:
            host.reply(stream, command, "overload")
        else:
            self.loop.after(WORK_TIME, host.serve, stream, command)


def _start_hosts(seed: int, folder: str) -> int:
    """Fork the hosts onto the core before the clients'; the process id."""
    pid = os.fork()
    if not pid:
        os.sched_setaffinity(0, {max(0, min(os.sched_getaffinity(0)) - 1)})
        Hosts(seed, folder)
        os._exit(0)
    return pid


class Play:
    """The clients, who ask at a steady rate, and the gateway's process; the play is over once it is made."""

    def __init__(self, loop: Loop, rate: int, seconds: int, seed: int, core: int, folder: str) -> None:
        self.loop, self.chance, self.rate, self.folder = loop, Chance(seed), rate, folder
        self.left: dict[str, int] = {}  # id: when its client left
        self.late = 0  # of the clients at most, ns
        self.sent = 0
        self.answers: list[dict[str, Any]] = []
        log = ScriptedChangeLog(loop)
        hosts = _start_hosts(seed, folder)
        while not Path(folder, "hosts").exists():
            loop.run(until=loop.sleep(MILLI))
        self.node = self._start_gateway(log.address, seed, core)
        try:
            self._measure(seconds)
        finally:
            self.node.terminate()
            self.node.wait()
            os.kill(hosts, signal.SIGTERM)
            os.waitpid(hosts, 0)
        seen = json.loads(Path(folder, "seen").read_text())
        self.lags = {name: seen[name] - at for name, at in self.left.items() if seen.get(name, 0) > at}

    def _start_gateway(self, change_log: str, seed: int, core: int) -> subprocess.Popen[bytes]:
        addresses = json.loads(Path(self.folder, "hosts").read_text())
        members = [(f"s-{place}", host, "Ready") for place, host in enumerate(addresses)]
        configuration = GatewayConfiguration(
            name="n1",
            listen=GATEWAY,
            change_log=change_log,
            known={"seq": 1, "results": [event(1, *members, complete=True)]},
            settings=deployment_settings(REQUEST_CLASSES[2:]),
            seed=seed,
        )
        command, environment = configuration.write(self.folder)
        return subprocess.Popen(
            ["taskset", "-c", str(core), *command], env=os.environ | environment, stderr=subprocess.DEVNULL
        )

    def _measure(self, seconds: int) -> None:
        loop = self.loop
        loop.run(until=loop.sleep(SECOND))
        self.clients = [self._connect() for _ in range(CONNECTIONS)]
        loop.run(until=loop.sleep(SECOND))
        self.next = loop.now()
        loop.soon(self._ask)
        loop.run(until=loop.sleep(WARM_UP_TIME))
        self.left, self.late, first = {}, 0, self.sent
        before, began = cpu_seconds(self.node.pid), loop.now()
        loop.run(until=loop.sleep(seconds * SECOND))
        self.served = sum("result" in each for each in self.answers if each["id"] > first)
        self.asked = self.sent - first - len(self.left)
        self.busy = (cpu_seconds(self.node.pid) - before) / ((loop.now() - began) / SECOND)

    def _connect(self) -> ScriptedClient:
        client = ScriptedClient(self.loop, GATEWAY)
        client.answers = self.answers
        client.ready.then(lambda promise: None)
        return client

    def _ask(self) -> None:
        """Send all requests that are due; one client in ten leaves a little later."""
        now = self.loop.now()
        self.late = max(self.late, now - self.next)
        while self.next <= now:
            self.next += SECOND // self.rate
            self.sent += 1
            place = self.chance.below(CONNECTIONS)
            client = self.clients[place]
            client.ask(self.sent, REQUEST_CLASSES[self.chance.below(4)].name)
            if self.chance.below(10) == 0:
                self.clients[place] = self._connect()
                self.loop.after(self.chance.below(MAX_LEAVE_TIME), self._leave, client, f"{self.sent:016x}")
        self.loop.at(self.next, self._ask)

    def _leave(self, client: ScriptedClient, name: str) -> None:
        if client.stream is None:
            return
        self.left[name] = self.loop.now()
        if self.chance.below(2):
            client.stream.abort()
        else:
            client.stream.close()


def row(rate: int, play: Play) -> dict[str, Any]:
    """The play's row of the table."""
    lags = sorted(play.lags.get(name, 0) / MILLI for name in play.left)
    share = sum(lag > 100 for lag in lags) / len(lags)
    return {
        "tasks/s": rate,
        "loop, of a core": f"{play.busy:.2f}",
        "served": f"{play.served / play.asked:.0%}",
        "left": len(lags),
        "begun after": len(play.lags),
        "99th, ms": f"{lags[int(0.99 * len(lags))]:.1f}",
        "latest, ms": f"{lags[-1]:.1f}",
        "over 0.1 s": f"{share:.2%}",
        "peers late by, ms": f"{play.late / MILLI:.1f}",
    }


def main() -> None:
    """Play each rate and print the table."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rates", default="4000,5600")
    parser.add_argument("--seconds", type=int, default=20)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--peers", type=int, default=6)
    parser.add_argument("--out")
    options = parser.parse_args()
    core = min(os.sched_getaffinity(0))
    os.sched_setaffinity(0, {options.peers})
    rows = []
    for rate in [int(rate) for rate in options.rates.split(",")]:
        with tempfile.TemporaryDirectory() as folder:
            loop = Loop()
            rows.append(row(rate, Play(loop, rate, options.seconds, options.seed, core, folder)))
            loop.close()
    print(table(rows))
    if options.out:
        write(options.out, "leaving", rows)


if __name__ == "__main__":
    main()
