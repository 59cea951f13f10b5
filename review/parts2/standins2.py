# ruff: noqa: BLE001, D102, D103, SIM115 - stand-ins of the cases, not a part of the program
"""Stand-ins for the cases of the second review: clients, hosts and the change log of the platform.

Written from the operators' pages PROTOCOL.md and DEPLOY.md. Only the standard library is used. Every address
is on 127.0.0.1. Times are seconds of the Unix clock.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

# The settings of a small deployment: the example of WIRE-gaproute.md (ndiaye-lighting).
CLASSES = {
    "fault-check": ("free", 1200.0, 5000.0, 3.0),
    "dimming-plan": ("free", 1500.0, 6000.0, 1.0),
    "repair-order": ("single_shot", 600.0, 4000.0, 3.0),
}


def settings(gateways=1, classes=CLASSES, group="all", window=5000.0, **limits):
    lanes = [
        {
            "aim": aim,
            "deadline": deadline,
            "dedup_window": window,
            "effect": effect,
            "group": group,
            "late_worth": 0.2,
            "name": name,
            "stream": False,
            "worth": worth,
        }
        for name, (effect, aim, deadline, worth) in classes.items()
    ]
    return {
        "az": 0,
        "balancers": gateways,
        "client_habits": {"marks_retry": False},
        "family": "warm",
        "family_info": {
            "counts_alike": True,
            "idle_life": 9800.0,
            "idle_memory_cost": 0.0,
            "kind_memory_mb": [89600.0, 90112.0],
            "load_part": 0.3,
            "loads_anyway": 6.0,
            "loads_within": 10000.0,
            "on_miss": "load",
            "order_limit": 10000.0,
            "placement_calls": True,
            "report_x0": "share of memory that is at work or loading",
            "report_x1": "loads under way or waiting",
            "warm_notes": True,
        },
        "goal": {"whole": 0.65, "worst_class": 0.2, "worst_tenant": 0.0, "worst_window": 0.15},
        "index": 0,
        "lanes": lanes,
        "limits": {
            "cancel": True,
            "conn_idle": 15000.0,
            "connect_timeout": 250.0,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 400000,
            "max_retry_after": 1000.0,
            "may_duplicate": True,
            "multiplex": 100,
            "open_cap": 20000,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "send_cap": 6,
        }
        | limits,
        "machine_types": ["fast-4", "base-4"],
        "membership_mode": "pushed",
        "over_share_worth": 0.1,
        "prices": {
            "connection": 0.0,
            "cross_zone": 0.029,
            "handshake": 0.0,
            "late_fail": 0.05,
            "membership_mode": 0.0,
            "moves": 0.0,
            "origin": 0.1,
            "peer": 0.01,
            "probe": 0.025,
            "waste": 0.19,
        },
        "report": {"names": ["cpu_share", "x0"], "source": "pull"},
        "rules": {
            "answer_slack": 8.0,
            "ask_within": 10000.0,
            "cold": 18000.0,
            "cold_from": 0.17,
            "fall_multiple": 2.5,
            "stop_sending_within": 500.0,
            "tip_after": 1500.0,
        },
        "stages": ["model-hosts"],
        "tenants": [],
        "tick": 2.0,
        "tier": 0,
        "weight_kind": "nominal",
        "worth_by": "request",
        "zones": ["hall-a", "hall-b", "hall-c"],
    }


class Record:
    """record.txt in the folder of the case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(Path(folder) / "record.txt", "w", buffering=1)
        self.begun = time.time()

    def __call__(self, *words):
        self.file.write(f"{time.time() - self.begun:9.3f} " + " ".join(map(str, words)) + "\n")


def free_port():
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Host:
    """A host: lines of JSON. It serves every request after `work` seconds with a loaded copy."""

    def __init__(self, name, record, work=0.15):
        self.name, self.record, self.work = name, record, work
        self.address = ""
        self.ran = []  # (time, request id, class): each `go` that came whole
        self.orders = []
        self.server = None
        self.tasks = set()
        self.writers = set()
        self.on_go = None  # `await on_go(host, command, writer)` answers in place of the usual answer

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port, limit=1 << 20)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    def stop_listening(self):
        self.server.close()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        given_up = set()
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                if not line.endswith(b"\n"):
                    break
                command = json.loads(line)
                kind, request = command["type"], command["req"]
                if kind == "go":
                    self.ran.append((time.time(), request, command["meta"]["cls"]))
                    self.record(
                        "host",
                        self.name,
                        "go",
                        request,
                        command["meta"]["cls"],
                        "limit",
                        command["meta"]["limit"],
                    )
                    task = asyncio.ensure_future(self._go(command, writer, given_up))
                    self.tasks.add(task)
                    task.add_done_callback(self.tasks.discard)
                elif kind == "halt":
                    given_up.add(request)
                    self.record("host", self.name, "halt", request)
                elif kind == "ping":
                    self.say(writer, "green", request)
                elif kind == "stat":
                    self.say(writer, "green", request, meta={"meter": "cpu_share:0.25;x0:0.3"})
                elif kind == "stage":
                    copies = command["meta"]["copies"]
                    self.orders.append((time.time(), command["meta"]["item"], copies))
                    self.record("host", self.name, "stage", command["meta"]["item"], copies)
                    self.say(writer, "served", request, meta={"copies": copies})
        self.writers.discard(writer)
        with contextlib.suppress(OSError):
            writer.close()

    async def _go(self, command, writer, given_up):
        if self.on_go is not None:
            await self.on_go(self, command, writer)
            return
        await asyncio.sleep(self.work)
        if command["req"] not in given_up:
            self.served(writer, command)

    def body(self, command):
        return base64.b64encode(f"{self.name} {command['req']}".encode()).decode()

    def served(self, writer, command):
        self.record("host", self.name, "served", command["req"])
        self.say(writer, "served", command["req"], meta={"tell": "w"}, data=self.body(command))

    def say(self, writer, kind, request, **fields):
        with contextlib.suppress(OSError):
            writer.write(json.dumps({"type": kind, "req": request} | fields).encode() + b"\n")


class ChangeLog:
    """The change log of one gateway: server-sent events, a comment every second."""

    def __init__(self, record):
        self.record = record
        self.events = []
        self.told = {}  # host: time at which the event that drains or removes it was in the log
        self.streams = set()
        self.commented_at = 0.0
        self.on_request = None  # `await on_request(writer)` before the answer's head

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.beat = asyncio.ensure_future(self._comments())

    @staticmethod
    def member(host, phase="Ready", started=0, zone="hall-a", cell=2):
        return {
            "id": host.name,
            "host_port": host.address,
            "locality": zone,
            "flavor": "fast-4",
            "cell": cell,
            "phase": phase,
            "size": 4,
            "up_since_ms": started,
        }

    def add(self, members, *, complete=False):
        number = len(self.events) + 1
        event = {"seq": number, "fleet": {"revision": number, "complete": complete, "members": members}}
        self.events.append(event)
        for member in members:
            if member["phase"] != "Ready":
                self.told.setdefault(member["id"], time.time())
        self.record("change log: event", number, [[m["id"], m["phase"]] for m in members])
        for writer in list(self.streams):
            self._write(writer, self._encoded(event))

    def known(self):
        return {"seq": len(self.events), "results": list(self.events)}

    @staticmethod
    def _encoded(event):
        return b"id: %d\ndata: %b\n\n" % (event["seq"], json.dumps(event).encode())

    def _write(self, writer, data):
        with contextlib.suppress(OSError):
            writer.write(data)

    async def _comments(self):
        while True:
            await asyncio.sleep(1)
            self.commented_at = time.time()
            for writer in list(self.streams):
                self._write(writer, b": ok\n\n")

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            last = 0
            for line in head.decode().split("\r\n"):
                name, _, value = line.partition(":")
                if name.lower() == "last-event-id":
                    last = int(value)
            self.record("change log: asked from", last)
            if self.on_request is not None:
                await self.on_request(writer)
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n")
            for event in self.events[last:]:
                writer.write(self._encoded(event))
            self.streams.add(writer)
            while await reader.read(1024):
                pass
        self.streams.discard(writer)
        with contextlib.suppress(OSError):
            writer.close()


class Client:
    """One connection of a sound client. `answers`: by number, each with the time at which it came."""

    numbers = 0

    def __init__(self, record, name="c"):
        self.record, self.name = record, name
        self.answers, self.sent, self.ended = {}, {}, False
        self.number = 0

    async def connect(self, address, **options):
        host, port = address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port), **options)
        self.task = asyncio.ensure_future(self._read())

    async def _read(self):
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await self.reader.readuntil(b"\r\n\r\n")
                body = await self.reader.readexactly(int(head.split(b":")[1]))
                answer = json.loads(body)
                number = answer.get("id")
                self.answers.setdefault(number, []).append((time.time(), answer))
                what = "result" if "result" in answer else f"error {answer['error']['code']}"
                if number in self.sent:
                    self.record(self.name, "answer", self.sent[number][1], what)
        self.ended = True

    def write(self, message):
        body = json.dumps(message).encode()
        self.writer.write(b"Content-Length: %d\r\n\r\n%b" % (len(body), body))

    def send(self, method="fault-check", d=3000, function="7f3a9c21e0b4d655", **more):
        self.number += 1
        Client.numbers += 1
        request = f"{os.getpid() & 0xFFFF:04x}{Client.numbers:012x}"
        self.sent[self.number] = (time.time(), request, method, d)
        params = {
            "i": request,
            "d": d,
            "o": function,
            "arg": base64.b64encode(request.encode()).decode(),
            "extras": "memory_mb:512;lanes:4;load_ms:640",
        } | more
        self.record(self.name, "send", request, method, "d", d)
        self.write({"jsonrpc": "2.0", "id": self.number, "method": method, "params": params})
        return request

    async def ping(self):
        self.number += 1
        number = self.number
        self.write({"jsonrpc": "2.0", "id": number, "method": "ping"})
        for _ in range(100):
            await asyncio.sleep(0.01)
            if number in self.answers:
                return self.answers[number][0][1]["result"]["up"] is True
            if self.ended:
                break
        return False

    def close(self):
        with contextlib.suppress(OSError):
            self.writer.close()

    def unanswered(self, slack):
        """Requests without exactly one whole answer by `slack` seconds after their time."""
        found = []
        for number, (sent_at, request, _, d) in self.sent.items():
            answers = self.answers.get(number, [])
            if len(answers) != 1 or answers[0][0] > sent_at + d / 1000 + slack:
                late = f"{answers[0][0] - sent_at:.3f} s" if answers else "never"
                found.append((request, len(answers), late))
        return found


class Gateway:
    """A gateway, started by `run` of the deploy file from the repository's root."""

    def __init__(self, record, change_log, config_settings, name="n1", sockets=1024, cores=1.0):
        self.record, self.name = record, name
        self.listen = f"127.0.0.1:{free_port()}"
        self.folder = tempfile.mkdtemp(prefix="gaproute-case-")
        self.config = {
            "name": name,
            "listen": self.listen,
            "seed": os.urandom(8).hex(),
            "limits": {"cores": cores, "memory_mb": 192, "sockets": sockets},
            "changelog": change_log.address,
            "known": change_log.known(),
            "settings": config_settings,
        }
        self.path = Path(self.folder) / "config.json"
        self.process = None

    def write(self):
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.config))
        fresh.replace(self.path)

    async def start(self, stderr=None, environment=None):
        self.write()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        own = {
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": self.listen,
            "EDGE_CONFIG": str(self.path),
            "TMPDIR": self.folder,
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        log = stderr if stderr is not None else open(Path(self.folder) / "log", "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=os.environ | own | (environment or {}),
            stdin=asyncio.subprocess.DEVNULL,
            stdout=asyncio.subprocess.DEVNULL,
            stderr=log,
        )
        self.record("gateway", self.name, "started")

    async def until_up(self, seconds=20):
        until = time.time() + seconds
        while time.time() < until:
            client = Client(self.record, "ping")
            try:
                await client.connect(self.listen)
                if await client.ping():
                    return True
            except OSError:
                pass
            finally:
                if hasattr(client, "writer"):
                    client.close()
            await asyncio.sleep(0.1)
        return False

    def signal(self, number):
        self.record("gateway", self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            await self.process.wait()
        for entry in Path(self.folder).iterdir():
            entry.unlink()
        os.rmdir(self.folder)


def play(folder, case):
    """Runs `case(record)`, a coroutine that returns (code, text); exits with the code."""
    record = Record(folder)
    record("trouble", "on" if TROUBLE else "off")

    async def bounded():
        return await asyncio.wait_for(case(record), 110)

    try:
        code, text = asyncio.run(bounded())
    except Exception as error:  # the case could not run
        code, text = NOT_RUN, f"could not run: {error!r}"
    record("verdict", code, text)
    print(text)
    sys.exit(code)
