"""Answers pulls: changes, or the complete document in parts, at a bounded rate.

A complete document is encoded once and given to all that request it within `SNAPSHOT_TIME`; later changes are
sent separately. A gateway that got the first part is granted the others: one transfer after the other reaches
all gateways sooner than many slow transfers at a time, as each gateway that has the document serves others.
Times are ns.
"""

from dataclasses import dataclass

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import (
    ANSWER_BYTES,
    MAX_SNAPSHOTS,
    PART_BYTES,
    SERVE_BURST,
    SERVE_RATE,
    SNAPSHOT_TIME,
)
from gaproute.shared.dissemination.document import Document
from gaproute.shared.dissemination.messages import NOTHING, Busy, Changes, Part, Pull, wire_size
from gaproute.shared.dissemination.recent_changes import RecentChanges
from gaproute.shared.token_bucket import TokenBucket


@dataclass(frozen=True)
class Snapshot:
    """A complete document as of `made_at`."""

    version: Version
    digest: int
    data: bytes
    made_at: int


class PullServer:
    """Answers from the document and its stored changes, both of which `Disseminator` updates."""

    def __init__(self, document: Document, log: RecentChanges, now: int) -> None:
        self.snapshots: list[Snapshot] = []  # the latest last
        self.bytes = 0  # of all answers so far
        self.busy = 0  # number of answers that the server is busy
        self._document, self._log = document, log
        self._budget = TokenBucket(SERVE_RATE, SERVE_BURST, now)
        self._granted = 0  # bytes of parts that are paid for and not requested yet

    def answer(self, now: int, pull: Pull) -> Changes | Part | Busy:
        """The answer to a pull."""
        fleet, current = self._document.fleet, self._document.version
        if current == NOTHING or pull.current >= current:
            return Changes(fleet, ())
        answer: Changes | Part
        if pull.whole:
            answer = self._part(now, pull)
            wait = self._pay_part(now, answer)
        else:
            answer = Changes(fleet, self._log.since(pull.current, ANSWER_BYTES))
            wait = self._pay(now, wire_size(answer))
        if wait:
            self.busy += 1
            return Busy(fleet, wait)
        self.bytes += wire_size(answer)
        return answer

    def _pay(self, now: int, size: int) -> int:
        """How long the asking gateway must wait for the budget; 0 if it need not."""
        if self._budget.borrow(now, size):
            return 0
        return max(1, self._budget.wait_time(now, size))

    def _pay_part(self, now: int, part: Part) -> int:
        """How long the asking gateway must wait for a part; the first part pays for all of them."""
        size = wire_size(part)
        if part.offset == 0 or self._granted < size:
            remaining = part.size - part.offset
            wait = self._pay(now, remaining)
            if wait:
                return wait
            self._granted = min(self._granted + remaining, MAX_SNAPSHOTS * part.size)
        self._granted = max(0, self._granted - size)
        return 0

    def _part(self, now: int, pull: Pull) -> Part:
        snapshot = self._snapshot(now, pull)
        offset = pull.offset if pull.target == snapshot.version else 0
        if not 0 <= offset < len(snapshot.data):
            offset = 0
        data = snapshot.data[offset : offset + PART_BYTES]
        fleet, size = self._document.fleet, len(snapshot.data)
        return Part(fleet, snapshot.version, snapshot.digest, size, offset, data)

    def _snapshot(self, now: int, pull: Pull) -> Snapshot:
        """The snapshot that the asking gateway has begun with, else one from which stored changes lead on."""
        for snapshot in self.snapshots:
            if pull.offset > 0 and snapshot.version == pull.target:
                return snapshot
        if self.snapshots and self._serves(now, pull, self.snapshots[-1]):
            return self.snapshots[-1]
        document = self._document
        self.snapshots.append(Snapshot(document.version, document.digest, document.whole(), now))
        del self.snapshots[:-MAX_SNAPSHOTS]
        return self.snapshots[-1]

    def _serves(self, now: int, pull: Pull, latest: Snapshot) -> bool:
        """Whether the latest snapshot and the stored changes lead to the current version."""
        if latest.version == self._document.version:
            return True
        fresh = now - latest.made_at <= SNAPSHOT_TIME
        return fresh and self._log.reaches(latest.version) and latest.version > pull.current
