"""The change log and another gateway on plain sockets."""

from __future__ import annotations

import json
import select
import socket
from dataclasses import dataclass

from gaproute.faultinjection.play.far_connection import READ_SIZE, FarConnection, FarServer, JsonObject
from gaproute.faultinjection.play.timeline import FarLoop
from gaproute.standins.event_stream import COMMENT, HEAD_END, RESPONSE_HEAD, last_event_id
from gaproute.units import SECOND

COMMENT_INTERVAL = SECOND  # between the change log's signs of life


@dataclass
class PublishedEvent:
    """An event of the change log. Times are ns."""

    seq: int
    phases: dict[str, str]  # by host, of those that the event has
    published_at: int
    first_sent_at: int | None = None  # when it was first written to a connection of the gateway


class FarChangeLog(FarServer):
    """The change log: sends events and comments, and to each request all events after the number it gives."""

    def __init__(self, loop: FarLoop) -> None:
        super().__init__(loop)
        self.events: list[tuple[PublishedEvent, bytes]] = []  # with their bytes
        self._followers: list[FarConnection] = []  # the connection of the last request, if any
        self.loop.after(COMMENT_INTERVAL, self._comment)

    def accept_connection(self, sock: socket.socket) -> None:
        """Waits for a request of the gateway."""
        buffer = bytearray()

        def receive(data: bytes) -> None:
            buffer.extend(data)
            if HEAD_END in buffer:
                last_seq = int(last_event_id(bytes(buffer)))
                buffer.clear()
                self._send_after(connection, last_seq)

        connection = FarConnection(self.loop, sock, receive, lambda: None)
        self.connections.append(connection)

    def _send_after(self, connection: FarConnection, last_seq: int) -> None:
        self._followers = [connection]
        connection.write(RESPONSE_HEAD)
        for published, data in self.events:
            if published.seq > last_seq:
                self._send(connection, published, data)

    def _send(self, connection: FarConnection, published: PublishedEvent, data: bytes) -> None:
        if published.first_sent_at is None:
            published.first_sent_at = self.loop.clock.now
        connection.write(data)

    def publish(self, event: JsonObject) -> None:
        """Adds an event, in the form of the log, and sends it to the gateway if it follows."""
        phases = {member["id"]: member["phase"] for member in event["fleet"]["members"]}
        published = PublishedEvent(event["seq"], phases, self.loop.clock.now)
        data = b"id: %d\ndata: %b\n\n" % (event["seq"], json.dumps(event).encode())
        self.events.append((published, data))
        for connection in self._followers:
            if connection.open:
                self._send(connection, published, data)

    def _comment(self) -> None:
        for connection in self._followers:
            connection.write(COMMENT)
        self.loop.after(COMMENT_INTERVAL, self._comment)


class FarPeer:
    """Another gateway: it sends each datagram back to the gateway it came from."""

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
        """Closes the socket."""
        self.loop.unwatch(self._sock.fileno())
        self._sock.close()
