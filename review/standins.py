"""Small stand-ins for the cases: a platform, its change log, hosts and clients, on loopback addresses.

They follow the pages `PROTOCOL.md` and `DEPLOY.md`. All of them run in the process of the test; each gateway
is a process of its own, started by `run` of the deploy file. Times are seconds of the monotonic clock.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import tempfile
import time
import tomllib
from collections.abc import Awaitable
from pathlib import Path
from typing import Any, Protocol

ROOT = Path(__file__).resolve().parent.parent
JsonObject = dict[str, Any]
SLACK = 0.05  # by which the protocol lengthens every time limit, s
LATE = 0.5  # after its time, for which a final answer still counts, s
REFUSED = -32008


def free_port() -> int:
    """A port of 127.0.0.1 that is free at the moment."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        port: int = sock.getsockname()[1]
        return port


def settings(**limits: object) -> JsonObject:
    """The settings of WIRE, section 14, for one gateway: three classes, one of which must never run twice."""
    return {
        "az": 0,
        "balancers": 1,
        "client_habits": {"marks_retry": False},
        "family": "warm",
        "family_info": {
            "counts_alike": True,
            "idle_life": 9800.0,
            "kind_memory_mb": [89600.0, 90112.0],
            "load_part": 0.3,
            "loads_anyway": 6.0,
            "loads_within": 10000.0,
            "on_miss": "load",
            "order_limit": 10000.0,
            "placement_calls": True,
            "warm_notes": True,
        },
        "index": 0,
        "lanes": [
            lane("fault-check", "free", 1200.0, 5000.0, 3.0),
            lane("dimming-plan", "free", 1500.0, 6000.0, 1.0),
            lane("repair-order", "single_shot", 600.0, 4000.0, 3.0),
        ],
        "limits": {
            "cancel": True,
            "conn_idle": 15000.0,
            "connect_timeout": 250.0,
            "cpu_us_per_s": 400000,
            "max_retry_after": 1000.0,
            "may_duplicate": True,
            "multiplex": 100,
            "open_cap": 20000,
            "peers": False,
            "probes": True,
            "retry_after": True,
            "send_cap": 6,
            **limits,
        },
        "machine_types": ["fast-4", "base-4"],
        "membership_mode": "pushed",
        "over_share_worth": 0.1,
        "prices": {"cross_zone": 0.029, "late_fail": 0.05, "origin": 0.1, "probe": 0.025, "waste": 0.19},
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


def lane(name: str, effect: str, aim: float, deadline: float, worth: float) -> JsonObject:
    """A request class of the settings; times in ms."""
    return {
        "aim": aim,
        "deadline": deadline,
        "dedup_window": 5000.0,
        "effect": effect,
        "group": "all",
        "late_worth": 0.3,
        "name": name,
        "stream": False,
        "worth": worth,
    }


class Case(Protocol):
    """Plays a case; returns the exit code."""

    def __call__(self, record: "Record", folder: Path, *, trouble: bool) -> Awaitable[int]:
        """`folder`: a temporary one; without `trouble` the case is played without the disruption."""


class Record:
    """The file `record.txt`: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file, self.started_at = path.open("w"), time.monotonic()

    def note(self, what: str, **fields: object) -> None:
        """Writes one line."""
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{time.monotonic() - self.started_at:9.3f} {what} {text}\n")
        self.file.flush()


class ChangeLog:
    """The change log: `GET /changes`, server-sent events, a comment every second."""

    def __init__(self, record: Record) -> None:
        self.record, self.port = record, free_port()
        self.events: list[JsonObject] = []
        self.server: asyncio.Server | None = None

    def add(self, members: list[JsonObject], *, complete: bool) -> None:
        """Adds an event, which open connections are sent at once."""
        seq = len(self.events) + 1
        fleet = {"revision": seq, "complete": complete, "members": members}
        self.events.append({"seq": seq, "fleet": fleet})
        self.record.note("told", seq=seq, members=[[each["id"], each["phase"]] for each in members])

    def known(self) -> JsonObject:
        """The events up to now, as the configuration has them."""
        return {"seq": len(self.events), "results": self.events}

    async def start(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            last = 0
            for line in head.split("\r\n"):
                if line.startswith("last-event-id:"):
                    last = int(line.partition(":")[2])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: on\n\n")
            comment_at = time.monotonic() + 1
            while not writer.is_closing():
                for event in self.events[last:]:
                    text = json.dumps(event)
                    writer.write(f"id: {event['seq']}\ndata: {text}\n\n".encode())
                    last = event["seq"]
                if time.monotonic() >= comment_at:
                    comment_at += 1
                    writer.write(b": on\n\n")
                await writer.drain()
                await asyncio.sleep(0.02)
        writer.close()


class Host:
    """A host: takes commands as JSON lines; answers each request after `work` seconds with a body of its own.

    `hangs`: takes requests and answers nothing. `runs`: for each id of a request, the times at which it came.
    """

    def __init__(self, name: str, record: Record, work: float = 0.02) -> None:
        self.name, self.record, self.work = name, record, work
        self.port, self.hangs = free_port(), False
        self.runs: dict[str, list[float]] = {}
        self.commands: list[tuple[float, JsonObject]] = []
        self.made: dict[str, str] = {}  # the body for each id
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    def member(self, phase: str = "Ready") -> JsonObject:
        """Its entry in the change log."""
        return {
            "id": self.name,
            "host_port": f"127.0.0.1:{self.port}",
            "locality": "hall-a",
            "flavor": "fast-4",
            "cell": 0,
            "phase": phase,
            "size": 4,
            "up_since_ms": 0,
        }

    async def start(self) -> None:
        """Listens."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port, limit=1 << 20)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.CancelledError, ValueError):
            while line := await reader.readline():
                if line.endswith(b"\n"):
                    self._take(json.loads(line), writer)
        self.writers.discard(writer)
        writer.close()

    def _take(self, command: JsonObject, writer: asyncio.StreamWriter) -> None:
        now, kind, request = time.monotonic(), command["type"], str(command["req"])
        self.commands.append((now, command))
        if kind == "go":
            self.runs.setdefault(request, []).append(now)
            self.record.note("run", host=self.name, i=request, cls=command["meta"]["cls"])
        else:
            self.record.note("command", host=self.name, type=kind, req=request)
        if not self.hangs and kind != "halt":
            task = asyncio.ensure_future(self._answer(command, writer))
            task.add_done_callback(lambda done: done.cancelled() or done.exception())

    async def _answer(self, command: JsonObject, writer: asyncio.StreamWriter) -> None:
        kind, request = command["type"], str(command["req"])
        answer: JsonObject | None = None
        if kind == "go":
            await asyncio.sleep(self.work)
            body = base64.b64encode(f"{self.name}:{request}".encode()).decode()
            self.made[request] = body
            answer = {"type": "served", "req": request, "meta": {"tell": "w"}, "data": body}
        elif kind in ("ping", "stat"):
            answer = {"type": "green", "req": request, "meta": {"meter": "cpu_share:0.2;x0:0.1"}}
        elif kind == "stage":
            answer = {"type": "served", "req": request, "meta": {"copies": command["meta"]["copies"]}}
        if answer is not None and not writer.is_closing():
            writer.write(json.dumps(answer).encode() + b"\n")


class Call:
    """One request of a client, and what came of it."""

    def __init__(self, number: int, cls: str, wait: float) -> None:
        self.number, self.cls, self.wait = number, cls, wait
        self.i = f"{random.getrandbits(64):016x}"
        self.sent_at = 0.0
        self.answers: list[tuple[float, JsonObject]] = []
        self.ended: asyncio.Event = asyncio.Event()

    @property
    def outcome(self) -> str:
        """`served`, `refused`, `failed`, or `none`."""
        if not self.answers:
            return "none"
        answer = self.answers[0][1]
        if "result" in answer:
            return "served"
        return "refused" if answer["error"]["code"] == REFUSED else "failed"


class Connection:
    """A client's connection to a gateway."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.calls: dict[int, Call] = {}
        self.number = 0
        self.closed = asyncio.Event()
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.task: asyncio.Task[None] | None = None

    async def open(self, port: int, sock: socket.socket | None = None) -> "Connection":
        """Connects; `sock`: a socket that connects already."""
        if sock is not None:
            self.reader, self.writer = await asyncio.open_connection(sock=sock, limit=1 << 20)
        else:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port, limit=1 << 20)
        self.task = asyncio.ensure_future(self._read())
        return self

    def message(self, method: str, params: JsonObject | None = None, number: int | None = None) -> bytes:
        """The bytes of a message."""
        fields: JsonObject = {"jsonrpc": "2.0", "method": method}
        if number is not None:
            fields["id"] = number
        if params is not None:
            fields["params"] = params
        body = json.dumps(fields).encode()
        return b"Content-Length: %d\r\n\r\n" % len(body) + body

    def send(self, cls: str, wait: float, function: str = "7f3a9c21e0b4d655", body: bytes = b"x") -> Call:
        """Sends a request whose client waits for `wait` seconds."""
        assert self.writer is not None
        self.number += 1
        call = Call(self.number, cls, wait)
        params = {
            "i": call.i,
            "d": round(wait * 1000),
            "o": function,
            "arg": base64.b64encode(body).decode(),
            "extras": "memory_mb:512;lanes:4;load_ms:640",
        }
        self.calls[call.number] = call
        self.writer.write(self.message(cls, params, call.number))
        call.sent_at = time.monotonic()
        self.record.note("send", i=call.i, cls=cls, d=params["d"])
        return call

    async def ping(self) -> bool:
        """Whether the gateway answers `ping` with up."""
        assert self.writer is not None
        self.number += 1
        call = Call(self.number, "ping", 1.0)
        self.calls[call.number] = call
        self.writer.write(self.message("ping", None, call.number))
        with contextlib.suppress(asyncio.TimeoutError):
            await asyncio.wait_for(call.ended.wait(), 1.0)
        return bool(call.answers and call.answers[0][1].get("result", {}).get("up"))

    async def _read(self) -> None:
        assert self.reader is not None
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await self.reader.readuntil(b"\r\n\r\n")
                length = int(head.lower().partition(b"content-length:")[2].split(b"\r\n")[0])
                self._take(json.loads(await self.reader.readexactly(length)))
        self.closed.set()
        for call in self.calls.values():
            call.ended.set()

    def _take(self, answer: JsonObject) -> None:
        call = self.calls.get(answer.get("id") or 0)
        if call is None:
            self.record.note("answer to no request", answer=json.dumps(answer))
            return
        call.answers.append((time.monotonic(), answer))
        if call.cls != "ping":
            took = round((time.monotonic() - call.sent_at) * 1000)
            self.record.note("answer", i=call.i, outcome=call.outcome, took_ms=took)
        call.ended.set()

    def close(self) -> None:
        """Closes."""
        if self.writer is not None:
            self.writer.close()
        if self.task is not None:
            self.task.cancel()


class Gateway:
    """One gateway process, started as the deploy file says."""

    def __init__(self, name: str, folder: Path, record: Record, configuration: JsonObject) -> None:
        self.name, self.folder, self.record = name, folder, record
        self.port = free_port()
        self.path = folder / f"{name}.json"
        self.configuration: JsonObject = {
            "name": name,
            "listen": f"127.0.0.1:{self.port}",
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
            **configuration,
        }
        self.process: asyncio.subprocess.Process | None = None

    def write_configuration(self) -> None:
        """Replaces the configuration file."""
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(self.configuration))
        fresh.replace(self.path)

    async def start(self, log: int) -> None:
        """Starts the process; `log`: the descriptor of its standard output and error."""
        self.write_configuration()
        own = self.folder / f"tmp-{self.name}"
        own.mkdir(exist_ok=True)
        with (ROOT / "deploy/balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        environment = {
            **os.environ,
            "EDGE_NAME": self.name,
            "EDGE_LISTEN": f"127.0.0.1:{self.port}",
            "EDGE_CONFIG": str(self.path),
            "TMPDIR": str(own),
        }
        environment.pop("GAPROUTE_FOLLOW", None)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env=environment,
            stdin=asyncio.subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )
        self.record.note("started", gateway=self.name)

    async def wait_ready(self, within: float = 10.0) -> bool:
        """Whether the gateway answers `ping` with up within that time."""
        until = time.monotonic() + within
        while time.monotonic() < until:
            with contextlib.suppress(OSError):
                connection = await Connection(self.record).open(self.port)
                up = await connection.ping()
                connection.close()
                if up:
                    self.record.note("ready", gateway=self.name)
                    return True
            await asyncio.sleep(0.05)
        return False

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the program that `run` started."""
        if self.process is not None and self.process.returncode is None:
            self.record.note("signal", gateway=self.name, signal=number.name)
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process."""
        if self.process is not None and self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


def run_case(folder: Path, case: Case, limit: float = 115) -> int:
    """Runs a case within `limit` seconds; returns the exit code: 0 held, 1 broken, 2 could not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.note("case", trouble=trouble)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))

    async def bounded() -> int:
        return await asyncio.wait_for(case(record, temporary, trouble=trouble), limit)

    try:
        code = asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001 - any error means that the case could not run
        record.note("could not run", error=repr(error))
        print(f"could not run: {error!r}")
        code = 2
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    record.note("exit", code=code)
    return code
