"""The copy of the document that a gateway holds, and the log of what was done to it.

Invariants: the version only grows; what is refused leaves the copy as it was and is counted by its reason.
"""

from collections import Counter

from gaproute.shared.dissemination.bounds import REASONS
from gaproute.shared.dissemination.document import Document, DocumentError
from gaproute.shared.dissemination.messages import Change
from gaproute.shared.dissemination.recent_changes import RecentChanges


class Replica:
    """`needs_whole`: a change did not fit, only a whole document of a higher version can mend it."""

    def __init__(self, document: Document):
        self.document = document
        self.log = RecentChanges()
        self.needs_whole = False
        self.refused = Counter()  # by reason

    def apply(self, change: Change):
        """Apply one change. Errors: DocumentError."""
        if change.base != self.document.version or change.version <= change.base:
            raise DocumentError("not from the version held")
        self.document.apply(change)
        self.log.append(change)

    def take(self, changes: tuple[Change, ...]) -> tuple[Change, ...]:
        """Apply the changes that follow what is held; returns those."""
        taken = []
        for change in changes:
            if change.version <= self.document.version:
                continue
            if change.base != self.document.version:
                break
            try:
                self.apply(change)
            except DocumentError as reason:
                self.refuse(str(reason))
                self.needs_whole = True
                break
            taken.append(change)
        return tuple(taken)

    def replace(self, version, digest: int, data: bytes):
        """Take a whole document. Errors: DocumentError."""
        if version <= self.document.version:
            raise DocumentError("not above the version held")
        self.document.replace(version, digest, data)
        self.log.clear()
        self.needs_whole = False

    def refuse(self, reason: str):
        """Count a refusal; reasons come from the code alone, the bound is a safeguard."""
        if reason not in self.refused and len(self.refused) >= REASONS - 1:
            reason = "other"
        self.refused[reason] += 1
