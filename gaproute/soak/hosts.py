"""The hosts and the change log of a soak: one process that serves requests and reports which ids ran."""

from __future__ import annotations

import asyncio
import base64
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from multiprocessing.connection import Connection

import msgspec

from gaproute.soak.change_log import ChangeLog, ChangeLogFault
from gaproute.soak.deployment import NON_IDEMPOTENT_CLASS

SERVICE_TIME_S = 0.01  # of a request at a host
SMALL_BODY = base64.b64encode(b"served").decode()
LARGEST_BODY = base64.b64encode(bytes(16 * 1024)).decode()
LONG_LINE_BYTES = 120 * 1024  # just under what the gateway takes for one line
LATE_CALL_S = 0.2  # after the end of the plan, for the last events


class HostFault(Enum):
    """What the hosts do wrong. Each request runs, and its id is reported, whatever the fault."""

    NONE = "none"
    LARGE_ANSWERS = "large_answers"  # bodies of the greatest size
    LONG_LINES = "long_lines"  # answers with a field that makes a line of the greatest size
    UNFINISHED_LINES = "unfinished_lines"  # one in eight answers is a long line without an end
    UNKNOWN_IDS = "unknown_ids"  # many answers under ever-new ids before each answer


@dataclass
class HostsReport:
    """What the hosts saw."""

    runs: dict[str, list[float]] = field(default_factory=dict)  # by the client's id: times of arrival
    non_idempotent: set[str] = field(default_factory=set)  # those of `runs` that must not run again
    functions: int = 0  # different functions that were requested


@dataclass(frozen=True)
class HostsPlan:
    """What the process of the hosts is told."""

    addresses: Sequence[tuple[str, int]]
    change_log_address: tuple[str, int]
    host_fault: HostFault
    change_log_fault: ChangeLogFault
    until: float
    seed: int


class HostConnection(asyncio.Protocol):
    """A gateway's connection to a host."""

    def __init__(self, fault: HostFault, report: HostsReport, functions: set[str]) -> None:
        self.fault, self.report, self.functions = fault, report, functions
        self.transport: asyncio.Transport | None = None
        self.buffer = b""
        self.answer_count = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport, which asyncio passes first."""
        if isinstance(transport, asyncio.Transport):
            self.transport = transport

    def data_received(self, data: bytes) -> None:
        """Handles each whole line."""
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        for line in lines:
            self._handle(msgspec.json.decode(line))

    def _handle(self, command: dict[str, object]) -> None:
        kind, request_id = str(command["type"]), str(command["req"])
        if kind == "go":
            self.report.runs.setdefault(request_id, []).append(time.monotonic())
            meta = command["meta"]
            if isinstance(meta, dict):
                self.functions.add(str(meta["item"]))
                if meta["cls"] == NON_IDEMPOTENT_CLASS:
                    self.report.non_idempotent.add(request_id)
            asyncio.get_running_loop().call_later(SERVICE_TIME_S, self._serve, request_id)
        elif kind in ("stat", "ping"):
            self._write({"type": "green", "req": request_id, "meta": {"meter": "util:0.25;x0:0.5"}})
        elif kind == "stage":
            self._write({"type": "served", "req": request_id, "meta": {"copies": 1}})

    def _serve(self, request_id: str) -> None:
        self.answer_count += 1
        meta: dict[str, object] = {"tell": "w", "queue_fn": 0}
        body = SMALL_BODY
        match self.fault:
            case HostFault.LARGE_ANSWERS:
                body = LARGEST_BODY
            case HostFault.LONG_LINES:
                meta["note"] = "x" * LONG_LINE_BYTES
            case HostFault.UNFINISHED_LINES if self.answer_count % 8 == 0:
                self._write_bytes(b'{"type":"served","data":"' + b"x" * LONG_LINE_BYTES)
                return
            case HostFault.UNKNOWN_IDS:
                for number in range(50):
                    self._write({"type": "served", "req": f"u{self.answer_count}-{number}", "data": body})
        self._write({"type": "served", "req": request_id, "meta": meta, "data": body})

    def _write(self, answer: dict[str, object]) -> None:
        self._write_bytes(msgspec.json.encode(answer) + b"\n")

    def _write_bytes(self, data: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)


def run_hosts(plan: HostsPlan, parent: Connection) -> None:
    """Serves until the plan ends, then sends the parent a `HostsReport`; the target of a process."""
    report = asyncio.run(_serve_until_end(plan, parent))
    parent.send(report)


async def _serve_until_end(plan: HostsPlan, parent: Connection) -> HostsReport:
    report, functions = HostsReport(), set[str]()
    loop = asyncio.get_running_loop()
    servers = [
        await loop.create_server(lambda: HostConnection(plan.host_fault, report, functions), host, port)
        for host, port in plan.addresses
    ]
    change_log = ChangeLog(plan.change_log_fault, plan.seed)
    servers.append(await asyncio.start_server(change_log.serve, *plan.change_log_address))
    parent.send("ready")
    await asyncio.sleep(max(0.0, plan.until + LATE_CALL_S - time.monotonic()))
    for server in servers:
        server.close()
    report.functions = len(functions)
    return report
