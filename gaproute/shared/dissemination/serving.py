"""Answers to pulls: changes where the log reaches, else the whole document in parts, at a bounded pace.

A whole document is encoded once and given to all who ask within `SNAPSHOT_TIME`; what changed since, they
take from the log.
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
from gaproute.shared.dissemination.budget import Budget
from gaproute.shared.dissemination.messages import NOTHING, Busy, Changes, Part, Version, size


@dataclass(frozen=True)
class Snapshot:
    """A whole document as it was at `made`."""

    version: Version
    digest: int
    data: bytes
    made: int


class Serving:
    """Serves from the document and the log, which its owner changes."""

    def __init__(self, document, log, now):
        self.document, self.log = document, log
        self.budget = Budget(SERVE_RATE, SERVE_BURST, now)
        self.snapshots = []  # the latest last
        self.bytes = self.busy = self.parts = 0

    def answer(self, now, pull):
        """The answer to a pull: `Changes`, `Part` or `Busy`."""
        fleet, held = self.document.fleet, self.document.version
        if held == NOTHING or pull.held >= held:
            return Changes(fleet, ())
        changes = () if pull.whole else self.log.since(pull.held, ANSWER_BYTES)
        answer = Changes(fleet, changes) if changes else self._part(now, pull)
        cost = size(answer)
        if not self.budget.take(now, cost):
            self.busy += 1
            return Busy(fleet, self.budget.wait(now, cost))
        self.bytes += cost
        self.parts += not changes
        return answer

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
