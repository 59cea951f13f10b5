"""The platform's address of all peers: what one gateway sends there goes on to each other gateway.

It goes by an address of each pair of gateways, so that a wire between the two can lose it on that way alone.
"""

from __future__ import annotations

import socket
from collections.abc import Mapping, Sequence

from gaproute.loop import Loop
from gaproute.loop.addresses import SocketAddress, bound_address, parse_address
from gaproute.loop.descriptors import READ
from gaproute.standins.tap import EventRecorder

MAX_READS = 64  # datagrams taken in one turn
MAX_DATAGRAM_SIZE = 2048  # bytes
RECEIVE_BUFFER_SIZE = 1 << 22  # bytes: what 200 gateways send at one moment


class PeerBroadcast:
    """Receives and forwards datagrams. Errors: OSError where `where` cannot be had."""

    def __init__(
        self, loop: Loop, where: str, routes: Mapping[str, Sequence[str]], tap: EventRecorder
    ) -> None:
        """`routes`: by the address that a gateway sends from, the addresses of the others; datagrams of any
        other sender are dropped."""
        self.loop, self.tap = loop, tap
        self._routes = {
            parse_address(sender).target: [parse_address(other).target for other in others]
            for sender, others in routes.items()
        }
        family, target = parse_address(where)
        self.sock = socket.socket(family, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK | socket.SOCK_CLOEXEC)
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_SIZE)
        self.sock.bind(target)
        self.address = bound_address(self.sock)
        self.received = self.sent = self.lost = self.unknown_sender = 0  # datagrams
        loop.watch(self.sock.fileno(), READ, self._ready)

    def _ready(self, events: int) -> None:
        for _ in range(MAX_READS):
            try:
                data, sender = self.sock.recvfrom(MAX_DATAGRAM_SIZE)
            except OSError:
                return
            others = self._routes.get(sender)
            if others is None:
                self.unknown_sender += 1
            else:
                self.received += 1
                self._forward(data, others)

    def _forward(self, data: bytes, others: Sequence[SocketAddress]) -> None:
        for other in others:
            try:
                self.sock.sendto(data, other)
                self.sent += 1
            except OSError:
                self.lost += 1

    def finish(self) -> None:
        """Notes what it counted, at its end."""
        self.tap.note(
            "spread", heard=self.received, sent=self.sent, lost=self.lost, strange=self.unknown_sender
        )
        self.tap.flush()
