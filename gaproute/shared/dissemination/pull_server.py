"""Answers pulls with changes, or with the complete document in parts, at a bounded byte rate.

A complete document is encoded once as a snapshot, and sent to all gateways that request it within
`SNAPSHOT_REUSE_TIME`; they fetch later changes separately. The first part of a transfer is charged for all
parts, so that a transfer that has begun is not interrupted: one transfer after the other reaches all gateways
sooner than many slow transfers at a time, as each gateway with the document serves others. Times are ns.
"""

from dataclasses import dataclass

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import (
    ANSWER_BURST_BYTES,
    ANSWER_BYTES_PER_SECOND,
    MAX_CHANGES_BYTES,
    MAX_PART_BYTES,
    MAX_SNAPSHOTS,
    SNAPSHOT_REUSE_TIME,
)
from gaproute.shared.dissemination.document import Document
from gaproute.shared.dissemination.messages import (
    NO_VERSION,
    BusyAnswer,
    ChangesAnswer,
    PartAnswer,
    Pull,
    wire_size,
)
from gaproute.shared.dissemination.recent_changes import RecentChanges
from gaproute.shared.token_bucket import TokenBucket


@dataclass(frozen=True)
class Snapshot:
    """A complete encoded document as it was at the time `made_at`."""

    version: Version
    digest: int
    data: bytes
    made_at: int


class PullServer:
    """Answers pulls from the document and the log of its changes, which `Disseminator` updates."""

    def __init__(self, document: Document, log: RecentChanges, now: int) -> None:
        self.snapshots: list[Snapshot] = []  # the latest last
        self.answer_bytes = 0  # of all charged answers so far
        self.busy_answers = 0  # number of busy answers so far
        self._document, self._log = document, log
        self._budget = TokenBucket(ANSWER_BYTES_PER_SECOND, ANSWER_BURST_BYTES, now)
        self._prepaid_bytes = 0  # bytes of parts that are charged to the budget and not yet sent

    def answer(self, now: int, pull: Pull) -> ChangesAnswer | PartAnswer | BusyAnswer:
        """The answer to a pull."""
        fleet, current = self._document.fleet, self._document.version
        if current == NO_VERSION or pull.current >= current:
            return ChangesAnswer(fleet, ())
        answer: ChangesAnswer | PartAnswer
        if pull.wants_complete_document:
            answer = self._make_part(now, pull)
            wait = self._charge_part(now, answer)
        else:
            answer = ChangesAnswer(fleet, self._log.changes_since(pull.current, MAX_CHANGES_BYTES))
            wait = self._charge(now, wire_size(answer))
        if wait:
            self.busy_answers += 1
            return BusyAnswer(fleet, wait)
        self.answer_bytes += wire_size(answer)
        return answer

    def _charge(self, now: int, size: int) -> int:
        """Charges the bytes to the budget; returns how long the pulling gateway must wait, 0 if not."""
        if self._budget.borrow(now, size):
            return 0
        return max(1, self._budget.wait_time(now, size))

    def _charge_part(self, now: int, part: PartAnswer) -> int:
        """How long the pulling gateway must wait for a part; the first part is charged for all of them."""
        size = wire_size(part)
        if part.offset == 0 or self._prepaid_bytes < size:
            remaining = part.size - part.offset
            wait = self._charge(now, remaining)
            if wait:
                return wait
            self._prepaid_bytes = min(self._prepaid_bytes + remaining, MAX_SNAPSHOTS * part.size)
        self._prepaid_bytes = max(0, self._prepaid_bytes - size)
        return 0

    def _make_part(self, now: int, pull: Pull) -> PartAnswer:
        snapshot = self._choose_snapshot(now, pull)
        offset = pull.offset if pull.target == snapshot.version else 0
        if not 0 <= offset < len(snapshot.data):
            offset = 0
        data = snapshot.data[offset : offset + MAX_PART_BYTES]
        fleet, size = self._document.fleet, len(snapshot.data)
        return PartAnswer(fleet, snapshot.version, snapshot.digest, size, offset, data)

    def _choose_snapshot(self, now: int, pull: Pull) -> Snapshot:
        """The snapshot of which the pulling gateway has parts, else the latest usable one, else a new one."""
        for snapshot in self.snapshots:
            if pull.offset > 0 and snapshot.version == pull.target:
                return snapshot
        if self.snapshots and self._is_usable(now, pull, self.snapshots[-1]):
            return self.snapshots[-1]
        document = self._document
        self.snapshots.append(Snapshot(document.version, document.digest, document.encode(), now))
        del self.snapshots[:-MAX_SNAPSHOTS]
        return self.snapshots[-1]

    def _is_usable(self, now: int, pull: Pull, latest: Snapshot) -> bool:
        """Whether the latest snapshot is current, or is fresh and stored changes lead on from it."""
        if latest.version == self._document.version:
            return True
        fresh = now - latest.made_at <= SNAPSHOT_REUSE_TIME
        return fresh and self._log.leads_from(latest.version) and latest.version > pull.current
