"""Answers to pulls: changes from the log, or the whole document in parts, at a bounded pace.

A whole document is encoded once and given to all who ask within `SNAPSHOT_TIME`; what changed since, they
take from the log. Whoever gets the first part is granted the others: one asker is done quickly and serves
others then, which is sooner for all than many slow transfers side by side.
"""

from dataclasses import dataclass

from gaproute.shared.dissemination.bounds import (
    ANSWER_BYTES,
    PART_BYTES,
    SERVE_BURST,
    SERVE_RATE,
    SNAPSHOT_TIME,
    SNAPSHOTS,
)
from gaproute.shared.dissemination.messages import NOTHING, Busy, Changes, Part, Version, size
from gaproute.shared.token_bucket import TokenBucket


@dataclass(frozen=True)
class Snapshot:
    """A whole document as it was at `made`."""

    version: Version
    digest: int
    data: bytes
    made: int


class PullServer:
    """Serves from the document and the log, which its owner changes."""

    def __init__(self, document, log, now):
        self.document, self.log = document, log
        self.budget = TokenBucket(SERVE_RATE, SERVE_BURST, now)
        self.snapshots = []  # the latest last
        self.granted = 0  # bytes of parts that are paid for and were not asked for yet
        self.bytes = self.busy = 0

    def answer(self, now, pull):
        """The answer to a pull: `Changes`, `Part` or `Busy`."""
        fleet, held = self.document.fleet, self.document.version
        if held == NOTHING or pull.held >= held:
            return Changes(fleet, ())
        if pull.whole:
            answer = self._part(now, pull)
            wait = self._pay_part(now, answer)
        else:
            answer = Changes(fleet, self.log.since(pull.held, ANSWER_BYTES))
            wait = self._pay(now, size(answer))
        if wait:
            self.busy += 1
            return Busy(fleet, wait)
        self.bytes += size(answer)
        return answer

    def _pay(self, now, cost):
        """How long the asker must wait; 0 where there was room."""
        if self.budget.borrow(now, cost):
            return 0
        return max(1, self.budget.wait(now, cost))

    def _pay_part(self, now, part):
        cost = size(part)
        if part.place == 0 or self.granted < cost:
            remaining = part.size - part.place
            wait = self._pay(now, remaining)
            if wait:
                return wait
            self.granted = min(self.granted + remaining, SNAPSHOTS * part.size)
        self.granted = max(0, self.granted - cost)
        return 0

    def _part(self, now, pull):
        snapshot = self._snapshot(now, pull)
        place = pull.place if pull.wanted == snapshot.version else 0
        if not 0 <= place < len(snapshot.data):
            place = 0
        data = snapshot.data[place : place + PART_BYTES]
        return Part(self.document.fleet, snapshot.version, snapshot.digest, len(snapshot.data), place, data)

    def _snapshot(self, now, pull):
        """One that the asker has begun with, else one from which the log leads on."""
        for snapshot in self.snapshots:
            if pull.place > 0 and snapshot.version == pull.wanted:
                return snapshot
        if self.snapshots:
            latest = self.snapshots[-1]
            if latest.version == self.document.version:
                return latest
            serves = now - latest.made <= SNAPSHOT_TIME and self.log.reaches(latest.version)
            if serves and latest.version > pull.held:
                return latest
        document = self.document
        self.snapshots.append(Snapshot(document.version, document.digest, document.whole(), now))
        del self.snapshots[:-SNAPSHOTS]
        return self.snapshots[-1]
