"""A client's connection on a plain socket: its requests, how it leaves them, and their answers."""

from __future__ import annotations

import base64
import json
import socket
from dataclasses import dataclass, field
from enum import Enum

from gaproute.faultinjection.play.far_connection import FarConnection, JsonObject
from gaproute.faultinjection.play.timeline import FarLoop
from gaproute.loop.addresses import SocketAddress
from gaproute.units import MILLI

HEADER_END = b"\r\n\r\n"


class Departure(Enum):
    """How a client leaves a request that has no answer yet."""

    CLOSE = "close"
    RESET = "reset"
    HALF_CLOSE = "half close"
    ABORT = "abort message"


@dataclass
class FarRequest:
    """A request as its client sees it. Times are ns of the play's clock."""

    number: int
    request_class: str
    sent_at: int
    timeout: int  # ns that the client waits
    idempotency_key: str = ""  # by which a host recognizes a repeated request
    answers: list[tuple[int, str]] = field(default_factory=list)  # (when, "result" or the text of the error)
    left_at: int | None = None  # when its client left it
    lost_at: int | None = None  # when the other side ended its connection
    departure: Departure | None = None
    broken_by_fault: bool = False  # whether an injected fault has ended its connection

    @property
    def request_id(self) -> str:
        """The id by which hosts know it."""
        return f"{self.number:016x}"


class FarClient:
    """One connection of a client, with any number of requests on it."""

    def __init__(self, loop: FarLoop, address: SocketAddress) -> None:
        self.loop = loop
        self.requests: dict[int, FarRequest] = {}
        self.unmatched_answers: list[JsonObject] = []  # to no request of this connection
        self.garbled: list[bytes] = []  # bytes that are no answer
        self.departing = False  # whether no further request is sent on it
        self._buffer = b""
        self._unsent: list[bytes] = []  # pieces of messages, in their order
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.connect_ex(address)
        self.local_address = sock.getsockname()
        self.connection = FarConnection(loop, sock, self._receive, self._on_end)

    @property
    def open(self) -> bool:
        """Whether the connection is open."""
        return self.connection.open

    def send_request(self, request: FarRequest, pieces: int = 1) -> None:
        """Sends the request, its bytes split over `pieces` writes, one each millisecond."""
        self.requests[request.number] = request
        data = frame_message(request_message(request))
        size = -(-len(data) // pieces)
        self._send([data[place : place + size] for place in range(0, len(data), size)])

    def _send(self, pieces: list[bytes]) -> None:
        idle = not self._unsent
        self._unsent += pieces
        if idle:
            self._send_piece()

    def _send_piece(self) -> None:
        self.connection.write(self._unsent[0])
        self.loop.after(MILLI, self._finish_piece)

    def _finish_piece(self) -> None:
        self._unsent.pop(0)
        if self._unsent:
            self._send_piece()

    def leave(self, request: FarRequest, departure: Departure) -> None:
        """The client leaves the request; unless by an abort, it leaves all open ones of the connection."""
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
        """The requests for whose answers the client waits."""
        return [each for each in self.requests.values() if not each.answers and each.left_at is None]

    def _receive(self, data: bytes) -> None:
        self._buffer += data
        while HEADER_END in self._buffer:
            head, _, rest = self._buffer.partition(HEADER_END)
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

    def _record_answer(self, answer: JsonObject) -> None:
        request = self.requests.get(answer["id"]) if answer["id"] is not None else None
        if request is None:
            self.unmatched_answers.append(answer)
            return
        text = "result" if "result" in answer else answer["error"]["message"]
        request.answers.append((self.loop.clock.now, text))

    def _on_end(self) -> None:
        for request in self.waiting():
            request.lost_at = self.loop.clock.now


def request_message(request: FarRequest) -> JsonObject:
    """The message that sends a request, in the protocol of the platform."""
    return {
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


def frame_message(message: JsonObject) -> bytes:
    """The bytes of a message, with its header."""
    body = json.dumps(message).encode()
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)
