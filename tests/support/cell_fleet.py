"""A fleet of cells for tests: gateways as processes of the program, stand-in hosts on the test's own loop,
table and host lists as files."""

import json
import os
import signal
import subprocess
import sys

from helpers import MILLI, SECOND, ListTap

from benchmarks.scale.forwarding import free_ports
from gaproute.config.cell_files import read_complete_cell_table
from gaproute.decisions.cells.homes import HomeCells
from gaproute.http1 import Exchange
from gaproute.loop import Loop, Promise
from gaproute.loop.addresses import parse_address
from gaproute.standins.kserve import KServeHost
from gaproute.standins.model_server import HostProfile, HostSetup, ModelProfile
from gaproute.standins.model_store import ModelStore, StoreProfile
from gaproute.standins.tap import Tap

MODELS = 24  # of each track
KINDS = {
    "check": "pure",
    "order": "effectful",
    "plan": "receipted remembers 6s",
    "rack-plan": "receipted group rack remembers 6s",
}
WORK, START = 5 * MILLI, 10 * MILLI  # of a call; of a load, after its fetch


def models(track):
    """Names of a track's models."""
    return [f"{track}-{number}" for number in range(MODELS)]


class CellFleet:
    """`cells`: {cell: (zone, its entry gateways)}, where region R has the zones R1, R2 and so on."""

    def __init__(self, folder, cells, hosts=2):
        self.folder, self.cells, self.loop = folder, dict(cells), Loop()
        self.lists = folder / "cells"
        self.lists.mkdir()
        self.table = folder / "cells.table"
        profile = StoreProfile(rate=200.0, limit=100, thrash=0.0)
        self.store = ModelStore(self.loop, parse_address("127.0.0.1:0"), profile, Tap(None, self.loop.clock))
        self.hosts, self.taps, self.processes = {}, {}, {}
        self.number = 0  # of the table's version
        self.servers = []  # further ones of the test
        for cell in cells:
            for number in range(hosts):
                self.add_host(f"{cell}-h{number}", cell)
            self.list_hosts(cell, [name for name in self.hosts if name.startswith(f"{cell}-h")])
        names = sorted({name for _, entries in cells.values() for name in entries})
        wheres = [f"127.0.0.2:{port}" for port in free_ports(2 * len(names))]
        self.clients = dict(zip(names, wheres[::2], strict=True))  # where clients ask, by gateway
        self.entries = dict(zip(names, wheres[1::2], strict=True))  # where other gateways do

    # Hosts and files

    def add_host(self, name, cell):
        """A stand-in host that holds all models."""
        made = {
            model: ModelProfile(model, track, 4, WORK, START) for track in KINDS for model in models(track)
        }
        tap = self.taps[name] = ListTap(self.loop.clock)
        profile = HostProfile(name, copies=4 * len(made))
        setup = HostSetup(profile=profile, models=made, store=self.store.address, seed=3, warm=True)
        self.hosts[name] = KServeHost(self.loop, parse_address("127.0.0.1:0"), setup, tap)

    def list_hosts(self, cell, names, also=""):
        """The cell's host list."""
        lines = [f"host {name} {self.hosts[name].address} capacity 4" for name in names]
        self.replace(self.lists / f"{cell}.hosts", "\n".join([*lines, also]) + "\n")

    def table_text(self, cells=None, number=None, term=1, fleet="north"):
        """A table as text; `cells`: as the fleet's."""
        lines = [f"table {fleet} term {term} number {number or self.number}"]
        for cell, (zone, entries) in (self.cells if cells is None else cells).items():
            ways = ",".join(f"{name}={self.entries[name]}" for name in entries)
            lines.append(
                f"cell {cell} region {zone[0]} zone {zone} capacity 100 hosts 2 points {cell}:0+32"
                + (f" entries {ways}" if ways else "")
            )
        return "\n".join(lines) + "\nend\n"

    def write_table(self, cells=None, path=None):
        """A newer table, put in place at one stroke."""
        self.number += 1
        self.written = self.table_text(cells)
        self.replace(path or self.table, self.written)

    def replace(self, path, text):
        """Write a file beside its place, then put it there."""
        fresh = path.with_suffix(".new")
        fresh.write_text(text)
        os.replace(fresh, path)

    def home(self, model):
        """The first home of a model by the table written last."""
        path = self.folder / "last.table"
        path.write_text(self.written)
        return HomeCells(read_complete_cell_table(path)).first(model)

    def homed(self, track, cell):
        """A model of the track that has its home in that cell."""
        return next(model for model in models(track) if self.home(model) == cell)

    # Gateways

    def configure(self, name, zone, table=None, table_file=None, more=""):
        """The configuration of a gateway, as a file."""
        lines = [
            f"name {name}",
            f"listen kserve {self.clients[name]}",
            f"listen peers {self.entries[name]}",
            f"listen operator unix:{self.folder}/{name}.op",
            f"cells north file {table or self.table} look 5ms region {zone[0]} zone {zone}"
            + (f" kept {table_file}" if table_file else ""),
            f"cell-hosts {self.lists} look 5ms",
        ]
        for track, effect in KINDS.items():
            lines.append(f"track {track} {effect} contract 2s limit 4s")
            lines += [f"model {model} track {track} lanes 4 load 20ms" for model in models(track)]
        file = self.folder / f"{name}.conf"
        file.write_text("\n".join(lines) + f"\n{more}")
        return file

    def start(self, name, zone, arguments=(), **options):
        """A gateway as a process, with further arguments on its command line; `up` waits for it."""
        file = self.configure(name, zone, **options)
        command = [sys.executable, "-m", "gaproute", "serve", str(file), "--seed", "5", *arguments]
        with open(self.folder / f"{name}.log", "ab") as errors:
            self.processes[name] = subprocess.Popen(command, stderr=errors)

    def up(self, *names, version=None):
        """Until these serve by the version (the last written one)."""
        version = version or f"1.{self.number}"
        for name in names:
            self.until(lambda name=name: self.cell_status(name).get("version") == version)

    def stop(self, name, how=signal.SIGTERM):
        """End a gateway and wait for it."""
        process = self.processes.pop(name)
        process.send_signal(how)
        self.until(lambda: process.poll() is not None)

    def events(self, name, event):
        """Lines of a gateway's log."""
        text = (self.folder / f"{name}.log").read_text()
        lines = [json.loads(line) for line in text.splitlines() if line.startswith("{")]
        return [line for line in lines if line["event"] == event]

    # Calls

    def close_also(self, server):
        """A server of the test's own, which ends with the fleet."""
        self.servers.append(server)

    def ask(self, name, model, call="t", fields="", wheres=None):
        """A client's call; a promise of the answer, or of None where none came. `wheres`: addresses
        other than the clients'."""
        body = json.dumps({"id": call, "inputs": []}).encode()
        head = f"POST /v2/models/{model}/infer HTTP/1.1\r\nHost: g\r\n{fields}Content-Length: {len(body)}\r\n"
        return self.exchange((wheres or self.clients)[name], f"{head}\r\n".encode() + body)

    def exchange(self, where, data):
        """One request's answer, as a promise."""
        came = Promise()
        exchange = Exchange(self.loop, data, lambda answer, fault: came.set(answer))
        exchange.connect(parse_address(where), SECOND, 65536, 1 << 24)
        return came

    def cell_status(self, name):
        """What a gateway reports of its cells; {} where it does not answer."""
        return (self.status(name) or {}).get("cells", {})

    def status(self, name):
        """What a gateway reports of itself; None where it does not answer."""
        return self.operator(name, "status")

    def operator(self, name, path):
        """What the operators' address answers; None where nobody answers."""
        head = f"GET /{path} HTTP/1.1\r\nHost: g\r\nConnection: close\r\n\r\n"
        answer = self.wait(self.exchange(f"unix:{self.folder}/{name}.op", head.encode()))
        return json.loads(answer.body) if answer is not None else None

    def came(self, call):
        """Hosts that a call reached, in order of the hosts."""
        return [
            name
            for name, tap in self.taps.items()
            for event in tap.events
            if event["what"] == "task" and event["id"] == call
        ]

    def ran(self, call):
        """Hosts at which a call ran to its end."""
        return [
            name
            for name, tap in self.taps.items()
            for event in tap.events
            if event["what"] == "ran" and event["id"] == call
        ]

    # Time

    def wait(self, promise, within=10):
        """The promise's value."""
        timer = self.loop.call_later(within * SECOND, promise.fail, TimeoutError("waited too long"))
        value = self.loop.run(until=promise)
        timer.cancel()
        return value

    def until(self, condition, within=20):
        """Turns of the loop until the condition holds; it may itself use the loop."""
        end = self.loop.now() + within * SECOND
        while not condition():
            assert self.loop.now() < end, "waited too long"
            self.rest(5 * MILLI)

    def rest(self, span):
        """So much time goes by."""
        self.wait(self.loop.sleep(span))

    def close(self):
        """End every process, by its own id."""
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for server in [host.server for host in self.hosts.values()] + self.servers:
            server.close()
        self.store.server.close()
        self.loop.close()
