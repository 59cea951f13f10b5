"""How a gateway that is behind fetches a newer version: which peer it asks, how, and when it asks another.

A gateway has at most one fetch at a time. A gateway that is only a few versions behind announces its own
version to the peer that announced the newer one, and that peer pushes the changes by datagram. A gateway that
is further behind, or whose announcements did not help, sends pulls: requests with an answer by an exchange on
a connection. Times are ns.

Invariants: at most one exchange is open; at most `MAX_OTHER_SOURCES` other sources are stored; a fetch ends
after `MAX_FETCH_FAILURES` failed requests, and an answer without anything new is a failure.
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

DATAGRAM_FAILURES = 2  # failed requests after which an exchange is used even for few changes


class Fetch:
    """The state of the fetch. `source`: the peer that is asked; None while nothing is fetched."""

    def __init__(self, replica: Replica) -> None:
        self.source: Peer | None = None
        self.target = NO_VERSION  # the newest version that a peer has announced
        # By name: peers that announced a newer version in this fetch
        self.other_sources: dict[str, Peer] = {}
        self.uses_exchange = False  # the request is a pull, not an announcement
        self.is_paused = False  # no request is open; the next one is sent at the time `due`
        self.failures = 0
        self._replica = replica
        self._deadline = 0

    @property
    def due(self) -> int | None:
        """When `handle_deadline` is to be called next, ns; None while nothing is fetched."""
        return None if self.source is None else self._deadline

    def needs_complete_document(self, current: Version) -> bool:
        """Whether to request the complete document: a change was rejected, the changes that other gateways
        store do not reach back to the current version, or requests for changes failed.
        """
        if (
            self._replica.needs_complete_document
            or current == NO_VERSION
            or self.failures >= MAX_CHANGES_FAILURES
        ):
            return True
        same_term = current.term == self.target.term
        return same_term and self.target.number - current.number > MAX_LOG_CHANGES

    def is_slightly_behind(self, current: Version) -> bool:
        """Whether the missing changes are so few that a datagram may contain them all."""
        same_term = current.term == self.target.term
        gap_is_small = same_term and self.target.number - current.number <= MAX_DATAGRAM_VERSION_GAP
        return gap_is_small and not self._replica.needs_complete_document

    def has_source(self, peer: Peer) -> bool:
        """Whether the peer is the source or one of the other sources of this fetch."""
        return self.source is not None and (peer.name == self.source.name or peer.name in self.other_sources)

    def handle_announcement(self, now: int, peer: Peer, version: Version, current: Version) -> bool:
        """Handles an announcement of a newer version; returns whether to send a request to the source now."""
        self.target = max(self.target, version)
        if self.source is None:
            self.failures, self.source = 0, peer
            self._open_request(now, uses_exchange=not self.is_slightly_behind(current))
            return True
        if peer.name == self.source.name:
            if self.uses_exchange or self.is_paused:
                return False
            self._open_request(now, uses_exchange=True)  # the source announced again instead of pushing
            return True
        self._add_other_source(peer)
        return False

    def handle_progress(self, now: int, current: Version) -> bool:
        """Handles a new current version; returns whether to send another request to the source now."""
        if self.source is None:
            return False
        if current >= self.target:
            self._end_fetch()
            return False
        self.failures = 0
        self._open_request(now, uses_exchange=not self.is_slightly_behind(current))
        return True

    def handle_busy(self, now: int, wait: int) -> None:
        """Handles a busy source: another source is to be asked soon, or the same one after `wait` ns."""
        if self.other_sources:
            self._switch_source(now, BUSY_PAUSE)
        else:
            self._pause(now, min(max(BUSY_PAUSE, wait), MAX_BUSY_WAIT))

    def handle_part(self, now: int) -> None:
        """Handles a part of the complete document: the source is to be asked for the next part."""
        self.failures = 0
        self._open_request(now, uses_exchange=True)

    def handle_failure(self, now: int, pause: int = FAILURE_PAUSE, *, parts_received: bool = False) -> None:
        """Handles a failed request: the next source is to be asked after a pause.

        If parts of a complete document were received, the same source is asked up to `MAX_PART_FAILURES`
        times more, as another source would probably send another version, from its first part.
        """
        self.failures += 1
        if self.failures >= MAX_FETCH_FAILURES:
            self._end_fetch()
        elif parts_received and self.failures <= MAX_PART_FAILURES:
            self._pause(now, pause)
        else:
            self._switch_source(now, pause)

    def handle_deadline(self, now: int, current: Version, *, parts_received: bool = False) -> bool:
        """Handles the end of a pause or of the time for a request; returns whether to send a request now."""
        if not self.is_paused:
            self.handle_failure(now, 0, parts_received=parts_received)
            if self.source is None:
                return False
        self._open_request(
            now, uses_exchange=self.failures > DATAGRAM_FAILURES or not self.is_slightly_behind(current)
        )
        return True

    def _add_other_source(self, peer: Peer) -> None:
        """Stores another source. Of too many, the last to announce stay, as they most likely have time."""
        self.other_sources.pop(peer.name, None)
        self.other_sources[peer.name] = peer
        if len(self.other_sources) > MAX_OTHER_SOURCES:
            del self.other_sources[next(iter(self.other_sources))]

    def _switch_source(self, now: int, pause: int) -> None:
        """Makes the peer that announced last the source; the previous source is chosen last."""
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
