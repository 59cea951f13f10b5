"""How a gateway that is behind gets what it lacks: whom it asks, how, and when it asks another.

One fetch at a time. It announces its own version to whoever announced the newer one. That one pushes the
changes where they are few; else it announces again once it has time, and is asked by exchanges, one part
after the other at a pace.

Invariants: at most one exchange is open; at most `SOURCES` others are remembered; each fetch ends after
`TRIES` failures, and an answer that brings nothing is a failure.
"""

from gaproute.shared.dissemination.bounds import (
    BUSY_REST,
    EXCHANGE_TIME,
    LONGEST_WAIT,
    MILLISECOND,
    NEAR,
    PACED_TRIES,
    PART_INTERVAL,
    PART_TRIES,
    PUSH_INTERVAL,
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
        self.failed_pulls = 0  # of this fetch, by exchange
        self.sources_busy = False  # in this fetch, rather than datagrams lost
        self.asked = 0  # when the latest question was asked

    @property
    def due(self):
        """When `late` is to be called, None while nothing is fetched."""
        return None if self.source is None else self.deadline

    def wants_whole(self, held):
        """Whether to ask for the whole document: a difference does not do, or did not."""
        return self.copy.needs_whole or held == NOTHING

    @property
    def as_older(self):
        """Whether to ask as older gateways do: whoever was asked may be such a one."""
        return self.failed_pulls >= PACED_TRIES

    def heard(self, now, peer, version, held, invited=True):
        """A peer holds a version above that held; `invited`: it announced that. Returns whether to ask the
        source now."""
        self.target = max(self.target, version)
        if self.source is None:
            self.tries, self.source = 0, peer
            self._open(now, by_exchange=False)
            return True
        if peer.name == self.source.name:
            if self.by_exchange or self.waiting or not invited:
                return False
            self._open(now, by_exchange=True)  # it did not push what was asked for, and has time
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
        """Something was taken. Returns whether more is lacking: the source is asked on a little later."""
        if self.source is None:
            return False
        if held >= self.target:
            self._end()
            return False
        self.tries = 0
        self._pause(now, PUSH_INTERVAL)
        return True

    def wait(self, now, span, amid_parts=False):
        """The source is busy: ask another one soon, or the same when it has time."""
        self.sources_busy = True
        if self.others and not amid_parts:
            self._next_source(now, BUSY_REST)
        else:
            least = MILLISECOND if amid_parts else BUSY_REST
            self._pause(now, min(max(least, span), LONGEST_WAIT))

    def part_came(self, now):
        """The source gave a part: it is asked for the next one a little later."""
        self.tries, self.failed_pulls, self.sources_busy = 0, 0, True
        self._pause(now, max(MILLISECOND, self.asked + PART_INTERVAL - now))

    def failed(self, now, pause=REST, amid_parts=False):
        """The question came to nothing: the next source is asked after a pause.

        Amid the parts of a whole document the same source is asked a few times more: another one most
        likely gives them of another version, from the beginning.
        """
        self.failed_pulls += self.by_exchange and not self.waiting
        self.tries += 1
        if self.tries >= TRIES:
            self._end()
        elif amid_parts and self.tries <= PART_TRIES:
            self._pause(now, pause)
        else:
            self._next_source(now, pause)

    def late(self, now, held, amid_parts=False):
        """The deadline passed. Returns whether to ask the source now."""
        if not self.waiting:
            self.failed(now, 0, amid_parts)
            if self.source is None:
                return False
        lossy = self.tries > 2 and self.is_near(held) and not self.sources_busy
        self._open(now, amid_parts or lossy)
        return True

    def is_near(self, held, most=NEAR):
        """Whether a datagram can hold what is lacking: `most` changes."""
        few = held.term == self.target.term and self.target.number - held.number <= most
        return few and not self.copy.needs_whole

    def _next_source(self, now, pause):
        """The peer that announced last is next; the one that failed comes after all others."""
        if self.others:
            _, following = self.others.popitem()
            self.others = {self.source.name: self.source, **self.others}
            self.source = following
        self._pause(now, pause)

    def _pause(self, now, span):
        self.waiting, self.deadline = True, now + span

    def _open(self, now, by_exchange):
        self.by_exchange, self.waiting, self.asked = by_exchange, False, now
        self.deadline = now + (EXCHANGE_TIME if by_exchange else REPLY_TIME)

    def _end(self):
        self.source, self.tries, self.failed_pulls, self.target = None, 0, 0, NOTHING
        self.sources_busy = False
        self.others.clear()
