"""Pulls of tables on the simulated network, answered by the product's own handler.

Sizes: a pull is a request with its HTTP head, an answer, and TCP segments with 52 bytes of headers each: two
that open the connection, two that end it, and one for each 1,448 bytes.
"""

from types import SimpleNamespace

from gaproute.peers.tables import wire
from gaproute.peers.tables.pull_exchange import TARGET
from gaproute.shared.dissemination.bounds import EXCHANGE_TIME

HEADERS, SEGMENT = 52, 1_448  # bytes of a TCP segment
HTTP_REQUEST = 90  # bytes of the head
HTTP_ANSWER = 110
CONNECTION = 4  # segments beside those with data, half of them of each side
GOOD = 200


def transferred(size):
    """Bytes of one side of an exchange, with headers."""
    segments = -(-size // SEGMENT) + CONNECTION // 2
    return size + segments * HEADERS


class SimulatedPullServer:
    """Has what the table's carrier needs of `gaproute.peers.PeerServer`; stands in the network's `givers`."""

    def __init__(self, network, name, address):
        self.network, self.name, self.address, self.routes = network, name, address, {}
        self.answers = self.bytes = 0
        network.givers[address] = self

    def ask(self, body):
        """The answer's status and body."""
        handle = self.routes.get(TARGET)
        if handle is None:
            return 404, b""
        handle(self, SimpleNamespace(method=b"POST", body=body))
        status, data = self.answered
        self.answers += 1
        self.bytes += transferred(HTTP_ANSWER + len(data))
        return status, data

    def answer(self, request, status, headers, body):
        """Called by the handler."""
        self.answered = status, body

    def close(self):
        """Answers nobody any more."""
        if self.network.givers.get(self.address) is self:
            del self.network.givers[self.address]


class SimulatedPullClient:
    """Has the face of `gaproute.peers.tables.pull_exchange.PullClient`."""

    def __init__(self, network, loop, name):
        self.network, self.loop, self.name = network, loop, name
        self.question = 0  # that is open; a later one drops it
        self.pulls = self.bytes = 0

    def ask(self, where, pull, done):
        """`done(answer)` once, None where none came; a dropped question calls nothing."""
        self.drop()
        question, body = self.question, wire.encode_pull(pull)
        self.pulls += 1
        self.bytes += transferred(HTTP_REQUEST + len(body))
        giver = self.network.givers.get(where)
        if giver is None or self.network.parted(self.name, giver.name):
            self.loop.after(EXCHANGE_TIME, self._over, question, None, done)
            return
        way = self.network.way(self.name, giver.name)
        self.loop.after(3 * way, self._arrived, question, giver, body, way, done)

    def _arrived(self, question, giver, body, way, done):
        status, data = giver.ask(body)
        answer = wire.decode_answer(data) if status == GOOD else None
        self.loop.after(way, self._over, question, answer, done)

    def _over(self, question, answer, done):
        if question == self.question:
            self.drop()
            done(answer)

    def drop(self):
        """Ends the question that is open."""
        self.question += 1
