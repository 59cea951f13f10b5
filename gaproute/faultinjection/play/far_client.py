"""A client's connection on a plain socket: its requests, how they are left, and what was answered."""

from __future__ import annotations

import base64
import json
import socket
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from gaproute.faultinjection.play.far_connection import FarConnection
from gaproute.faultinjection.play.timeline import MILLI, FarLoop


class Departure(Enum):
    """How a client leaves a request before its answer."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half close"
    ABORT = "abort message"


@dataclass
class FarRequest:
    """A request as its client knows it."""

    number: int
    request_class: str
    sent_at: int
    timeout: int  # ns that the client waits
    idempotency_key: str = ""  # by which hosts know a repeat
    answers: list[tuple[int, str]] = field(default_factory=list)  # (when, "result" or the error's text)
    left_at: int | None = None  # when its client left
    lost_at: int | None = None  # when its connection ended unasked
    departure: Departure | None = None
    broken_by_fault: bool = False  # an injected fault ended its connection

    @property
    def request_id(self) -> str:
        """Its id on the way to the hosts."""
        return f"{self.number:016x}"


class FarClient:
    """One connection of a client, with any number of requests on it."""

    def __init__(self, loop: FarLoop, address: tuple[str, int]) -> None:
        self.loop = loop
        self.requests: dict[int, FarRequest] = {}
        self.unmatched_answers: list[dict[str, Any]] = []  # answers that nobody asked for
        self.garbled: list[bytes] = []  # what cannot be read
        self.departing = False  # nothing more is asked on it
        self._buffer = b""
        self._unsent: list[bytes] = []  # pieces; one request after the other
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex(address)
        self.local_address = sock.getsockname()
        self.connection = FarConnection(loop, sock, self._receive, self._on_end)

    @property
    def open(self) -> bool:
        """Whether a request may be sent on it."""
        return self.connection.open

    def send_request(self, request: FarRequest, pieces: int = 1) -> None:
        """Sends the request, its bytes in so many writes a few milliseconds apart."""
        self.requests[request.number] = request
        data = frame_message(
            {
                "jsonrpc": "2.0",
                "id": request.number,
                "method": request.request_class,
                "params": {
                    "i": request.request_id,
                    "d": request.timeout // MILLI,
                    "o": "7f3a9c21e0b4d655",
                    "arg": base64.b64encode(b"body %d" % request.number).decode(),
                    "extras": "memory_mb:512;lanes:2;load_ms:640",
                    "k": request.idempotency_key,
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

    def leave(self, request: FarRequest, departure: Departure) -> None:
        """The client no longer waits; all that is open on the connection goes with it, but for an abort."""
        if not self.open or request.answers:
            return
        leaving = [request] if departure is Departure.ABORT else self.waiting()
        for each in leaving:
            each.left_at, each.departure = self.loop.clock.now, departure
        self.departing = self.departing or departure is not Departure.ABORT
        match departure:
            case Departure.CLOSE:
                self.connection.close()
            case Departure.RESET:
                self.connection.reset()
            case Departure.HALF_CLOSE:
                self.connection.half_close()
            case Departure.ABORT:
                params = {"id": request.number}
                self._send([frame_message({"jsonrpc": "2.0", "method": "abort", "params": params})])

    def waiting(self) -> list[FarRequest]:
        """Requests whose client waits for an answer."""
        return [each for each in self.requests.values() if not each.answers and each.left_at is None]

    def _receive(self, data: bytes) -> None:
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
            self._record_answer(answer)

    def _record_answer(self, answer: dict[str, Any]) -> None:
        request = self.requests.get(answer["id"]) if answer["id"] is not None else None
        if request is None:
            self.unmatched_answers.append(answer)
            return
        text = "result" if "result" in answer else answer["error"]["message"]
        request.answers.append((self.loop.clock.now, text))

    def _on_end(self) -> None:
        for request in self.waiting():
            request.lost_at = self.loop.clock.now


def frame_message(message: dict[str, Any]) -> bytes:
    """A message with its head."""
    body = json.dumps(message).encode()
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
