"""The change log and another gateway on plain sockets."""

from __future__ import annotations

import json
import select
import socket
from dataclasses import dataclass
from typing import Any

from gaproute.faultinjection.play.far_connection import READ_SIZE, FarConnection, FarServer
from gaproute.faultinjection.play.timeline import SECOND, FarLoop

COMMENT_INTERVAL = SECOND  # between the change log's signs of life
RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"  # of the change log's answer


@dataclass
class PublishedEvent:
    """An event of the change log."""

    seq: int
    phases: dict[str, str]  # of the hosts that it names
    published_at: int
    first_sent_at: int | None = None  # when it was first written to the gateway, ns


class FarChangeLog(FarServer):
    """The change log: events, comments, and each event anew where the gateway asks from before it."""

    def __init__(self, loop: FarLoop) -> None:
        super().__init__(loop)
        self.events: list[tuple[PublishedEvent, bytes]] = []
        self._followers: list[FarConnection] = []
        self.loop.after(COMMENT_INTERVAL, self._comment)

    def accept_connection(self, sock: socket.socket) -> None:
        """The gateway follows."""
        buffer = bytearray()

        def came(data: bytes) -> None:
            buffer.extend(data)
            if b"\r\n\r\n" in buffer:
                last = bytes(buffer).lower().partition(b"last-event-id:")[2].partition(b"\r\n")[0]
                buffer.clear()
                self._follow_from(connection, int(last))

        connection = FarConnection(self.loop, sock, came, lambda: None)
        self.connections.append(connection)

    def _follow_from(self, connection: FarConnection, last: int) -> None:
        self._followers = [connection]
        connection.write(RESPONSE_HEAD)
        for published, data in self.events:
            if published.seq > last:
                self._send(connection, published, data)

    def _send(self, connection: FarConnection, published: PublishedEvent, data: bytes) -> None:
        if published.first_sent_at is None:
            published.first_sent_at = self.loop.clock.now
        connection.write(data)

    def publish(self, event: dict[str, Any]) -> None:
        """A further event, in the form of the log."""
        phases = {member["id"]: member["phase"] for member in event["fleet"]["members"]}
        published = PublishedEvent(event["seq"], phases, self.loop.clock.now)
        data = b"id: %d\ndata: %b\n\n" % (event["seq"], json.dumps(event).encode())
        self.events.append((published, data))
        for connection in self._followers:
            if connection.open:
                self._send(connection, published, data)

    def _comment(self) -> None:
        for connection in self._followers:
            connection.write(b":\n\n")
        self.loop.after(COMMENT_INTERVAL, self._comment)


class FarPeer:
    """Another gateway: it sends each datagram of this one back."""

    def __init__(self, loop: FarLoop) -> None:
        self.loop = loop
        self.received: list[bytes] = []
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(("127.0.0.1", 0))
        self._sock.setblocking(False)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        loop.watch(self._sock.fileno(), select.EPOLLIN, self._ready)

    def _ready(self, _: int) -> None:
        payload, source = self._sock.recvfrom(READ_SIZE)
        self.received.append(payload)
        self.send(payload, source)

    def send(self, payload: bytes, address: tuple[str, int]) -> None:
        """Sends one datagram."""
        self._sock.sendto(payload, address)

    def close(self) -> None:
        """Closes."""
        self.loop.unwatch(self._sock.fileno())
        self._sock.close()
