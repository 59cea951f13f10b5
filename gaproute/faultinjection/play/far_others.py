"""The change log and another gateway on plain sockets."""

from __future__ import annotations

import json
import select
import socket
from dataclasses import dataclass
from typing import Any

from gaproute.faultinjection.play.far_connection import CHUNK, FarConnection, FarServer
from gaproute.faultinjection.play.timeline import SECOND, FarLoop

COMMENT = SECOND  # between the change log's signs of life
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"  # of the change log's answer


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
