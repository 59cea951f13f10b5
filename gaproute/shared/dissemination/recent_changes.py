"""The last changes of the document, for those who are a little behind.

Invariants: each change begins where the one before ended; the last one leads to the version held.
"""

from collections import deque

from gaproute.shared.dissemination.bounds import LOG_BYTES, LOG_CHANGES
from gaproute.shared.dissemination.messages import changes_size


class RecentChanges:
    """A bounded run of changes, the oldest first."""

    def __init__(self):
        self.changes = deque()
        self.bytes = 0

    def append(self, change):
        """Add the change that was just applied."""
        if self.changes and self.changes[-1].version != change.base:
            self.clear()
        self.changes.append(change)
        self.bytes += changes_size((change,))
        while len(self.changes) > LOG_CHANGES or self.bytes > LOG_BYTES:
            self.bytes -= changes_size((self.changes.popleft(),))

    def clear(self):
        """Forget all: a whole document was taken."""
        self.changes.clear()
        self.bytes = 0

    def since(self, version, most):
        """Changes from that version on, `most` bytes of them; () where the log does not lead on from it."""
        found, left, reached = [], most, False
        for change in self.changes:
            reached = reached or change.base == version
            if not reached:
                continue
            left -= changes_size((change,))
            if left < 0:
                break
            found.append(change)
        return tuple(found)

    def reaches(self, version):
        """Whether the log leads from that version to the one held."""
        if not self.changes:
            return False
        return self.changes[-1].version == version or any(change.base == version for change in self.changes)
