"""How a gateway that is behind fetches what it lacks: which peer it asks, in which way, and when another one.

There is one fetch at a time. A gateway that is a little behind announces its own version to the peer that
announced the newer one, which then pushes the changes. If it is further behind, or that fails, it pulls by
exchanges. Times are ns.

Invariants: at most one exchange is open; at most `MAX_OTHER_SOURCES` other sources are stored; a fetch ends
after `MAX_FETCH_FAILURES`, and an answer without anything new is a failure.
"""

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import (
    BUSY_PAUSE,
    DATAGRAM_REPLY_TIMEOUT,
    EXCHANGE_TIMEOUT,
    FAILURE_PAUSE,
    MAX_BUSY_WAIT,
    MAX_CHANGES_FAILURES,
    MAX_DATAGRAM_VERSION_GAP,
    MAX_FETCH_FAILURES,
    MAX_LOG_CHANGES,
    MAX_OTHER_SOURCES,
    MAX_PART_FAILURES,
)
from gaproute.shared.dissemination.messages import NO_VERSION, Peer
from gaproute.shared.dissemination.replica import Replica

DATAGRAM_FAILURES = 2  # after which an exchange is used even if the changes would fit in a datagram


class Fetch:
    """`source`: the peer that is asked; None while nothing is fetched."""

    def __init__(self, replica: Replica) -> None:
        self.source: Peer | None = None
        self.target = NO_VERSION  # the newest version that was announced
        self.other_sources: dict[str, Peer] = {}  # by name; they have the target version, or nearly
        self.uses_exchange = False  # the open request is a pull, not an announcement
        self.is_paused = False  # no request is open: the time for the next one has not come
        self.failures = 0
        self._replica = replica
        self._deadline = 0

    @property
    def due(self) -> int | None:
        """When `handle_deadline` is to be called, ns; None while nothing is fetched."""
        return None if self.source is None else self._deadline

    def needs_complete_document(self, current: Version) -> bool:
        """Whether to request the complete document, as the changes that others store do not reach back that
        far, or requests for changes failed.
        """
        if (
            self._replica.needs_complete_document
            or current == NO_VERSION
            or self.failures >= MAX_CHANGES_FAILURES
        ):
            return True
        same_term = current.term == self.target.term
        return same_term and self.target.number - current.number > MAX_LOG_CHANGES

    def is_few_versions_behind(self, current: Version) -> bool:
        """Whether the lacking changes may fit in a datagram."""
        same_term = current.term == self.target.term
        gap_is_small = same_term and self.target.number - current.number <= MAX_DATAGRAM_VERSION_GAP
        return gap_is_small and not self._replica.needs_complete_document

    def has_source(self, peer: Peer) -> bool:
        """Whether the peer has announced a newer version since this fetch began."""
        return self.source is not None and (peer.name == self.source.name or peer.name in self.other_sources)

    def handle_announcement(self, now: int, peer: Peer, version: Version, current: Version) -> bool:
        """Handles an announcement of a version above the current one; returns whether to ask the source
        now.
        """
        self.target = max(self.target, version)
        if self.source is None:
            self.failures, self.source = 0, peer
            self._open_request(now, uses_exchange=not self.is_few_versions_behind(current))
            return True
        if peer.name == self.source.name:
            if self.uses_exchange or self.is_paused:
                return False
            self._open_request(now, uses_exchange=True)  # the source could not push the requested changes
            return True
        self._add_other_source(peer)
        return False

    def handle_progress(self, now: int, current: Version) -> bool:
        """Handles progress; returns whether to ask the source for more."""
        if self.source is None:
            return False
        if current >= self.target:
            self._end_fetch()
            return False
        self.failures = 0
        self._open_request(now, uses_exchange=not self.is_few_versions_behind(current))
        return True

    def handle_busy(self, now: int, wait: int) -> None:
        """Handles a busy source: asks another one soon, or the same once it has time."""
        if self.other_sources:
            self._switch_source(now, BUSY_PAUSE)
        else:
            self._pause(now, min(max(BUSY_PAUSE, wait), MAX_BUSY_WAIT))

    def handle_part(self, now: int) -> None:
        """Handles a part of the complete document: the source is asked for the next one."""
        self.failures = 0
        self._open_request(now, uses_exchange=True)

    def handle_failure(self, now: int, pause: int = FAILURE_PAUSE, *, parts_received: bool = False) -> None:
        """Handles a failed request: the next source is asked after a pause.

        Between the parts of a complete document the same source is asked a few times more, as another one
        would probably give the parts of another version, from the beginning.
        """
        self.failures += 1
        if self.failures >= MAX_FETCH_FAILURES:
            self._end_fetch()
        elif parts_received and self.failures <= MAX_PART_FAILURES:
            self._pause(now, pause)
        else:
            self._switch_source(now, pause)

    def handle_deadline(self, now: int, current: Version, *, parts_received: bool = False) -> bool:
        """Handles the time `due`; returns whether to ask the source now."""
        if not self.is_paused:
            self.handle_failure(now, 0, parts_received=parts_received)
            if self.source is None:
                return False
        self._open_request(
            now, uses_exchange=self.failures > DATAGRAM_FAILURES or not self.is_few_versions_behind(current)
        )
        return True

    def _add_other_source(self, peer: Peer) -> None:
        """Stores a further source; those that announced last are the likeliest to have time."""
        self.other_sources.pop(peer.name, None)
        self.other_sources[peer.name] = peer
        if len(self.other_sources) > MAX_OTHER_SOURCES:
            del self.other_sources[next(iter(self.other_sources))]

    def _switch_source(self, now: int, pause: int) -> None:
        """Makes the peer that announced last the source; the one that failed comes after all others."""
        if self.other_sources and self.source is not None:
            _, last_announced = self.other_sources.popitem()
            self.other_sources = {self.source.name: self.source, **self.other_sources}
            self.source = last_announced
        self._pause(now, pause)

    def _pause(self, now: int, pause: int) -> None:
        self.is_paused, self._deadline = True, now + pause

    def _open_request(self, now: int, *, uses_exchange: bool) -> None:
        self.uses_exchange, self.is_paused = uses_exchange, False
        self._deadline = now + (EXCHANGE_TIMEOUT if uses_exchange else DATAGRAM_REPLY_TIMEOUT)

    def _end_fetch(self) -> None:
        self.source, self.failures, self.target = None, 0, NO_VERSION
        self.other_sources.clear()
