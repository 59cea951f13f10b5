"""What one gateway of the platform costs as its host list grows: processes on loopback.

One `gaproute.platform` with 3 tasks a second, as a gateway of a large fleet sees them, before stand-in hosts:
CPU of the start, of an idle second, of a change of one line of the list, of a task; bytes of its log.

    python -m benchmarks.wide [--hosts 60,120,400,1000] [--seconds 15] [--plays 3]
"""

import argparse
import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from statistics import median

from gaproute.scenarios.processes import DayProcess
from gaproute.standins.platform.deployment_settings import RequestClassSettings, deployment_settings
from gaproute.standins.platform.gateway_configuration import GatewayConfiguration
from gaproute.standins.platform.host_list import VersionedHostList, member

MILLI = 1_000_000
RATE = 3.0  # tasks a second
FUNCTIONS = 400
CHANGES = 40  # of a line of the list
HOSTS_EACH = 250  # in one stand-in process
TRACKS = [RequestClassSettings("fault-check", priority_weight=3.0)]
MODELS = [
    {"name": f"{number:016x}", "track": TRACKS[0].name, "lanes": 4, "work": 40 * MILLI, "start": 100 * MILLI}
    for number in range(1, FUNCTIONS + 1)
]


def cpu(pid):
    """Seconds of CPU that the process has taken."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0]) / 1e9  # of its one thread


class Scene:
    def __init__(self, folder, count):
        self.folder, self.processes, self.listing = Path(folder), [], VersionedHostList()
        where = {}
        for first in range(0, count, HOSTS_EACH):
            _, told = self.start_stand_in(
                "platform-host",
                {
                    "models": MODELS,
                    "taps": folder,
                    "seed": 3,
                    "hosts": [
                        {"listen": "127.0.0.2:0", "warm": True, "make": {"name": f"s-{number}", "copies": 12}}
                        for number in range(first, min(count, first + HOSTS_EACH))
                    ],
                },
            )
            where |= told["addresses"]
        self.where = where
        whole = self.listing.change(*[member(name, at) for name, at in where.items()])
        self.log, ways = self.start_stand_in(
            "platform-log", {"gateways": ["127.0.0.2:0"], "tap": f"{folder}/log"}
        )
        self.log.send(whole)
        self.gateway(ways["addresses"][0])

    def start_stand_in(self, kind, told):
        process = DayProcess([sys.executable, "-m", "gaproute.standins", kind], told, self.folder / "err")
        self.processes.append(process)
        return process, json.loads(process.child.stdout.readline())

    def gateway(self, changelog):
        configuration = GatewayConfiguration(
            name="g0",
            listen="127.0.0.2:0",
            change_log=changelog,
            known=self.listing.snapshot(),
            settings=deployment_settings(TRACKS, gateways=200),
        )
        command, environment = configuration.write(self.folder)
        self.said = self.folder / "g0.log"
        with open(self.said, "wb") as log:
            self.child = subprocess.Popen(command, env=os.environ | environment, stderr=log)
        while True:
            for line in self.said.read_bytes().split(b"\n")[:-1]:
                told = json.loads(line)
                if told["event"] == "started":
                    self.listens = told["listen_address"]
                    return
            if self.child.poll() is not None:
                raise RuntimeError(f"the gateway did not start; see {self.said}")
            time.sleep(0.01)

    def spent(self, do):
        """Seconds of CPU while `do` runs."""
        before = cpu(self.child.pid)
        do()
        return cpu(self.child.pid) - before

    def change(self):
        """One host drains and another comes back, in turn, each some milliseconds after the last."""
        names = sorted(self.where)
        for number in range(CHANGES):
            name = names[number // 2 % len(names)]
            state = ("draining", "active")[number % 2]
            self.log.send(self.listing.change(member(name, self.where[name], state)))
            time.sleep(0.05)

    def serve(self, seconds):
        clients, _ = self.start_stand_in(
            "platform-clients",
            {
                "gateways": [self.listens],
                "models": MODELS,
                "seed": 5,
                "tap": f"{self.folder}/clients",
                "kinds": [{"name": TRACKS[0].name, "share": 1.0, "limit": 5000 * MILLI, "pure": True}],
                "habits": {"rate": RATE},
                "length": int(seconds * 1000) * MILLI,
            },
        )
        clients.child.wait(seconds + 40)

    def end(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGTERM)
            self.child.wait(15)
        for process in self.processes:
            process.close()


def play(hosts, seconds):
    with tempfile.TemporaryDirectory() as folder:
        scene = Scene(folder, hosts)
        try:
            start = cpu(scene.child.pid)
            scene.spent(lambda: time.sleep(1))  # what the start leaves to be done
            said = scene.said.stat().st_size
            idle = scene.spent(lambda: time.sleep(seconds)) / seconds
            said = (scene.said.stat().st_size - said) / seconds
            begun = time.monotonic()
            busy = scene.spent(lambda: scene.serve(seconds))
            served = busy - idle * (time.monotonic() - begun)
            # With functions known the list has something to be ranked for.
            begun = time.monotonic()
            changes = scene.spent(scene.change) - idle * (time.monotonic() - begun)
            return start, idle, changes / CHANGES, served / (RATE * seconds), said
        finally:
            scene.end()


def main():
    asked = argparse.ArgumentParser()
    asked.add_argument("--hosts", default="60,120,400,1000")
    asked.add_argument("--seconds", type=float, default=15)
    asked.add_argument("--plays", type=int, default=3)
    told = asked.parse_args()
    print("| hosts | start, CPU s | idle, % of a core | a list change, ms | a task, ms | log, bytes/s |")
    print("| --- | --- | --- | --- | --- | --- |")
    for hosts in map(int, told.hosts.split(",")):
        plays = [play(hosts, told.seconds) for _ in range(told.plays)]
        start, idle, change, task, said = (
            f"{median(each) * factor:.2f} ({min(each) * factor:.2f} to {max(each) * factor:.2f})"
            for each, factor in zip(zip(*plays, strict=True), (1, 100, 1000, 1000, 1), strict=True)
        )
        print(f"| {hosts} | {start} | {idle} | {change} | {task} | {said} |", flush=True)


if __name__ == "__main__":
    main()
