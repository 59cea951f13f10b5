"""A connection that a gateway opened to a stand-in host of the platform: lines of JSON."""

from __future__ import annotations

import socket
from collections.abc import Mapping
from typing import Protocol

import msgspec

from gaproute.loop import Loop, Stream
from gaproute.standins.model_server import HostRequest
from gaproute.standins.platform.host_messages import HostMessage, HostMessageError, decode_message
from gaproute.standins.tap import EventRecorder

MAX_LINE_SIZE = 256 * 1024  # bytes: a body of 16 KiB in base64 takes 22, and the rest little
MAX_NOTED = 200  # characters of an error that a tap holds


class GatewayConnectionOwner(Protocol):
    """What a connection needs of its host."""

    loop: Loop
    tap: EventRecorder
    silent: bool  # nothing is read, written or closed

    def handle(self, connection: GatewayConnection, message: HostMessage) -> None:
        """A message came. Errors: HostMessageError."""

    def connection_ended(self, connection: GatewayConnection) -> None:
        """It has ended, with what was open on it."""


class GatewayConnection:
    """Reads messages, and writes answers."""

    def __init__(self, host: GatewayConnectionOwner, sock: socket.socket, number: int) -> None:
        """`number`: tells the connections of a host apart."""
        self.host, self.number = host, number
        self.gateway = ""  # its name, where it was introduced
        self.requests: dict[str, HostRequest] = {}  # open ones, by the gateway's id
        self.load_orders: set[str] = set()  # ids of those under way
        self.used_at = host.loop.now()
        self._buffer = b""
        self.stream = Stream(host.loop, sock, self._receive, lambda error: self._ended())

    @property
    def is_idle(self) -> bool:
        """Whether nothing is open on it."""
        return not self.requests and not self.load_orders

    def _receive(self, data: bytes) -> None:
        *lines, self._buffer = (self._buffer + data).split(b"\n")
        self.used_at = self.host.loop.now()
        for line in lines:
            if self.stream.open:
                self._take_line(line)
        if len(self._buffer) > MAX_LINE_SIZE:
            self.abort()

    def _take_line(self, line: bytes) -> None:
        try:
            self.host.handle(self, decode_message(line))
        except HostMessageError as error:
            self.host.tap.note("void", why=repr(error)[:MAX_NOTED])
            self.abort()

    def send(
        self, kind: str, request_id: str, details: Mapping[str, object], data: str | None = None
    ) -> None:
        """Writes an answer."""
        if self.host.silent or not self.stream.open:
            return
        self.stream.write(encode_answer(kind, request_id, details, data) + b"\n")
        self.used_at = self.host.loop.now()

    def send_half(self, answer: bytes) -> None:
        """Writes the first half of an answer and closes."""
        self.stream.write(answer[: len(answer) // 2])
        self.close()

    def close(self) -> None:
        """Closes, once all that was written has been read."""
        self.stream.close()
        self._ended()

    def abort(self) -> None:
        """Resets the connection."""
        self.stream.abort()
        self._ended()

    def _ended(self) -> None:
        self.host.connection_ended(self)
        self.requests, self.load_orders = {}, set()


def encode_answer(
    kind: str, request_id: str, details: Mapping[str, object], data: str | None = None
) -> bytes:
    """An answer as JSON."""
    answer: dict[str, object] = {"type": kind, "req": request_id, "meta": details}
    if data is not None:
        answer["data"] = data
    return msgspec.json.encode(answer)
