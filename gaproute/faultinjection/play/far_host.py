"""A host of lines on plain sockets: serves, rejects, crashes, resets and falls silent; notes what it read."""

from __future__ import annotations

import json
import random
import socket
from dataclasses import dataclass
from enum import Enum
from typing import Any

from gaproute.faultinjection.play.far_connection import FarConnection, FarServer
from gaproute.faultinjection.play.timeline import MILLI, FarLoop

NEVER_RAN_ANSWERS = ("overload", "not_here")  # answers of a host that prove it


@dataclass
class ReceivedAttempt:
    """A request as a host read it, whole."""

    host: str
    request_id: str
    received_at: int
    timeout: int  # ns that the gateway said it waits
    answer: str | None = None  # what the host answered


class Behaviour(Enum):
    """What a host does with an attempt."""

    SERVE = "served"
    OVERLOAD = "overload"
    CRASH = "crashed"
    RESET = "reset"
    SILENT = "silent"


BEHAVIOUR_WEIGHTS = {
    Behaviour.SERVE: 80,
    Behaviour.OVERLOAD: 10,
    Behaviour.CRASH: 4,
    Behaviour.RESET: 3,
    Behaviour.SILENT: 3,
}


class FarHost(FarServer):
    """A host that serves, rejects, crashes, resets and says nothing, by its own seed; `reliable` ones only
    serve."""

    def __init__(self, loop: FarLoop, name: str, seed: str) -> None:
        super().__init__(loop)
        self.name, self.reliable = name, False
        self.attempts: list[ReceivedAttempt] = []
        self.cut_short: list[int] = []  # when a connection ended within a command
        self.garbled: list[bytes] = []  # commands that cannot be read
        self.load_orders: list[int] = []  # when each came
        self._random = random.Random(f"{seed}/{name}")

    def accept_connection(self, sock: socket.socket) -> None:
        """A connection of the gateway."""
        buffer = bytearray()

        def came(data: bytes) -> None:
            buffer.extend(data)
            *lines, rest = bytes(buffer).split(b"\n")
            buffer[:] = rest
            for line in lines:
                self._read_command(connection, line)

        def ended() -> None:
            if buffer:
                self.cut_short.append(self.loop.clock.now)

        connection = FarConnection(self.loop, sock, came, ended)
        self.connections.append(connection)

    def _read_command(self, connection: FarConnection, line: bytes) -> None:
        try:
            command = json.loads(line)
        except ValueError:
            self.garbled.append(line)
            connection.close()
        else:
            self._handle_command(connection, command)

    def _handle_command(self, connection: FarConnection, command: dict[str, Any]) -> None:
        match command["type"]:
            case "go":
                self._run(connection, command)
            case "stat" | "ping":
                self._write_answer(connection, command, "green", meta={"meter": "util:0.25;x0:0.5"})
            case "stage":
                self.load_orders.append(self.loop.clock.now)
                self._write_answer(connection, command, "served", meta={"copies": command["meta"]["copies"]})

    def _run(self, connection: FarConnection, command: dict[str, Any]) -> None:
        limit = command["meta"]["limit"] * MILLI
        attempt = ReceivedAttempt(self.name, command["req"], self.loop.clock.now, limit)
        self.attempts.append(attempt)
        drawn = self._random.choices(list(BEHAVIOUR_WEIGHTS), list(BEHAVIOUR_WEIGHTS.values()))[0]
        behaviour = Behaviour.SERVE if self.reliable else drawn
        span = self._random.randrange(2, 40) * MILLI
        if behaviour is Behaviour.OVERLOAD:
            span = 0  # refused before it runs
        self.loop.after(span, self._finish, connection, command, attempt, behaviour)

    def _finish(
        self,
        connection: FarConnection,
        command: dict[str, Any],
        attempt: ReceivedAttempt,
        behaviour: Behaviour,
    ) -> None:
        if behaviour is Behaviour.RESET:
            connection.reset()
        elif behaviour is not Behaviour.SILENT:
            attempt.answer = behaviour.value
            fields = {"meta": {"tell": "w"}, "data": command["data"]} if behaviour is Behaviour.SERVE else {}
            self._write_answer(connection, command, behaviour.value, **fields)

    @staticmethod
    def _write_answer(connection: FarConnection, command: dict[str, Any], kind: str, **fields: Any) -> None:
        connection.write(json.dumps({"type": kind, "req": command["req"]} | fields).encode() + b"\n")
