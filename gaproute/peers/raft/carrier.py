"""Batches between gateways: `POST /keepers` on the address where a gateway tells others what it knows, or
on one of its own. One exchange at a time with each peer, on a kept connection; a message that finds no
room or nobody is lost, as the agreement bears it.

Who sends is taken at its word, as in all exchange of peers (a private network, see docs/operators.md); a
name that is no peer's is not listened to.
"""

from collections import Counter, deque

from gaproute.http1 import Exchange, Limits, Server
from gaproute.loop.streams import address
from gaproute.peers.raft import wire

MILLI, SECOND = 1_000_000, 1_000_000_000

QUEUE = 256  # messages that wait for one peer; beyond it the oldest goes: it is the stalest
HELD = 2 * wire.LONGEST  # bytes of them
ANSWER = 2 * SECOND  # for one exchange: a snapshot over a slow link; a dead peer costs an attempt in that
REST = 200 * MILLI  # after a failed exchange, until the next: a beat
PACE = 500  # messages a second that one peer may send: a busy leader's share, ten times over
BURST = 1000  # messages beyond that at once
TARGET = b"/keepers"


class Peer:
    def __init__(self, now):
        self.queue, self.held = deque(), 0
        self.link = self.exchange = self.timer = None
        self.rest = now  # until then nothing is sent
        self.purse, self.filled = BURST, now


class Carrier:
    """`take(sender, message)` for each that comes; `peers`: {name: address as text}, may be changed in
    place."""

    def __init__(self, loop, name, peers, take):
        self.loop, self.name, self.peers, self.take = loop, name, peers, take
        self.table = {}  # name: Peer
        self.counts = Counter()  # sent, heard, lost, and what was refused by reason
        self.server = None
        self.closed = False

    # What comes

    def listen(self, where):
        """Errors: OSError. Returns the address as text."""
        limits = Limits(body=wire.LONGEST, pipelined=1, connections=256, buffered=4 * wire.LONGEST)
        self.server = Server(
            self.loop, address(where), lambda request: self.handle(self.server, request), limits
        )
        return self.server.address

    def handle(self, server, request):
        if request.target != TARGET or request.method != b"POST":
            server.answer(request, 404, (), b"POST /keepers\n")
            return
        try:
            sender, messages = wire.read(request.body)
        except ValueError as reason:
            self.counts[f"refused: {reason}"] += 1
            server.answer(request, 400, (), b"not understood\n")
            return
        if sender not in self.peers or sender == self.name:
            self.counts["refused: stranger"] += 1
            server.answer(request, 400, (), b"not a peer\n")
            return
        if not self._pays(self._peer(sender), len(messages)):
            self.counts["refused: flood"] += len(messages)
            server.answer(request, 429, (), b"too much\n")
            return
        server.answer(request, 204, (), b"")
        self.counts["heard"] += len(messages)
        for message in messages:
            self.take(sender, message)

    def _pays(self, peer, messages):
        now = self.loop.now()
        peer.purse = min(BURST, peer.purse + (now - peer.filled) * PACE / SECOND)
        peer.filled = now
        if peer.purse < messages:
            return False
        peer.purse -= messages
        return True

    # What goes

    def _peer(self, name):
        if name not in self.table:
            for gone in [each for each in self.table if each not in self.peers]:
                self._forget(self.table.pop(gone))
            self.table[name] = Peer(self.loop.now())
        return self.table[name]

    def send(self, to, message):
        if to not in self.peers or self.closed:
            self.counts["lost"] += 1
            return
        peer, data = self._peer(to), wire.pack(message)
        peer.queue.append(data)
        peer.held += len(data)
        while len(peer.queue) > QUEUE or peer.held > HELD:
            peer.held -= len(peer.queue.popleft())
            self.counts["lost"] += 1
        if peer.exchange is None and peer.timer is None:
            # Behind what is at work now, so that all that one turn says goes in one batch.
            peer.timer = self.loop.at(max(self.loop.now(), peer.rest), self._flush, to, peer)

    def _flush(self, to, peer):
        peer.timer = None
        if not peer.queue or peer.exchange is not None or to not in self.peers or self.closed:
            return
        packed, size = [], 0
        while (
            peer.queue and len(packed) < wire.MANY and (not packed or size + len(peer.queue[0]) < wire.BATCH)
        ):
            packed.append(peer.queue.popleft())
            size += len(packed[-1])
        peer.held -= size
        body = wire.batch(self.name, packed)
        data = b"POST %s HTTP/1.1\r\nHost: peer\r\nContent-Length: %d\r\n\r\n%b" % (TARGET, len(body), body)
        peer.exchange = Exchange(
            self.loop, data, lambda answer, fault: self._over(to, peer, len(packed), answer)
        )
        peer.timer = self.loop.after(ANSWER, self._over, to, peer, len(packed), None)
        if peer.link is not None and peer.link.open:
            peer.exchange.on(peer.link)
        else:
            peer.exchange.open(
                address(self.peers[to]), ANSWER, 4096, 4096, lambda link: setattr(peer, "link", link)
            )

    def _over(self, to, peer, many, answer):
        """The exchange ended, or its time did."""
        exchange, peer.exchange = peer.exchange, None
        if peer.timer is not None:
            peer.timer.cancel()
            peer.timer = None
        now = self.loop.now()
        if answer is None:
            exchange.drop()
            if peer.link is not None:
                peer.link.drop()
            peer.link = None
        done = answer is not None and answer.status == 204
        self.counts["sent" if done else "lost"] += many
        peer.rest = now if done else now + REST
        if peer.queue and not self.closed:
            peer.timer = self.loop.at(peer.rest, self._flush, to, peer)

    def _forget(self, peer):
        if peer.timer is not None:
            peer.timer.cancel()
        if peer.exchange is not None:
            peer.exchange.drop()
        if peer.link is not None:
            peer.link.drop()

    def close(self):
        self.closed = True
        for peer in self.table.values():
            self._forget(peer)
        self.table.clear()
        if self.server is not None:
            self.server.close()
