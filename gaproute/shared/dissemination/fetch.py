"""How a gateway that is behind gets what it lacks: whom it asks, how, and when it asks another.

One fetch at a time. A little behind, it announces its own version to whoever announced the newer one, which
then pushes the changes; further behind, or where that fails, it pulls by exchanges. Times are in ns.

Invariants: at most one exchange is open; at most `MAX_SOURCES` others are remembered; each fetch ends after
`MAX_FAILURES`, and an answer that brings nothing is a failure.
"""

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import (
    BUSY_PAUSE,
    EXCHANGE_TIME,
    FAILURE_PAUSE,
    LOG_CHANGES,
    MAX_CHANGES_FAILURES,
    MAX_DATAGRAM_GAP,
    MAX_FAILURES,
    MAX_PART_FAILURES,
    MAX_SOURCES,
    MAX_WAIT,
    REPLY_TIME,
)
from gaproute.shared.dissemination.messages import NOTHING, Peer
from gaproute.shared.dissemination.replica import Replica

DATAGRAM_FAILURES = 2  # after which an exchange is tried also where a datagram could hold what is lacking


class Fetch:
    """`source` is the peer asked, None while nothing is fetched."""

    def __init__(self, replica: Replica) -> None:
        self.source: Peer | None = None
        self.target = NOTHING  # the newest version that was announced
        self.other_sources: dict[str, Peer] = {}  # by name; they have the target or nearly so
        self.by_exchange = False  # the open question is a pull, not an announcement
        self.waiting = False  # for the time to ask; no question is open
        self.failures = 0
        self._replica = replica
        self._deadline = 0

    @property
    def due(self) -> int | None:
        """When `deadline_passed` is to be called, None while nothing is fetched."""
        return None if self.source is None else self._deadline

    def wants_whole(self, current: Version) -> bool:
        """Whether to ask for the whole document: others' logs do not reach back so far, or did not help."""
        if self._replica.needs_whole or current == NOTHING or self.failures >= MAX_CHANGES_FAILURES:
            return True
        return current.term == self.target.term and self.target.number - current.number > LOG_CHANGES

    def is_near(self, current: Version) -> bool:
        """Whether a datagram can hold what is lacking."""
        few = current.term == self.target.term and self.target.number - current.number <= MAX_DATAGRAM_GAP
        return few and not self._replica.needs_whole

    def knows(self, peer: Peer) -> bool:
        """Whether the peer announced a newer version since this fetch began."""
        return self.source is not None and (peer.name == self.source.name or peer.name in self.other_sources)

    def announced(self, now: int, peer: Peer, version: Version, current: Version) -> bool:
        """A peer announced a version above the current one. Returns whether to ask the source now."""
        self.target = max(self.target, version)
        if self.source is None:
            self.failures, self.source = 0, peer
            self._open(now, by_exchange=not self.is_near(current))
            return True
        if peer.name == self.source.name:
            if self.by_exchange or self.waiting:
                return False
            self._open(now, by_exchange=True)  # it could not push what was asked for
            return True
        self._remember(peer)
        return False

    def progressed(self, now: int, current: Version) -> bool:
        """Something was taken. Returns whether to ask the source on."""
        if self.source is None:
            return False
        if current >= self.target:
            self._end()
            return False
        self.failures = 0
        self._open(now, by_exchange=not self.is_near(current))
        return True

    def busy(self, now: int, wait: int) -> None:
        """The source is busy: ask another one soon, or the same when it has time."""
        if self.other_sources:
            self._next_source(now, BUSY_PAUSE)
        else:
            self._wait(now, min(max(BUSY_PAUSE, wait), MAX_WAIT))

    def part_received(self, now: int) -> None:
        """The source gave a part of the whole document: it is asked for the next."""
        self.failures = 0
        self._open(now, by_exchange=True)

    def failed(self, now: int, pause: int = FAILURE_PAUSE, *, amid_parts: bool = False) -> None:
        """The question came to nothing: the next source is asked after a pause.

        Amid the parts of a whole document the same source is asked a few times more: another one most
        likely gives them of another version, from the beginning.
        """
        self.failures += 1
        if self.failures >= MAX_FAILURES:
            self._end()
        elif amid_parts and self.failures <= MAX_PART_FAILURES:
            self._wait(now, pause)
        else:
            self._next_source(now, pause)

    def deadline_passed(self, now: int, current: Version, *, amid_parts: bool = False) -> bool:
        """The time `due` has come. Returns whether to ask the source now."""
        if not self.waiting:
            self.failed(now, 0, amid_parts=amid_parts)
            if self.source is None:
                return False
        self._open(now, by_exchange=self.failures > DATAGRAM_FAILURES or not self.is_near(current))
        return True

    def _remember(self, peer: Peer) -> None:
        """The latest are the likeliest to have time."""
        self.other_sources.pop(peer.name, None)
        self.other_sources[peer.name] = peer
        if len(self.other_sources) > MAX_SOURCES:
            del self.other_sources[next(iter(self.other_sources))]

    def _next_source(self, now: int, pause: int) -> None:
        """The peer that announced last is next; the one that failed comes after all others."""
        if self.other_sources and self.source is not None:
            _, following = self.other_sources.popitem()
            self.other_sources = {self.source.name: self.source, **self.other_sources}
            self.source = following
        self._wait(now, pause)

    def _wait(self, now: int, pause: int) -> None:
        self.waiting, self._deadline = True, now + pause

    def _open(self, now: int, *, by_exchange: bool) -> None:
        self.by_exchange, self.waiting = by_exchange, False
        self._deadline = now + (EXCHANGE_TIME if by_exchange else REPLY_TIME)

    def _end(self) -> None:
        self.source, self.failures, self.target = None, 0, NOTHING
        self.other_sources.clear()
