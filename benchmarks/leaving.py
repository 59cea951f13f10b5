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
from typing import Any, NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.processor_time import cpu_seconds
from benchmarks.rows import table, write
from gaproute.decisions.chance import RandomGenerator
from gaproute.loop import Loop, Stream
from gaproute.standins.platform.deployment_settings import RequestClassSettings, deployment_settings
from gaproute.standins.platform.gateway_configuration import GatewayConfiguration
from gaproute.standins.platform.scripted import ScriptedChangeLog, ScriptedClient, ScriptedHost, event

MILLI, SECOND = 1_000_000, 1_000_000_000
HOSTS, CONNECTIONS = 12, 300  # connections of clients, which stay open
WORK_TIME, MAX_LEAVE_TIME = 30 * MILLI, 20 * MILLI
WARM_UP_TIME = 2 * SECOND  # nothing is counted before it is over
GATEWAY = "127.0.0.1:7390"
ADDRESSES_FILE, SEEN_FILE = "hosts", "seen"  # written by the hosts' process
REQUEST_CLASSES = (
    RequestClassSettings("check"),
    RequestClassSettings("check"),
    RequestClassSettings("check"),
    RequestClassSettings("order", "effectful"),
)


class Hosts:
    """Hosts that reject one attempt in ten. `seen`: when a request's last attempt was read, by its id."""

    def __init__(self, loop: Loop, seed: int) -> None:
        self.seen: dict[str, int] = {}
        self._loop, self._chance = loop, RandomGenerator(seed)
        self._hosts = [ScriptedHost(loop, self._answer) for _ in range(HOSTS)]

    @property
    def addresses(self) -> list[str]:
        """Where each listens."""
        return [host.address for host in self._hosts]

    def _answer(self, stream: Stream, command: dict[str, Any]) -> None:
        """Note when an attempt was read; reject one in ten and serve the others after their work."""
        host = self._hosts[0]
        if command["type"] != "go":
            host.serve(stream, command)
            return
        self.seen[command["req"]] = self._loop.now()
        if self._chance.below(10) == 0:
            host.reply(stream, command, "overload")
        else:
            self._loop.call_later(WORK_TIME, host.serve, stream, command)


def run_hosts(seed: int, folder: Path) -> None:
    """Serve until SIGTERM; the hosts' addresses are written at the start, what they have seen at the end."""
    loop = Loop()
    hosts = Hosts(loop, seed)
    loop.on_signal(signal.SIGTERM, loop.stop)
    part = folder / "part"
    part.write_text(json.dumps(hosts.addresses))
    part.rename(folder / ADDRESSES_FILE)
    loop.run()
    (folder / SEEN_FILE).write_text(json.dumps(hosts.seen))


def _start_hosts(seed: int, folder: Path) -> int:
    """Fork the hosts onto the core before the clients'; the process id."""
    pid = os.fork()
    if not pid:
        os.sched_setaffinity(0, {max(0, min(os.sched_getaffinity(0)) - 1)})
        run_hosts(seed, folder)
        os._exit(0)
    return pid


def _start_gateway(folder: Path, change_log: str, seed: int, core: int) -> subprocess.Popen[bytes]:
    """The gateway's process on that core, before the hosts whose addresses are in the folder."""
    addresses = json.loads((folder / ADDRESSES_FILE).read_text())
    members = [(f"s-{place}", host, "Ready") for place, host in enumerate(addresses)]
    configuration = GatewayConfiguration(
        name="n1",
        listen=GATEWAY,
        change_log=change_log,
        known={"seq": 1, "results": [event(1, *members, complete=True)]},
        settings=deployment_settings(REQUEST_CLASSES[2:]),
        seed=seed,
    )
    command, environment = configuration.write(folder)
    return subprocess.Popen(
        ["taskset", "-c", str(core), *command], env=os.environ | environment, stderr=subprocess.DEVNULL
    )


class Clients:
    """Clients that send requests at a steady rate; one in ten leaves a little after its request.

    `left`: when the client of a request left, by the request's id; `late`: the greatest lateness of a
    request's sending, ns; `sent`: how many were sent.
    """

    def __init__(self, loop: Loop, rate: int, seed: int) -> None:
        self.left: dict[str, int] = {}
        self.late = self.sent = 0
        self._loop, self._chance, self._interval = loop, RandomGenerator(seed), SECOND // rate
        self._answers: list[dict[str, Any]] = []
        self._clients: list[ScriptedClient] = []
        self._next = self._first_counted = 0

    def connect(self) -> None:
        """Open the connections."""
        self._clients = [self._connect() for _ in range(CONNECTIONS)]

    def start(self) -> None:
        """Send requests from now on."""
        self._next = self._loop.now()
        self._loop.call_soon(self._send_due)

    def reset_counts(self) -> None:
        """Count from now on."""
        self.left, self.late, self._first_counted = {}, 0, self.sent

    def served_share(self) -> float:
        """The share with a result, of the requests whose client stayed."""
        served = sum("result" in each for each in self._answers if each["id"] > self._first_counted)
        return served / (self.sent - self._first_counted - len(self.left))

    def _connect(self) -> ScriptedClient:
        client = ScriptedClient(self._loop, GATEWAY)
        client.answers = self._answers
        client.ready.then(lambda promise: None)
        return client

    def _send_due(self) -> None:
        """Send all requests that are due; one client in ten leaves a little later."""
        now = self._loop.now()
        self.late = max(self.late, now - self._next)
        while self._next <= now:
            self._next += self._interval
            self.sent += 1
            place = self._chance.below(CONNECTIONS)
            client = self._clients[place]
            client.ask(self.sent, REQUEST_CLASSES[self._chance.below(4)].name)
            if self._chance.below(10) == 0:
                self._clients[place] = self._connect()
                self._loop.call_later(
                    self._chance.below(MAX_LEAVE_TIME), self._leave, client, f"{self.sent:016x}"
                )
        self._loop.call_at(self._next, self._send_due)

    def _leave(self, client: ScriptedClient, request_id: str) -> None:
        if client.stream is None:
            return
        self.left[request_id] = self._loop.now()
        if self._chance.below(2):
            client.stream.abort()
        else:
            client.stream.close()


class Figures(NamedTuple):
    """What one play gave."""

    busy: float  # share of a core that the gateway took
    served: float  # share of the requests whose client stayed
    lags: list[
        int
    ]  # ns from a client's leaving to the begin of its request's last attempt, 0 for none; sorted
    late: int  # ns, of the clients at most


def play(loop: Loop, rate: int, seconds: int, seed: int, core: int, folder: Path) -> Figures:
    """Play clients at that rate for so long; `core`: the gateway's."""
    log = ScriptedChangeLog(loop)
    hosts = _start_hosts(seed, folder)
    while not (folder / ADDRESSES_FILE).exists():
        loop.run(until=loop.sleep(MILLI))
    gateway = _start_gateway(folder, log.address, seed, core)
    clients = Clients(loop, rate, seed)
    try:
        busy = _share_of_core(loop, clients, gateway.pid, seconds)
    finally:
        gateway.terminate()
        gateway.wait()
        os.kill(hosts, signal.SIGTERM)
        os.waitpid(hosts, 0)
    seen = json.loads((folder / SEEN_FILE).read_text())
    lags = sorted(max(0, seen.get(name, 0) - at) for name, at in clients.left.items())
    return Figures(busy, clients.served_share(), lags, clients.late)


def _share_of_core(loop: Loop, clients: Clients, gateway_pid: int, seconds: int) -> float:
    """Let the clients warm up and be counted for so long; the share of a core that the gateway took."""
    loop.run(until=loop.sleep(SECOND))
    clients.connect()
    loop.run(until=loop.sleep(SECOND))
    clients.start()
    loop.run(until=loop.sleep(WARM_UP_TIME))
    clients.reset_counts()
    before, began = cpu_seconds(gateway_pid), loop.now()
    loop.run(until=loop.sleep(seconds * SECOND))
    return (cpu_seconds(gateway_pid) - before) / ((loop.now() - began) / SECOND)


def make_row(rate: int, figures: Figures) -> dict[str, Any]:
    """The play's row of the table."""
    lags = [lag / MILLI for lag in figures.lags]
    share = sum(lag > 100 for lag in lags) / len(lags)
    return {
        "tasks/s": rate,
        "loop, of a core": f"{figures.busy:.2f}",
        "served": f"{figures.served:.0%}",
        "left": len(lags),
        "begun after": sum(lag > 0 for lag in lags),
        "99th, ms": f"{lags[int(0.99 * len(lags))]:.1f}",
        "latest, ms": f"{lags[-1]:.1f}",
        "over 0.1 s": f"{share:.2%}",
        "peers late by, ms": f"{figures.late / MILLI:.1f}",
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
            figures = play(loop, rate, options.seconds, options.seed, core, Path(folder))
            loop.close()
        rows.append(make_row(rate, figures))
    print(table(rows))
    if options.out:
        write(options.out, "leaving", rows)


if __name__ == "__main__":
    main()
