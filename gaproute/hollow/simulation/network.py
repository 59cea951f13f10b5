"""The simulated network: datagrams and exchanges of bytes that take time, get lost and are counted.

Sizes: a datagram has 28 bytes of headers. An exchange of lease messages is a request to `/keepers` with its
HTTP head, an answer, and three TCP segments with 52 bytes of headers each. Each exchange carries one message,
where the product may batch several, so that the bytes of leases are an upper bound.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping
from typing import Protocol

from gaproute.hollow.simulation.loop import GatewayLoop, SimulatedLoop
from gaproute.peers.raft import wire
from gaproute.shared.raft.messages import RaftMessage
from gaproute.units import MILLI

REGIONS = 5  # by the gateway's number
NEAR, FAR = 2 * MILLI, 60 * MILLI  # ns one way, within a region and between two
HTTP_REQUEST = b"POST /keepers HTTP/1.1\r\nHost: peer\r\nContent-Length: %d\r\n\r\n"
HTTP_ANSWER = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"
SEGMENT_HEADERS = 3 * 52  # bytes


class Endpoint(Protocol):
    """What sends and receives: a socket or a transport of one gateway."""

    name: str
    region: int
    loop: GatewayLoop

    def deliver(self, data: bytes) -> None:
        """Data that was sent to this endpoint has come."""


class SimulatedNetwork:
    """Brings data from one gateway to another.

    `blocked(sender, receiver)`: whether what goes between these two gateways (names) is lost; None for never.
    """

    def __init__(self, loop: SimulatedLoop) -> None:
        self.loop = loop
        self.datagram_sockets: dict[str, SimulatedDatagrams] = {}  # by address
        self.raft_transports: dict[str, SimulatedRaftTransport] = {}  # by name of the gateway
        self.blocked: Callable[[str, str], bool] | None = None
        self.lost = 0

    def region(self, name: str) -> int:
        """The number of the gateway's region."""
        return int("".join(filter(str.isdigit, name)) or 0) % REGIONS

    def send(self, sender: Endpoint, receiver: Endpoint | None, data: bytes) -> None:
        """Bring the data to the receiver; None where nobody listens."""
        if receiver is None or (self.blocked is not None and self.blocked(sender.name, receiver.name)):
            self.lost += 1
            return
        delay = NEAR if sender.region == receiver.region else FAR
        receiver.loop.call_at(self.loop.time + delay, receiver.deliver, data)


class SimulatedDatagrams:
    """Stands in for `gaproute.loop.datagrams.DatagramSocket`."""

    __slots__ = ("network", "loop", "name", "region", "address", "on_datagram")

    def __init__(
        self,
        network: SimulatedNetwork,
        name: str,
        loop: GatewayLoop,
        address: str,
        on_datagram: Callable[[bytes], object],
    ) -> None:
        self.network, self.name, self.loop, self.address = network, name, loop, address
        self.on_datagram: Callable[[bytes], object] | None = on_datagram
        self.region = network.region(name)
        network.datagram_sockets[address] = self

    def send(self, data: bytes, where: str) -> None:
        """Send one datagram to the address."""
        self.network.send(self, self.network.datagram_sockets.get(where), data)

    def deliver(self, data: bytes) -> None:
        """A datagram has come."""
        if self.on_datagram is not None:
            self.on_datagram(data)

    def close(self) -> None:
        """Listen no more; what is under way is lost."""
        self.on_datagram = None
        if self.network.datagram_sockets.get(self.address) is self:
            del self.network.datagram_sockets[self.address]


class SimulatedRaftTransport:
    """Stands in for `gaproute.peers.raft.RaftTransport`: one message in each exchange.

    `peers`: addresses by name. `receive(sender, message)` gets what comes.
    """

    def __init__(
        self,
        network: SimulatedNetwork,
        loop: GatewayLoop,
        name: str,
        peers: Mapping[str, str],
        receive: Callable[[str, RaftMessage], object],
    ) -> None:
        self.network, self.loop, self.name = network, loop, name
        self.region = network.region(name)
        self.counts: Counter[str] = Counter()
        self._peers, self._receive, self._closed = peers, receive, False
        network.raft_transports[name] = self

    def send(self, to: str, message: RaftMessage) -> None:
        """Send one message to a peer."""
        if to not in self._peers or self._closed:
            self.counts["lost"] += 1
            return
        body = wire.encode_batch(self.name, [wire.encode_message(message)])
        request_head = HTTP_REQUEST % len(body)
        self.counts["sent"] += 1
        self.counts["bytes"] += len(request_head) + len(body) + len(HTTP_ANSWER) + SEGMENT_HEADERS
        self.network.send(self, self.network.raft_transports.get(to), body)

    def deliver(self, data: bytes) -> None:
        """A batch has come."""
        if self._closed:
            return
        sender, messages = wire.decode_batch(data)
        if sender not in self._peers:
            self.counts["refused: stranger"] += 1
            return
        for message in messages:
            self._receive(sender, message)

    def close(self) -> None:
        """Send and receive no more."""
        self._closed = True
        if self.network.raft_transports.get(self.name) is self:
            del self.network.raft_transports[self.name]
