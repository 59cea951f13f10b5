"""The server side of a change log: a request for the events after a number, and events as they are sent.

The form is server-sent events over HTTP/1.1: `GET PATH` with `Last-Event-Id`, answered by a head and then by
events and comments for as long as the connection lasts.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import TypedDict

import msgspec

from gaproute.loop import Loop, Stream

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
COMMENT = b":\n\n"  # a sign of life
HEAD_END = b"\r\n\r\n"
MAX_REQUEST_SIZE = 4096  # bytes: a request has four short fields


class NumberedEvent(TypedDict):
    """What every event has, whatever its other fields are."""

    seq: int  # its number


def encode_event(event: NumberedEvent) -> bytes:
    """The bytes of an event."""
    return b"id: %d\ndata: %b\n\n" % (event["seq"], msgspec.json.encode(event))


def last_event_id(request: bytes) -> bytes:
    """The number in the request's head of the last event that is known there; empty where there is none."""
    _, _, rest = request.lower().partition(b"last-event-id:")
    return rest.partition(b"\r\n")[0].strip()


class EventStreamConnection:
    """A connection of one that follows the log: `on_request(connection, head)` for each request.

    A request without an end within `MAX_REQUEST_SIZE` ends the connection without a call.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_request: Callable[[EventStreamConnection, bytes], object],
        on_end: Callable[[EventStreamConnection], object],
    ) -> None:
        self.on_request = on_request
        self._buffer = bytearray()
        self.stream = Stream(loop, sock, self._receive, lambda error: on_end(self))

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        self.stream.write(data)

    def abort(self) -> None:
        """Resets the connection; nothing is called."""
        self.stream.abort()

    def _receive(self, data: bytes) -> None:
        self._buffer.extend(data)
        if HEAD_END in self._buffer:
            self.on_request(self, bytes(self._buffer))
            self._buffer.clear()
        elif len(self._buffer) > MAX_REQUEST_SIZE:
            self.stream.abort()
