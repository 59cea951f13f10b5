"""A host that takes lines of JSON, on plain sockets: serves, rejects, crashes or stays silent by chance."""

from __future__ import annotations

import json
import random
import socket
from dataclasses import dataclass
from enum import Enum

from gaproute.faultinjection.play.far_connection import FarConnection, FarServer, JsonObject
from gaproute.faultinjection.play.timeline import FarLoop
from gaproute.units import MILLI

NEVER_RAN_ANSWERS = ("overload", "not_here")  # answers of a host that prove that a request never ran
SERVICE_TIMES = (2, 40)  # ms, from the first to below the second


@dataclass
class ReceivedAttempt:
    """A complete request as a host received it. Times are ns."""

    host: str
    request_id: str
    received_at: int
    timeout: int  # for how long the gateway waits, as it said
    answer: str | None = None  # the type of the host's answer


class Behaviour(Enum):
    """What a host does with an attempt; the value is the type of its answer, if it gives one."""

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
    """A host whose behaviour and service times are drawn from its seed; a `reliable` one only serves."""

    def __init__(self, loop: FarLoop, name: str, seed: str) -> None:
        super().__init__(loop)
        self.name, self.reliable = name, False
        self.attempts: list[ReceivedAttempt] = []
        self.cut_short: list[int] = []  # when a connection ended within a command
        self.garbled: list[bytes] = []  # lines that are no command
        self.load_orders: list[int] = []  # when each came
        self._random = random.Random(f"{seed}/{name}")

    def accept_connection(self, sock: socket.socket) -> None:
        """Reads the commands of one connection of the gateway."""
        buffer = bytearray()

        def receive(data: bytes) -> None:
            buffer.extend(data)
            *lines, rest = bytes(buffer).split(b"\n")
            buffer[:] = rest
            for line in lines:
                self._read_command(connection, line)

        def on_end() -> None:
            if buffer:
                self.cut_short.append(self.loop.clock.now)

        connection = FarConnection(self.loop, sock, receive, on_end)
        self.connections.append(connection)

    def _read_command(self, connection: FarConnection, line: bytes) -> None:
        try:
            command = json.loads(line)
        except ValueError:
            self.garbled.append(line)
            connection.close()
        else:
            self._handle_command(connection, command)

    def _handle_command(self, connection: FarConnection, command: JsonObject) -> None:
        match command["type"]:
            case "go":
                self._run(connection, command)
            case "stat" | "ping":
                self._write_answer(connection, command, "green", meta={"meter": "util:0.25;x0:0.5"})
            case "stage":
                self.load_orders.append(self.loop.clock.now)
                copies = command["meta"]["copies"]
                self._write_answer(connection, command, "served", meta={"copies": copies})

    def _run(self, connection: FarConnection, command: JsonObject) -> None:
        timeout = command["meta"]["limit"] * MILLI
        attempt = ReceivedAttempt(self.name, command["req"], self.loop.clock.now, timeout)
        self.attempts.append(attempt)
        # Both are drawn in any case, so that a reliable host goes on with the same numbers
        drawn = self._random.choices(list(BEHAVIOUR_WEIGHTS), list(BEHAVIOUR_WEIGHTS.values()))[0]
        service_time = self._random.randrange(*SERVICE_TIMES) * MILLI
        behaviour = Behaviour.SERVE if self.reliable else drawn
        if behaviour is Behaviour.OVERLOAD:
            service_time = 0  # the request is rejected before it runs
        self.loop.after(service_time, self._finish, connection, command, attempt, behaviour)

    def _finish(
        self,
        connection: FarConnection,
        command: JsonObject,
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
    def _write_answer(
        connection: FarConnection, command: JsonObject, answer_type: str, **fields: object
    ) -> None:
        answer = {"type": answer_type, "req": command["req"]} | fields
        connection.write(json.dumps(answer).encode() + b"\n")
