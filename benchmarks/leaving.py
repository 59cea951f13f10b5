"""How long after its client left an attempt for a task still begins, at a gateway whose loop is full.

    taskset -c 7 python benchmarks/leaving.py [--rates 4000,5600] [--seconds 20] [--seed 1] [--peers 6]

One gateway of the platform in a process of its own on the core that this is started on; its clients share a
process on the core `--peers`, its hosts one on the core before that. Of the tasks, which come at a steady
rate over kept connections, one in ten loses its client within 20 ms, by a close or a reset. Hosts take 30 ms,
and turn one attempt in ten away, so that it is sent on. The lag runs from just before the close to when the
host has read the attempt, so it holds the peers' own lateness, which is told beside it.
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.relay_processes import cpu
from benchmarks.rows import table, write
from gaproute.decisions.chance import Chance
from gaproute.loop import Loop
from gaproute.standins.platform.deployment_settings import RequestClassSettings, deployment_settings
from gaproute.standins.platform.gateway_configuration import GatewayConfiguration
from gaproute.standins.platform.scripted import ScriptedChangeLog, ScriptedClient, ScriptedHost, event

MILLI, SECOND = 1_000_000, 1_000_000_000
HOSTS, KEPT = 12, 300  # kept connections of clients
WORK, LEAVES = 30 * MILLI, 20 * MILLI
WARM = 2 * SECOND  # first ones, which count for nothing
TRACKS = (
    RequestClassSettings("check"),
    RequestClassSettings("check"),
    RequestClassSettings("check"),
    RequestClassSettings("order", "effectful"),
)


class Hosts:
    """In a process of their own; `seen`: id: when its last attempt was read."""

    def __init__(self, seed, folder):
        self.loop, self.chance, self.seen = Loop(), Chance(seed), {}
        self.hosts = [ScriptedHost(self.loop, self.answer) for _ in range(HOSTS)]
        self.loop.on_signal(signal.SIGTERM, self.loop.stop)
        Path(folder, "part").write_text(json.dumps([host.address for host in self.hosts]))
        Path(folder, "part").rename(Path(folder, "hosts"))
        self.loop.run()
        Path(folder, "seen").write_text(json.dumps(self.seen))

    def answer(self, stream, command):
        host = self.hosts[0]
        if command["type"] != "go":
            host.serve(stream, command)
            return
        self.seen[command["req"]] = self.loop.now()
        if self.chance.below(10) == 0:
            host.reply(stream, command, "overload")
        else:
            self.loop.after(WORK, host.serve, stream, command)


class Play:
    def __init__(self, loop, rate, seconds, seed, core, folder):
        self.loop, self.chance, self.rate = loop, Chance(seed), rate
        self.left, self.late = {}, 0  # id: when its client left
        self.sent, self.answers, log = 0, [], ScriptedChangeLog(loop)
        hosts = os.fork()
        if not hosts:
            os.sched_setaffinity(0, {max(0, min(os.sched_getaffinity(0)) - 1)})
            Hosts(seed, folder)
            os._exit(0)
        while not Path(folder, "hosts").exists():
            loop.run(until=loop.sleep(MILLI))
        known = {
            "seq": 1,
            "results": [
                event(
                    1,
                    *[
                        (f"s-{place}", host, "Ready")
                        for place, host in enumerate(json.loads(Path(folder, "hosts").read_text()))
                    ],
                    complete=True,
                )
            ],
        }
        where = "127.0.0.1:7390"
        configuration = GatewayConfiguration(
            name="n1",
            listen=where,
            change_log=log.address,
            known=known,
            settings=deployment_settings(TRACKS[2:]),
            seed=seed,
        )
        command, told = configuration.write(folder)
        self.node = subprocess.Popen(
            ["taskset", "-c", str(core), *command], env=os.environ | told, stderr=subprocess.DEVNULL
        )
        try:
            loop.run(until=loop.sleep(SECOND))
            self.clients = [self.client(where) for _ in range(KEPT)]
            self.where = where
            loop.run(until=loop.sleep(SECOND))
            self.next = loop.now()
            loop.soon(self.ask)
            loop.run(until=loop.sleep(WARM))
            self.left, self.late, first = {}, 0, self.sent
            before, began = cpu(self.node.pid), loop.now()
            loop.run(until=loop.sleep(seconds * SECOND))
            self.served = sum("result" in each for each in self.answers if each["id"] > first)
            self.asked = self.sent - first - len(self.left)
            self.busy = (cpu(self.node.pid) - before) / ((loop.now() - began) / SECOND)
        finally:
            self.node.terminate()
            self.node.wait()
            os.kill(hosts, signal.SIGTERM)
            os.waitpid(hosts, 0)
        seen = json.loads(Path(folder, "seen").read_text())
        self.lags = {name: seen[name] - at for name, at in self.left.items() if seen.get(name, 0) > at}

    def client(self, where):
        client = ScriptedClient(self.loop, where)
        client.answers = self.answers
        client.ready.then(lambda promise: None)
        return client

    def ask(self):
        now = self.loop.now()
        self.late = max(self.late, now - self.next)
        while self.next <= now:
            self.next += SECOND // self.rate
            self.sent += 1
            place = self.chance.below(KEPT)
            client = self.clients[place]
            client.ask(self.sent, TRACKS[self.chance.below(4)].name)
            if self.chance.below(10) == 0:
                self.clients[place] = self.client(self.where)
                self.loop.after(self.chance.below(LEAVES), self.leave, client, f"{self.sent:016x}")
        self.loop.at(self.next, self.ask)

    def leave(self, client, name):
        if client.stream is not None:
            self.left[name] = self.loop.now()
            client.stream.abort() if self.chance.below(2) else client.stream.close()


def row(rate, play):
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


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--rates", default="4000,5600")
    arguments.add_argument("--seconds", type=int, default=20)
    arguments.add_argument("--seed", type=int, default=1)
    arguments.add_argument("--peers", type=int, default=6)
    arguments.add_argument("--out")
    told = arguments.parse_args()
    core = min(os.sched_getaffinity(0))
    os.sched_setaffinity(0, {told.peers})
    rows = []
    for rate in [int(rate) for rate in told.rates.split(",")]:
        with tempfile.TemporaryDirectory() as folder:
            loop = Loop()
            rows.append(row(rate, Play(loop, rate, told.seconds, told.seed, core, folder)))
            loop.close()
    print(table(rows))
    if told.out:
        write(told.out, "leaving", rows)


if __name__ == "__main__":
    main()
