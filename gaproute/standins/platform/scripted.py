"""Small stand-ins that do what a test scripts, written from the platform's public pages."""

from __future__ import annotations

import base64
import json
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import Generic, TypeVar

from gaproute.loop import Listener, Loop, Promise, Stream, connect
from gaproute.loop.addresses import parse_address
from gaproute.standins.event_stream import RESPONSE_HEAD, last_event_id
from gaproute.standins.json_objects import JsonObject
from gaproute.standins.platform.host_list import ChangeEvent, ListedMember
from gaproute.units import SECOND

HEAD_END = b"\r\n\r\n"
CONNECT_TIMEOUT = SECOND
FUNCTION = "7f3a9c21e0b4d655"  # that a client asks for by default

Received = TypeVar("Received")


class ScriptedServer(ABC, Generic[Received]):
    """Listens; keeps the streams it accepted and what came. Errors: OSError."""

    def __init__(self, loop: Loop, where: str = "127.0.0.1:0") -> None:
        self.loop = loop
        self.streams: list[Stream] = []
        self.came: list[Received] = []  # what was received on all connections, parsed
        self.listener = Listener(loop, parse_address(where), self.accept)
        self.address = self.listener.address

    def accept(self, sock: socket.socket) -> None:
        """Takes a connection."""
        buffer = bytearray()

        def received(data: bytes) -> None:
            buffer.extend(data)
            self.receive(stream, buffer)

        stream = Stream(self.loop, sock, received, lambda error: None)
        self.streams.append(stream)

    @abstractmethod
    def receive(self, stream: Stream, buffer: bytearray) -> None:
        """Takes what is complete of the bytes that came, and removes it from the buffer."""

    def close(self) -> None:
        """Resets all connections and listens no more."""
        self.listener.close()
        for stream in self.streams:
            stream.abort()


class ScriptedHost(ScriptedServer[JsonObject]):
    """A host of lines of JSON. By default it serves everything at once."""

    def __init__(
        self,
        loop: Loop,
        answer: Callable[[Stream, JsonObject], object] | None = None,
        where: str = "127.0.0.1:0",
    ) -> None:
        """`answer(stream, command)`: does what the test wants."""
        super().__init__(loop, where)
        self.answer = answer or self.serve

    def receive(self, stream: Stream, buffer: bytearray) -> None:
        """Answers each line."""
        while b"\n" in buffer:
            line, _, rest = bytes(buffer).partition(b"\n")
            buffer[:] = rest
            command = json.loads(line)
            self.came.append(command)
            self.answer(stream, command)

    def reply(self, stream: Stream, command: JsonObject, kind: str, **fields: object) -> None:
        """Answers a command."""
        stream.write(json.dumps({"type": kind, "req": command["req"]} | fields).encode() + b"\n")

    def serve(self, stream: Stream, command: JsonObject) -> None:
        """Answers a command as a host does that is well."""
        match command["type"]:
            case "go":
                self.reply(stream, command, "served", meta={"tell": "w"}, data=command["data"])
            case "stat" | "ping":
                self.reply(stream, command, "green", meta={"meter": "util:0.25;x0:0.5"})
            case "stage":
                self.reply(stream, command, "served", meta={"copies": command["meta"]["copies"]})

    def seen(self, kind: str) -> list[JsonObject]:
        """The commands of a type that came."""
        return [command for command in self.came if command["type"] == kind]


class ScriptedChangeLog(ScriptedServer[int]):
    """A change log: answers each request with its head and what `script(last)` gives, as raw bytes.

    `came`: the number of the last event that each request named.
    """

    def __init__(
        self,
        loop: Loop,
        script: Callable[[int], bytes] = lambda last: b"",
        where: str = "127.0.0.1:0",
        head: bytes = RESPONSE_HEAD,
    ) -> None:
        super().__init__(loop, where)
        self.script, self.head = script, head

    def receive(self, stream: Stream, buffer: bytearray) -> None:
        """Answers a request."""
        if HEAD_END in buffer:
            last = int(last_event_id(bytes(buffer)))
            buffer.clear()
            self.came.append(last)
            stream.write(self.head + self.script(last))


class ScriptedClient:
    """One connection to a gateway, opened at once."""

    def __init__(self, loop: Loop, where: str) -> None:
        self.loop = loop
        self.answers: list[JsonObject] = []  # that came, parsed
        self.ended = False
        self.stream: Stream | None = None
        self.ready = Promise()  # of the connection; fails with OSError
        self.buffer = b""
        self.waiting: list[bytes] = []  # to be sent once it is connected
        connect(loop, parse_address(where), CONNECT_TIMEOUT, self._connected)

    def _connected(self, sock: socket.socket | None, error: OSError | None) -> None:
        if sock is None:
            self.ended = True
            self.ready.fail(error or OSError("no connection"))
            return
        self.stream = Stream(self.loop, sock, self._receive, self._stream_ended)
        for data in self.waiting:
            self.stream.write(data)
        self.ready.set()

    def _stream_ended(self, error: OSError | None) -> None:
        self.ended = True

    def _receive(self, data: bytes) -> None:
        self.buffer += data
        while HEAD_END in self.buffer:
            head, _, rest = self.buffer.partition(HEAD_END)
            size = int(head.split(b":")[1])
            if len(rest) < size:
                return
            self.answers.append(json.loads(rest[:size]))
            self.buffer = rest[size:]

    def send(self, data: bytes) -> None:
        """Sends bytes, now or once it is connected."""
        if self.stream is None:
            self.waiting.append(data)
        else:
            self.stream.write(data)

    def message(self, body: bytes | JsonObject) -> None:
        """Sends a message with its head."""
        encoded = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.send(b"Content-Length: %d\r\n\r\n%b" % (len(encoded), encoded))

    def ask(self, number: int, method: str = "fault-check", **parameters: object) -> None:
        """Sends a request; `parameters`: beside or in place of the usual ones."""
        usual = {
            "i": f"{number:016x}",
            "d": 3000,
            "o": FUNCTION,
            "arg": arg(b"body %d" % number),
            "extras": "memory_mb:512;lanes:2;load_ms:640",
        }
        self.message({"jsonrpc": "2.0", "id": number, "method": method, "params": usual | parameters})


def event(number: int, *members: tuple[str, str, str], complete: bool = False) -> ChangeEvent:
    """An event of the change log; a member is (id, address, phase)."""
    rows: list[ListedMember] = [
        {
            "id": name,
            "host_port": where,
            "locality": "hall-a",
            "flavor": "std",
            "cell": 2,
            "phase": phase,
            "size": 4,
            "up_since_ms": 0,
        }
        for name, where, phase in members
    ]
    return {"seq": number, "fleet": {"revision": number, "complete": complete, "members": rows}}


def sse(event: ChangeEvent) -> bytes:
    """An event as it is sent."""
    return b"id: %d\ndata: %b\n\n" % (event["seq"], json.dumps(event).encode())


def arg(body: bytes) -> str:
    """A body as JSON carries it."""
    return base64.b64encode(body).decode()
