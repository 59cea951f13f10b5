"""Far ends of a gateway on plain sockets: a host of lines, the change log, clients and another gateway.

They note what they saw and when; `rules` judges it.
"""

from __future__ import annotations

import base64
import json
import random
import select
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from gaproute.faultinjection.play.timeline import MILLI, SECOND, FarLoop

CHUNK = 65536
COMMENT = SECOND  # between the change log's signs of life
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"  # of the change log's answer
NEVER_RAN = ("overload", "not_here")  # answers of a host that prove it


class FarConnection:
    """A connected plain socket. `on_bytes(data)`, `on_end()` once."""

    def __init__(
        self,
        loop: FarLoop,
        sock: socket.socket,
        on_bytes: Callable[[bytes], None],
        on_end: Callable[[], None],
    ) -> None:
        self.loop, self.sock = loop, sock
        self.on_bytes, self.on_end = on_bytes, on_end
        self.open = True
        self._out = b""
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # the kernel's timers are real ones
        loop.watch(sock.fileno(), select.EPOLLIN, self._ready)

    def write(self, data: bytes) -> None:
        """Sends the bytes, as the kernel takes them."""
        if self.open:
            self._out += data
            self._flush()

    def _flush(self) -> None:
        try:
            sent = self.sock.send(self._out) if self._out else 0
        except BlockingIOError:
            sent = 0
        except OSError:
            self._out = b""
            return  # reading tells of the end
        self._out = self._out[sent:]
        events = select.EPOLLIN | (select.EPOLLOUT if self._out else 0)
        self.loop.rewatch(self.sock.fileno(), events)

    def _ready(self, events: int) -> None:
        if events & select.EPOLLOUT:
            self._flush()
        if events & ~select.EPOLLOUT and self.open:
            self._read()

    def _read(self) -> None:
        try:
            data = self.sock.recv(CHUNK)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.on_bytes(data)
        else:
            self.close()
            self.on_end()

    def half_close(self) -> None:
        """Sends no more, and reads on."""
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass

    def close(self) -> None:
        """Closes; `on_end` is not called."""
        if self.open:
            self.open = False
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()

    def reset(self) -> None:
        """Closes with a reset; `on_end` is not called."""
        if self.open:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()


class FarServer:
    """Listens on loopback and hands over what it accepts."""

    def __init__(self, loop: FarLoop) -> None:
        self.loop = loop
        self.connections: list[FarConnection] = []
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._sock.setblocking(False)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        loop.watch(self._sock.fileno(), select.EPOLLIN, self._ready)

    def _ready(self, _: int) -> None:
        try:
            while True:
                self.accepted(self._sock.accept()[0])
        except BlockingIOError:
            pass

    def accepted(self, sock: socket.socket) -> None:
        """A connection has come in."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes all."""
        self.loop.unwatch(self._sock.fileno())
        self._sock.close()
        for connection in self.connections:
            connection.close()


@dataclass
class Attempt:
    """A request as a host read it, whole."""

    host: str
    mark: str
    at: int
    limit: int  # ns that the gateway said it waits
    said: str | None = None  # what the host answered


class Behaviour(Enum):
    """What a host does with an attempt."""

    SERVE = "served"
    OVERLOAD = "overload"
    CRASH = "crashed"
    RESET = "reset"
    SILENT = "silent"


WEIGHTS = {
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
        self.attempts: list[Attempt] = []
        self.cut_short: list[int] = []  # when a connection ended within a command
        self.garbled: list[bytes] = []  # commands that cannot be read
        self.load_orders: list[int] = []  # when each came
        self._random = random.Random(f"{seed}/{name}")

    def accepted(self, sock: socket.socket) -> None:
        """A connection of the gateway."""
        buffer = bytearray()

        def came(data: bytes) -> None:
            buffer.extend(data)
            *lines, rest = bytes(buffer).split(b"\n")
            buffer[:] = rest
            for line in lines:
                self._read(connection, line)

        def ended() -> None:
            if buffer:
                self.cut_short.append(self.loop.clock.now)

        connection = FarConnection(self.loop, sock, came, ended)
        self.connections.append(connection)

    def _read(self, connection: FarConnection, line: bytes) -> None:
        try:
            command = json.loads(line)
        except ValueError:
            self.garbled.append(line)
            connection.close()
        else:
            self._command(connection, command)

    def _command(self, connection: FarConnection, command: dict[str, Any]) -> None:
        match command["type"]:
            case "go":
                self._go(connection, command)
            case "stat" | "ping":
                self._say(connection, command, "green", meta={"meter": "util:0.25;x0:0.5"})
            case "stage":
                self.load_orders.append(self.loop.clock.now)
                self._say(connection, command, "served", meta={"copies": command["meta"]["copies"]})

    def _go(self, connection: FarConnection, command: dict[str, Any]) -> None:
        limit = command["meta"]["limit"] * MILLI
        attempt = Attempt(self.name, command["req"], self.loop.clock.now, limit)
        self.attempts.append(attempt)
        drawn = self._random.choices(list(WEIGHTS), list(WEIGHTS.values()))[0]
        behaviour = Behaviour.SERVE if self.reliable else drawn
        span = self._random.randrange(2, 40) * MILLI
        if behaviour is Behaviour.OVERLOAD:
            span = 0  # refused before it runs
        self.loop.after(span, self._done, connection, command, attempt, behaviour)

    def _done(
        self, connection: FarConnection, command: dict[str, Any], attempt: Attempt, behaviour: Behaviour
    ) -> None:
        if behaviour is Behaviour.RESET:
            connection.reset()
        elif behaviour is not Behaviour.SILENT:
            attempt.said = behaviour.value
            told = {"meta": {"tell": "w"}, "data": command["data"]} if behaviour is Behaviour.SERVE else {}
            self._say(connection, command, behaviour.value, **told)

    @staticmethod
    def _say(connection: FarConnection, command: dict[str, Any], kind: str, **told: Any) -> None:
        connection.write(json.dumps({"type": kind, "req": command["req"]} | told).encode() + b"\n")


@dataclass
class Published:
    """An event of the change log."""

    number: int
    phases: dict[str, str]  # of the hosts that it names
    at: int
    told: int | None = None  # when it was first written to the gateway


class FarChangeLog(FarServer):
    """The change log: events, comments, and each event anew where the gateway asks from before it."""

    def __init__(self, loop: FarLoop) -> None:
        super().__init__(loop)
        self.events: list[tuple[Published, bytes]] = []
        self._following: list[FarConnection] = []
        self.loop.after(COMMENT, self._comment)

    def accepted(self, sock: socket.socket) -> None:
        """The gateway follows."""
        buffer = bytearray()

        def came(data: bytes) -> None:
            buffer.extend(data)
            if b"\r\n\r\n" in buffer:
                last = bytes(buffer).lower().partition(b"last-event-id:")[2].partition(b"\r\n")[0]
                buffer.clear()
                self._asked(connection, int(last))

        connection = FarConnection(self.loop, sock, came, lambda: None)
        self.connections.append(connection)

    def _asked(self, connection: FarConnection, last: int) -> None:
        self._following = [connection]
        connection.write(HEAD)
        for published, told in self.events:
            if published.number > last:
                self._send(connection, published, told)

    def _send(self, connection: FarConnection, published: Published, told: bytes) -> None:
        if published.told is None:
            published.told = self.loop.clock.now
        connection.write(told)

    def publish(self, event: dict[str, Any]) -> None:
        """A further event, in the form of the log."""
        phases = {member["id"]: member["phase"] for member in event["fleet"]["members"]}
        published = Published(event["seq"], phases, self.loop.clock.now)
        told = b"id: %d\ndata: %b\n\n" % (event["seq"], json.dumps(event).encode())
        self.events.append((published, told))
        for connection in self._following:
            if connection.open:
                self._send(connection, published, told)

    def _comment(self) -> None:
        for connection in self._following:
            connection.write(b":\n\n")
        self.loop.after(COMMENT, self._comment)


class FarPeer:
    """Another gateway: hears what this one tells, and tells it the same."""

    def __init__(self, loop: FarLoop) -> None:
        self.loop = loop
        self.heard: list[bytes] = []
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.setblocking(False)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        loop.watch(self._sock.fileno(), select.EPOLLIN, self._ready)

    def _ready(self, _: int) -> None:
        words, source = self._sock.recvfrom(CHUNK)
        self.heard.append(words)
        self.tell(words, source)

    def tell(self, words: bytes, where: tuple[str, int]) -> None:
        """One datagram."""
        self._sock.sendto(words, where)

    def close(self) -> None:
        """Closes."""
        self.loop.unwatch(self._sock.fileno())
        self._sock.close()


class Departure(Enum):
    """How a client leaves a request before its answer."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half close"
    ABORT = "abort message"


@dataclass
class Request:
    """A request as its client knows it."""

    number: int
    lane: str
    asked: int
    span: int  # ns that the client waits
    key: str = ""  # by which hosts know a repeat
    answers: list[tuple[int, str]] = field(default_factory=list)  # (when, "result" or the error's text)
    left: int | None = None  # when its client left
    lost: int | None = None  # when its connection ended unasked
    departure: Departure | None = None
    excused: bool = False  # an injected fault ended its connection

    @property
    def mark(self) -> str:
        """Its id on the way to the hosts."""
        return f"{self.number:016x}"


class FarClient:
    """One connection of a client, with any number of requests on it."""

    def __init__(self, loop: FarLoop, where: tuple[str, int]) -> None:
        self.loop = loop
        self.requests: dict[int, Request] = {}
        self.strays: list[dict[str, Any]] = []  # answers that nobody asked for
        self.garbled: list[bytes] = []  # what cannot be read
        self.leaving = False  # nothing more is asked on it
        self._buffer = b""
        self._unsent: list[bytes] = []  # pieces; one request after the other
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex(where)
        self.name = sock.getsockname()
        self.connection = FarConnection(loop, sock, self._came, self._ended)

    @property
    def open(self) -> bool:
        """Whether a request may be sent on it."""
        return self.connection.open

    def ask(self, request: Request, pieces: int = 1) -> None:
        """Sends the request, its bytes in so many writes a few milliseconds apart."""
        self.requests[request.number] = request
        data = framed(
            {
                "jsonrpc": "2.0",
                "id": request.number,
                "method": request.lane,
                "params": {
                    "i": request.mark,
                    "d": request.span // MILLI,
                    "o": "7f3a9c21e0b4d655",
                    "arg": base64.b64encode(b"body %d" % request.number).decode(),
                    "extras": "memory_mb:512;lanes:2;load_ms:640",
                    "k": request.key,
                },
            }
        )
        size = -(-len(data) // pieces)
        self._send([data[place : place + size] for place in range(0, len(data), size)])

    def _send(self, pieces: list[bytes]) -> None:
        idle = not self._unsent
        self._unsent += pieces
        if idle:
            self._send_piece()

    def _send_piece(self) -> None:
        self.connection.write(self._unsent[0])
        self.loop.after(MILLI, self._sent_piece)

    def _sent_piece(self) -> None:
        self._unsent.pop(0)
        if self._unsent:
            self._send_piece()

    def leave(self, request: Request, departure: Departure) -> None:
        """The client no longer waits; all that is open on the connection goes with it, but for an abort."""
        if not self.open or request.answers:
            return
        leaving = [request] if departure is Departure.ABORT else self.waiting()
        for each in leaving:
            each.left, each.departure = self.loop.clock.now, departure
        self.leaving = self.leaving or departure is not Departure.ABORT
        match departure:
            case Departure.CLOSE:
                self.connection.close()
            case Departure.RESET:
                self.connection.reset()
            case Departure.HALF_CLOSE:
                self.connection.half_close()
            case Departure.ABORT:
                params = {"id": request.number}
                self._send([framed({"jsonrpc": "2.0", "method": "abort", "params": params})])

    def waiting(self) -> list[Request]:
        """Requests whose client waits for an answer."""
        return [each for each in self.requests.values() if not each.answers and each.left is None]

    def _came(self, data: bytes) -> None:
        self._buffer += data
        while b"\r\n\r\n" in self._buffer:
            head, _, rest = self._buffer.partition(b"\r\n\r\n")
            try:
                size = int(head.split(b":")[1])
                if len(rest) < size:
                    return
                answer = json.loads(rest[:size])
            except (ValueError, IndexError):
                self.garbled.append(self._buffer)
                self._buffer = b""
                return
            self._buffer = rest[size:]
            self._answered(answer)

    def _answered(self, answer: dict[str, Any]) -> None:
        request = self.requests.get(answer["id"]) if answer["id"] is not None else None
        if request is None:
            self.strays.append(answer)
            return
        text = "result" if "result" in answer else answer["error"]["message"]
        request.answers.append((self.loop.clock.now, text))

    def _ended(self) -> None:
        for request in self.waiting():
            request.lost = self.loop.clock.now


def framed(message: dict[str, Any]) -> bytes:
    """A message with its head."""
    body = json.dumps(message).encode()
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
