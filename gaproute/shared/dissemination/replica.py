"""A gateway's replica of the document, and the last changes that were applied to it.

Invariants: the version never falls; a rejected change leaves the replica unchanged and is counted by its
reason.
"""

from collections import Counter
from enum import StrEnum

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import MAX_REJECTION_REASONS
from gaproute.shared.dissemination.document import Document, DocumentError
from gaproute.shared.dissemination.messages import Change
from gaproute.shared.dissemination.recent_changes import RecentChanges


class RejectionReason(StrEnum):
    """Reasons for rejections beside those in the texts of `DocumentError`; the values are logged."""

    RATE_LIMITED = "flood"
    UNDECODABLE = "not understood"
    OTHER_FLEET = "other fleet"
    CONTRADICTION = "contradiction"
    LOWER_VERSION = "lower version"
    OTHER = "other"


class Replica:
    """A document with the log of its changes, and counts of rejections.

    `needs_complete_document`: a change from the current version was rejected, so that only a newer complete
    document helps.
    """

    def __init__(self, document: Document) -> None:
        self.document = document
        self.log = RecentChanges()
        self.needs_complete_document = False
        self.rejections: Counter[str] = Counter()  # by reason

    def apply(self, change: Change) -> None:
        """Applies one change. Raises `DocumentError` if it is invalid or not from the current version."""
        if change.base != self.document.version or change.version <= change.base:
            raise DocumentError("not from the version held")
        self.document.apply(change)
        self.log.append(change)

    def apply_changes(self, changes: tuple[Change, ...]) -> tuple[Change, ...]:
        """Applies those of the consecutive changes that follow the current version, and returns them."""
        applied = []
        for change in changes:
            if change.version <= self.document.version:
                continue
            if change.base != self.document.version:
                break
            try:
                self.apply(change)
            except DocumentError as reason:
                self.count_rejection(str(reason))
                self.needs_complete_document = True
                break
            applied.append(change)
        return tuple(applied)

    def replace(self, version: Version, digest: int, data: bytes) -> None:
        """Replaces the document by a complete one. Raises `DocumentError` if it is invalid or not newer."""
        if version <= self.document.version:
            raise DocumentError("not above the version held")
        self.document.replace(version, digest, data)
        self.log.clear()
        self.needs_complete_document = False

    def count_rejection(self, reason: str) -> None:
        """Counts a rejection by its reason. Reasons are constants in the code; the bound is a precaution."""
        if reason not in self.rejections and len(self.rejections) >= MAX_REJECTION_REASONS - 1:
            reason = RejectionReason.OTHER
        self.rejections[str(reason)] += 1
