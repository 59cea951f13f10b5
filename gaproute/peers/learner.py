"""The learning side: at its start a gateway asks its peers, all at once, chunk by chunk, and books the hints.

What has come from a peer that dies or stalls in the middle stays usable. Answers are booked as they come, so
that the first chunk, which holds what was used last, helps while the rest is on its way.
"""
from google.protobuf.message import DecodeError

from gaproute.http1 import Exchange
from gaproute.loop import Promise
from gaproute.loop.streams import address
from gaproute.lore import Gone, Lore, Warm
from gaproute.peers.lore_pb2 import Ask, Told

MILLI, SECOND = 1_000_000, 1_000_000_000
VERSION = 1
ANSWER_TIME = 500 * MILLI    # for one chunk; a peer that is slower is dropped
LEARN_TIME = 5 * SECOND      # from the start on: later, own traffic tells more than any peer
CHUNKS = 1024                # of one peer at most
ANSWER = 1 << 20             # bytes of one chunk at most


class Learner:
    """`book(worker, function, lanes, seen)` tells the module, `lives()` is {active worker: start of its
    life}."""

    def __init__(self, loop, peers, book, lives, keep_alive, chance, record, name):
        self.loop, self.peers, self.book, self.lives = loop, peers, book, lives
        self.keep_alive, self.chance, self.record, self.name = keep_alive, chance, record, name
        self.lore = Lore()
        self.booked = 0
        self.ends = loop.now() + LEARN_TIME
        self.state = {peer.name: "asked" for peer in peers}
        self.routines = [loop.spawn(self.ask(peer)) for peer in peers]

    def ask(self, peer):
        cursor, came = 0, 0
        for _ in range(CHUNKS):
            asked = self.loop.now()
            if asked > self.ends:
                self.state[peer.name] = f"out of time after {came} facts"
                return
            body = Ask(version=VERSION, cursor=cursor).SerializeToString()
            answer = yield self.exchange(peer, body)
            if answer is not None and answer.status == 503:
                wait = answer.headers.get(b"gaproute-retry-after-ms", b"")
                yield self.loop.sleep(min(SECOND, int(wait) * MILLI) if wait.isdigit() else 100 * MILLI)
                continue
            told = self.read(answer)
            if told is None:
                self.state[peer.name] = f"dropped after {came} facts"
                self.record.event("warning", "peer dropped", peer=peer.name, facts=came)
                return
            came += len(told.warm)
            self.take(peer.name, asked, told)
            cursor = told.next
            if not cursor:
                self.state[peer.name] = f"told {came} facts"
                self.record.event("info", "learnt", peer=peer.name, facts=came, booked=self.booked,
                                  refused=dict(self.lore.refused))
                return

    def exchange(self, peer, body):
        """A promise of the answer, of None where none came in time."""
        came = Promise()
        data = b"POST /lore HTTP/1.1\r\nHost: peer\r\nConnection: close\r\nContent-Length: %d\r\n\r\n" % len(
            body
        )
        exchange = Exchange(self.loop, data + body, lambda answer, fault: came.set(answer))
        exchange.open(address(peer.where), ANSWER_TIME, 16384, ANSWER)
        timer = self.loop.after(ANSWER_TIME, lambda: (exchange.drop(), came.set(None)))
        came.then(lambda promise: timer.cancel())
        return came

    def read(self, answer):
        if answer is None or answer.status != 200:
            return None
        try:
            told = Told.FromString(answer.body)
        except DecodeError:
            return None
        return told if abs(told.version - VERSION) <= 1 else None

    def take(self, origin, asked, told):
        lore = Lore()
        for gone in told.gone:
            at = lore.observed(asked, gone.age_us * 1000)
            if at is not None:
                lore.tell_gone(gone.worker, Gone(at, origin))
        for warm in told.warm:
            at = lore.observed(asked, warm.age_us * 1000)
            if at is not None:
                lore.tell_warm(warm.worker, warm.function, Warm(at, origin, warm.lanes, warm.started_ns))
        self.lore.merge(lore)
        # Only this chunk's subjects are looked at, by what all peers told of them: tombstones of any hold for
        # all.
        now, lives = self.loop.now(), self.lives()
        for hint in self.lore.hints(now, lives, self.keep_alive, self.chance, lore.warm):
            self.booked += self.book(*hint)

    def close(self):
        for routine in self.routines:
            routine.cancel()
