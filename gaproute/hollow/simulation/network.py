"""The simulated network: datagrams and exchanges of bytes that take time, get lost and are counted.

Sizes: a datagram has 28 bytes of headers. An exchange of a lease's messages is a request of `peers/keepers`
with its HTTP head, an answer, and three TCP segments with 52 bytes of headers each; one message goes in each
exchange, where the product may batch several, so that lease bytes are an upper bound.
"""

from collections import Counter

from gaproute.peers.raft import wire

MILLI = 1_000_000
REGIONS = 5  # by the gateway's number
NEAR, FAR = 2 * MILLI, 60 * MILLI  # one way, within a region and between two
HTTP_REQUEST = b"POST /keepers HTTP/1.1\r\nHost: peer\r\nContent-Length: %d\r\n\r\n"
HTTP_ANSWER = b"HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"
SEGMENTS = 3 * 52


class SimulatedNetwork:
    """`blocked(sender, receiver)`: whether what goes between these two gateways (names) is lost."""

    def __init__(self, loop):
        self.loop = loop
        self.datagrams, self.carriers = {}, {}  # address: endpoint; name: carrier
        self.names = {}  # address: name
        self.blocked = None
        self.lost = 0

    def region(self, name):
        """The number of the gateway's region."""
        return int("".join(filter(str.isdigit, name)) or 0) % REGIONS

    def delay(self, sender, receiver):
        """Nanoseconds one way."""
        return NEAR if sender.region == receiver.region else FAR

    def carry(self, sender, receiver, data):
        """Brings the data to the receiver, an endpoint or None where nobody listens."""
        if receiver is None or self.blocked is not None and self.blocked(sender.name, receiver.name):
            self.lost += 1
            return
        receiver.loop.at(self.loop.time + self.delay(sender, receiver), receiver.deliver, data)


class SimulatedDatagrams:
    """Has the face of `gaproute.loop.datagrams.Datagrams`."""

    __slots__ = ("network", "loop", "name", "region", "where", "heard")

    def __init__(self, network, name, loop, where, heard):
        self.network, self.name, self.loop, self.where, self.heard = network, name, loop, where, heard
        self.region = network.region(name)
        network.datagrams[where] = self

    def send(self, data, where):
        """Sends one datagram."""
        self.network.carry(self, self.network.datagrams.get(where), data)

    def deliver(self, data):
        """A datagram has come."""
        if self.heard is not None:
            self.heard(data)

    def close(self):
        """Listens no more; what is under way is lost."""
        self.heard = None
        if self.network.datagrams.get(self.where) is self:
            del self.network.datagrams[self.where]


class SimulatedRaftTransport:
    """Has the face of `gaproute.peers.raft.RaftTransport`: one message in each exchange."""

    def __init__(self, network, loop, name, peers, take):
        self.network, self.loop, self.name, self.peers, self.take = network, loop, name, peers, take
        self.region = network.region(name)
        self.counts, self.closed = Counter(), False
        network.carriers[name] = self

    def send(self, to, message):
        """Sends one message to a peer."""
        if to not in self.peers or self.closed:
            self.counts["lost"] += 1
            return
        body = wire.batch(self.name, [wire.pack(message)])
        self.counts["sent"] += 1
        self.counts["bytes"] += len(HTTP_REQUEST % len(body)) + len(body) + len(HTTP_ANSWER) + SEGMENTS
        self.network.carry(self, self.network.carriers.get(to), body)

    def deliver(self, body):
        """A batch has come."""
        if self.closed:
            return
        sender, messages = wire.read(body)
        if sender not in self.peers:
            self.counts["refused: stranger"] += 1
            return
        for message in messages:
            self.take(sender, message)

    def close(self):
        """Sends and takes no more."""
        self.closed = True
        if self.network.carriers.get(self.name) is self:
            del self.network.carriers[self.name]
