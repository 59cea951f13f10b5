"""How a gateway that is behind gets what it lacks: whom it asks, how, and when it asks another.

One fetch at a time. A little behind, it announces its own version to whoever announced the newer one, which
then pushes the changes; further behind, or where that fails, it pulls by exchanges.

Invariants: at most one exchange is open; at most `SOURCES` others are remembered; each fetch ends after
`TRIES` failures, and an answer that brings nothing is a failure.
"""

from gaproute.shared.dissemination.bounds import (
    BUSY_REST,
    CHANGES_TRIES,
    EXCHANGE_TIME,
    FAILURE_PAUSE,
    LOG_CHANGES,
    LONGEST_WAIT,
    NEAR,
    PART_TRIES,
    REPLY_TIME,
    SOURCES,
    TRIES,
)
from gaproute.shared.dissemination.messages import NOTHING


class Fetch:
    """`source` is the peer asked, None while nothing is fetched."""

    def __init__(self, copy):
        self.replica = copy  # the document held: whether changes can mend it
        self.source, self.target = None, NOTHING
        self.others = {}  # name: peer, of further ones that hold the target or nearly so
        self.by_exchange = self.waiting = False  # waiting: told to, no question is open
        self.deadline, self.tries = 0, 0

    @property
    def due(self):
        """When `late` is to be called, None while nothing is fetched."""
        return None if self.source is None else self.deadline

    def wants_whole(self, held):
        """Whether to ask for the whole document: what others' logs hold does not do, or did not."""
        if self.replica.needs_whole or held == NOTHING or self.tries >= CHANGES_TRIES:
            return True
        return held.term == self.target.term and self.target.number - held.number > LOG_CHANGES

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
        self.others.pop(peer.name, None)
        self.others[peer.name] = peer  # the latest are the likeliest to have time
        if len(self.others) > SOURCES:
            del self.others[next(iter(self.others))]
        return False

    def knows(self, peer):
        """Whether the peer announced a newer version since this fetch began."""
        return self.source is not None and (peer.name == self.source.name or peer.name in self.others)

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
        """The source is busy: ask another one soon, or the same when it has time."""
        if self.others:
            self._next_source(now, BUSY_REST)
        else:
            self.waiting, self.deadline = True, now + min(max(BUSY_REST, span), LONGEST_WAIT)

    def part_came(self, now):
        """The source gave a part of the whole document: it is asked for the next."""
        self.tries = 0
        self._open(now, by_exchange=True)

    def failed(self, now, pause=FAILURE_PAUSE, amid_parts=False):
        """The question came to nothing: the next source is asked after a pause.

        Amid the parts of a whole document the same source is asked a few times more: another one most
        likely gives them of another version, from the beginning.
        """
        self.tries += 1
        if self.tries >= TRIES:
            self._end()
        elif amid_parts and self.tries <= PART_TRIES:
            self.waiting, self.deadline = True, now + pause
        else:
            self._next_source(now, pause)

    def late(self, now, held, amid_parts=False):
        """The deadline passed. Returns whether to ask the source now."""
        if not self.waiting:
            self.failed(now, 0, amid_parts)
            if self.source is None:
                return False
        self._open(now, self.tries > 2 or not self.is_near(held))
        return True

    def is_near(self, held):
        """Whether a datagram can hold what is lacking."""
        few = held.term == self.target.term and self.target.number - held.number <= NEAR
        return few and not self.replica.needs_whole

    def _next_source(self, now, pause):
        """The peer that announced last is next; the one that failed comes after all others."""
        if self.others:
            _, following = self.others.popitem()
            self.others = {self.source.name: self.source, **self.others}
            self.source = following
        self.waiting, self.deadline = True, now + pause

    def _open(self, now, by_exchange):
        self.by_exchange, self.waiting = by_exchange, False
        self.deadline = now + (EXCHANGE_TIME if by_exchange else REPLY_TIME)

    def _end(self):
        self.source, self.tries, self.target = None, 0, NOTHING
        self.others.clear()
