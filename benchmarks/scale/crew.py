"""The processes of a rung on loopback: real gateways and hollow ones, started and ended here, and no others.

Children are killed by the kernel when this process ends, whatever ends it; a shell that waits for the end of
its input then removes the folder.
"""

import json
import os
import subprocess
import tempfile
import time
from pathlib import Path

from benchmarks.scale.children import command
from benchmarks.scale.limits import resident
from benchmarks.scale.logs import logged
from gaproute.cluster.lateness import CHECK_INTERVAL
from gaproute.hollow.simulation.lists import HostLists

KEEPERS = 3
TICKS = os.sysconf("SC_CLK_TCK")
PORT, CLIENTS = 7461, 7462
REMOVER = 'cat > /dev/null; sleep 1; rm -rf "$1"'
COMMON = """\
listen peers {where}:{port}
hosts-file {folder}/hosts.list look 400ms
peers-file {folder}/peers.list look 1s
weak-word yes
keepers {keepers} longest 30s{votes}
reports answer probes no
track inference pure contract 1200ms limit 5s
model model-000 track inference lanes 4
"""


class ReplacedFile:
    """A file that is replaced whole, as readers of other processes look at any time."""

    def __init__(self, path):
        self.path = path

    def write(self, text):
        """The whole text at once."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(text)
        os.replace(fresh, self.path)


class Crew:
    """`size` gateways, the first `real` of them as processes of their own; a context manager."""

    def __init__(self, size, real, each, seed, hosts):
        self.size, self.each, self.seed, self.hosts = size, each, seed, hosts
        self.numbers = range(real)
        self.real, self.hollow = {}, {}  # name: process; (first, count): process
        self.late_ns = self.hollow_late_ns = 0  # of this process, of all snapshots
        self.killed_real, self.killed_hollow = set(), ""

    def hollow_ranges(self):
        """(first, count) of each process of hollow gateways."""
        first = len(self.numbers)
        return [(begin, min(self.each, self.size - begin)) for begin in range(first, self.size, self.each)]

    @staticmethod
    def address(number):
        """The address of a gateway, without its port."""
        return f"127.61.{number >> 8}.{number & 255}"

    def __enter__(self):
        self.folder = Path(tempfile.mkdtemp(prefix="gaproute-ladder-"))
        self.remover = subprocess.Popen(
            ["sh", "-c", REMOVER, "sh", str(self.folder)], stdin=subprocess.PIPE, start_new_session=True
        )
        return self

    def __exit__(self, *fault):
        processes = self.processes()
        for process in processes:
            process.kill()
        for process in processes:
            process.wait()
        self.remover.stdin.close()
        self.remover.wait()

    # Starts

    def start(self):
        """Writes the lists and starts all processes, a few at a time."""
        self.lists = HostLists(self.hosts, [ReplacedFile(self.folder / "hosts.list")])
        peers = [f"peer g{number} {self.address(number)}:{PORT}\n" for number in range(self.size)]
        (self.folder / "peers.list").write_text("".join(peers))
        for number in self.numbers:
            self.start_real(number)
            time.sleep(0.1)
        config = self.folder / "hollow.conf"
        config.write_text("name hollow\n" + self.common("127.0.0.1", ""))
        for first, count in self.hollow_ranges():
            words = ["gaproute.hollow", str(config), "--first", first, "--count", count, "--seed", self.seed]
            self.hollow[first, count] = self.popen(f"hollow-{first}", words, stdin=subprocess.PIPE)
            time.sleep(0.1)

    def common(self, where, votes):
        """The lines that all gateways have."""
        keepers = ",".join(f"g{number}" for number in range(KEEPERS))
        return COMMON.format(where=where, port=PORT, folder=self.folder, keepers=keepers, votes=votes)

    def start_real(self, number):
        """Starts one process of `gaproute serve`."""
        name, where = f"g{number}", self.address(number)
        votes = f" votes {self.folder}/{name}.votes" if number < KEEPERS else ""
        config = self.folder / f"{name}.conf"
        config.write_text(f"name {name}\nlisten kserve {where}:{CLIENTS}\n" + self.common(where, votes))
        words = ["gaproute", "serve", str(config), "--seed", self.seed * 1000 + number]
        self.real[name] = self.popen(name, words)

    def popen(self, name, words, **more):
        """A process that ends with this one; its log goes into the folder."""
        with open(self.folder / f"{name}.log", "wb") as log:
            return subprocess.Popen(command(words), stdout=subprocess.PIPE, stderr=log, **more)

    def processes(self, kind=None):
        """Those that were started and not killed since."""
        real = [process for name, process in self.real.items() if name not in self.killed_real]
        return {"real": real, "hollow": [*self.hollow.values()]}.get(kind, real + [*self.hollow.values()])

    # Time and cost

    def lateness(self):
        """{who: ns that it was late at most since the last call}"""
        self.snapshots()
        late = {"parent": self.late_ns, "hollow": self.hollow_late_ns}
        self.late_ns = self.hollow_late_ns = 0
        return late

    def wait(self, seconds):
        """Sleeps in beats, and notes how late this process is."""
        end = time.monotonic_ns() + round(seconds * 1e9)
        while (now := time.monotonic_ns()) < end:
            due = min(now + CHECK_INTERVAL, end)
            time.sleep((due - now) / 1e9)
            self.late_ns = max(self.late_ns, time.monotonic_ns() - due)

    def cpu(self):
        """{pid: seconds of CPU}"""
        found = {}
        for process in self.processes():
            fields = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
            found[process.pid] = (int(fields[11]) + int(fields[12])) / TICKS
        return found

    def waited(self):
        """{pid: seconds for which it was ready to run and had no core}"""
        return {
            process.pid: int(Path(f"/proc/{process.pid}/schedstat").read_text().split()[1]) / 1e9
            for process in self.processes()
        }

    def memory(self, kind=None):
        """{pid: bytes resident}"""
        return {process.pid: resident(process.pid) for process in self.processes(kind)}

    # Hollow gateways

    def order(self, process, order):
        """Gives one order to a process of hollow gateways."""
        process.stdin.write(json.dumps(order).encode() + b"\n")
        process.stdin.flush()

    def asked(self, order):
        """The answers of all processes of hollow gateways."""
        for process in self.hollow.values():
            self.order(process, order)
        return [json.loads(process.stdout.readline()) for process in self.hollow.values()]

    def snapshots(self):
        """What each process of hollow gateways tells of itself now."""
        told = self.asked({"snapshot": True})
        self.hollow_late_ns = max(self.hollow_late_ns, *(each["late_ns"] for each in told))
        return told

    def totals(self):
        """Sums over all hollow gateways, and how many up the one that knows fewest holds."""
        found, told = {"gateways": 0}, self.snapshots()
        for each in told:
            found["gateways"] += each["gateways"]
            for name, value in each["totals"].items():
                found[name] = found.get(name, 0) + value
        return found | {"least_up": min(each["least_up"] for each in told)}

    def holder(self, number):
        """The process that runs this hollow gateway."""
        return next(
            process for (first, count), process in self.hollow.items() if first <= number < first + count
        )

    def kill_hollow(self):
        """Ends the last hollow gateway without a word; its name."""
        self.killed_hollow = f"g{self.size - 1}"
        self.order(self.holder(self.size - 1), {"kill": self.killed_hollow})
        return self.killed_hollow

    def start_killed(self):
        """Starts the hollow gateway that was ended, empty; its name."""
        self.order(self.holder(self.size - 1), {"start": self.killed_hollow})
        return self.killed_hollow

    def hollow_last(self, name, state, since=0.0):
        """When the last hollow gateway noted the state after `since`; None until all others have."""
        told, noted, last = self.asked({"changes": name}), 0, 0.0
        for each in told:
            for who, how, _, count, _, at in each["changes"]:
                if who == name and how == state and at > since:
                    noted, last = noted + count, max(last, at)
        running = sum(each["gateways"] for each in told)
        return last if noted >= running - (state == "alive") else None

    # Real gateways

    def kill_real(self):
        """Kills the last real gateway; its name."""
        name = f"g{len(self.numbers) - 1}"
        self.real[name].kill()
        self.real[name].wait()
        self.killed_real.add(name)
        return name

    def drain(self, host):
        """The host list tells that this host drains."""
        self.lists.states[host] = "draining"
        self.lists.publish()

    def real_last(self, event, name, state, since=0.0):
        """When the last real gateway logged it after `since`; None until all others have."""
        lasts = []
        for who in self.real:
            if who in self.killed_real or who == name:
                continue
            at = logged(self.folder / f"{who}.log", event, name, state, since)
            if at is None:
                return None
            lasts.append(at)
        return max(lasts)
