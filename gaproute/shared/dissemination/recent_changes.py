"""The last changes of the document, for those who are a little behind.

Invariants: each change begins where the one before ended; the last one leads to the current version.
"""

from collections import deque

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import LOG_BYTES, LOG_CHANGES
from gaproute.shared.dissemination.messages import Change, changes_size


class RecentChanges:
    """A bounded run of changes, the oldest first."""

    def __init__(self) -> None:
        self.changes: deque[Change] = deque()
        self.bytes = 0

    def append(self, change: Change) -> None:
        """Adds the change that was just applied."""
        if self.changes and self.changes[-1].version != change.base:
            self.clear()
        self.changes.append(change)
        self.bytes += changes_size((change,))
        while len(self.changes) > LOG_CHANGES or self.bytes > LOG_BYTES:
            self.bytes -= changes_size((self.changes.popleft(),))

    def clear(self) -> None:
        """Forgets all: a whole document was taken."""
        self.changes.clear()
        self.bytes = 0

    def since(self, version: Version, max_bytes: int) -> tuple[Change, ...]:
        """Changes from that version on, so many bytes at most; none where they do not lead on from it."""
        found: list[Change] = []
        remaining, reached = max_bytes, False
        for change in self.changes:
            reached = reached or change.base == version
            if not reached:
                continue
            remaining -= changes_size((change,))
            if remaining < 0:
                break
            found.append(change)
        return tuple(found)

    def reaches(self, version: Version) -> bool:
        """Whether the changes lead from that version to the current one."""
        if not self.changes:
            return False
        return self.changes[-1].version == version or any(change.base == version for change in self.changes)
