"""How a gateway that is behind gets what it lacks: whom it asks, how, and when it asks another.

One fetch at a time. A little behind, it announces its own version to whoever announced the newer one, which
then pushes the changes; further behind, or where that fails, it pulls by exchanges.

Invariants: at most one exchange is open; at most `SOURCES` others are remembered; each fetch ends after
`TRIES` failures, and an answer that brings nothing is a failure.
"""

from gaproute.shared.dissemination.bounds import (
    EXCHANGE_TIME,
    LONGEST_WAIT,
    NEAR,
    REPLY_TIME,
    REST,
    SOURCES,
    TRIES,
)
from gaproute.shared.dissemination.messages import NOTHING


class Fetching:
    """`source` is the peer asked, None while nothing is fetched."""

    def __init__(self, copy):
        self.copy = copy  # the document held: whether changes can mend it
        self.source, self.target = None, NOTHING
        self.others = {}  # name: peer, of further ones that hold the target or nearly so
        self.by_exchange = self.waiting = False  # waiting: told to, no question is open
        self.deadline, self.tries = 0, 0

    @property
    def due(self):
        """When `late` is to be called, None while nothing is fetched."""
        return None if self.source is None else self.deadline

    def heard(self, now, peer, version, held):
        """A peer announced a version above that held. Returns whether to ask the source now."""
        self.target = max(self.target, version)
        if self.source is None:
            self.tries, self.source = 0, peer
            self._open(now, not self.is_near(held))
            return True
        if peer.name == self.source.name:
            if self.by_exchange or self.waiting:
                return False
            self._open(now, by_exchange=True)  # it could not push what was asked for
            return True
        if len(self.others) < SOURCES:
            self.others[peer.name] = peer
        return False

    def progress(self, now, held):
        """Something was taken. Returns whether to ask the source on."""
        if self.source is None:
            return False
        if held >= self.target:
            self._end()
            return False
        self.tries = 0
        self._open(now, not self.is_near(held))
        return True

    def wait(self, now, span):
        """The source is busy: ask it again later."""
        self.waiting = True
        self.deadline = now + min(max(0, span), LONGEST_WAIT)

    def failed(self, now, pause=REST):
        """The question came to nothing: the next source is asked after a pause."""
        self.tries += 1
        if self.tries >= TRIES:
            self._end()
            return
        self.others[self.source.name] = self.source
        self.source = self.others.pop(next(iter(self.others)))
        self.waiting, self.deadline = True, now + pause

    def late(self, now, held):
        """The deadline passed. Returns whether to ask the source now."""
        if not self.waiting:
            self.failed(now, 0)
            if self.source is None:
                return False
        self._open(now, self.tries > 2 or not self.is_near(held))
        return True

    def is_near(self, held):
        """Whether a datagram can hold what is lacking."""
        few = held.term == self.target.term and self.target.number - held.number <= NEAR
        return few and not self.copy.needs_whole

    def _open(self, now, by_exchange):
        self.by_exchange, self.waiting = by_exchange, False
        self.deadline = now + (EXCHANGE_TIME if by_exchange else REPLY_TIME)

    def _end(self):
        self.source, self.tries, self.target = None, 0, NOTHING
        self.others.clear()
