"""Pulls of cell tables on the simulated network, answered by the product's own handler.

Sizes: a pull is a request with its HTTP head, an answer, and TCP segments with 52 bytes of headers each: two
that open the connection, two that end it, and one for each 1,448 bytes.
"""

from __future__ import annotations

from typing import Protocol

from gaproute.hollow.environment import PartLoop
from gaproute.peers.ports import PullAnswer, PullCallback, PullHandler, PullReply
from gaproute.peers.tables import wire
from gaproute.peers.tables.pull_exchange import OK
from gaproute.shared.dissemination.bounds import EXCHANGE_TIMEOUT
from gaproute.shared.dissemination.messages import Pull

SEGMENT_HEADERS, SEGMENT = 52, 1_448  # bytes of a TCP segment
HTTP_REQUEST = 90  # bytes of the head
HTTP_ANSWER = 110
CONNECTION_SEGMENTS = 4  # beside those with data, half of them of each side
NOT_FOUND = PullReply(404, b"")  # where no transport serves pulls
TRIPS_OF_REQUEST = 3  # one way each: two for the connection to stand, one for the request


def transferred(size: int) -> int:
    """Bytes that one side of an exchange sends, with headers, for a message of so many bytes."""
    segments = -(-size // SEGMENT) + CONNECTION_SEGMENTS // 2
    return size + segments * SEGMENT_HEADERS


class PullNetwork(Protocol):
    """What pulls need of the network; `pull_servers` are by their address."""

    pull_servers: dict[str, SimulatedPullServer]

    def delay_between(self, one: str, other: str) -> int:
        """Ns one way between two gateways, by name."""

    def is_partitioned(self, one: str, other: str) -> bool:
        """Whether nothing gets from one gateway to the other and back."""


class SimulatedPullServer:
    """Stands in for `gaproute.peers.tables.pull_exchange.HttpPullListener`.

    `answers` and `bytes` (with headers) count what it has sent.
    """

    def __init__(self, network: PullNetwork, name: str, address: str) -> None:
        self.name = name
        self.handler: PullHandler | None = None  # None: pulls are not served
        self.answers = self.bytes = 0
        self.address = address  # that gateways send with what they announce
        self._network = network
        network.pull_servers[address] = self

    def serve(self, handler: PullHandler) -> None:
        """From now on pulls are answered with what the handler returns."""
        self.handler = handler

    def stop(self) -> None:
        """From now on no pulls are answered."""
        self.handler = None

    def handle(self, body: bytes) -> PullReply:
        """The reply to a pull."""
        if self.handler is None:
            return NOT_FOUND
        reply = self.handler(body)
        self.answers += 1
        self.bytes += transferred(HTTP_ANSWER + len(reply.body))
        return reply

    def close(self) -> None:
        """Answer no more."""
        if self._network.pull_servers.get(self.address) is self:
            del self._network.pull_servers[self.address]


class SimulatedPullClient:
    """Stands in for `gaproute.peers.tables.pull_exchange.PullClient`.

    `pulls` and `bytes` (with headers) count what it has sent.
    """

    def __init__(self, network: PullNetwork, loop: PartLoop, name: str) -> None:
        self._network, self._loop, self._name = network, loop, name
        self._current = 0  # the number of the pull that is open; an answer to an earlier one is dropped
        self.pulls = self.bytes = 0

    def ask(self, where: str, pull: Pull, done: PullCallback) -> None:
        """Pull from the gateway with that address, and drop the pull before.

        `done(answer)` is called once, with None where none came; for a dropped pull it is not called.
        """
        self.drop()
        body = wire.encode_pull(pull)
        self.pulls += 1
        self.bytes += transferred(HTTP_REQUEST + len(body))
        server = self._network.pull_servers.get(where)
        if server is None or self._network.is_partitioned(self._name, server.name):
            self._loop.call_later(EXCHANGE_TIMEOUT, self._finish, self._current, None, done)
            return
        delay = self._network.delay_between(self._name, server.name)
        arrival = TRIPS_OF_REQUEST * delay
        self._loop.call_later(arrival, self._arrived, self._current, server, body, delay, done)

    def drop(self) -> None:
        """End the pull that is open."""
        self._current += 1

    def _arrived(
        self, number: int, server: SimulatedPullServer, body: bytes, delay: int, done: PullCallback
    ) -> None:
        reply = server.handle(body)
        answer = wire.decode_answer(reply.body) if reply.status == OK else None
        self._loop.call_later(delay, self._finish, number, answer, done)

    def _finish(self, number: int, answer: PullAnswer | None, done: PullCallback) -> None:
        if number == self._current:
            self.drop()
            done(answer)
