"""A log of the last changes of the document, for gateways that are a few versions behind.

Invariants: each change starts from the version to which the change before it leads; the last change leads to
the current version.
"""

from collections import deque

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import MAX_LOG_BYTES, MAX_LOG_CHANGES
from gaproute.shared.dissemination.messages import Change, changes_size


class RecentChanges:
    """A bounded sequence of changes, the oldest first."""

    def __init__(self) -> None:
        self.changes: deque[Change] = deque()
        self.stored_bytes = 0

    def append(self, change: Change) -> None:
        """Appends a change that has just been applied; drops all others first if it does not follow them."""
        if self.changes and self.changes[-1].version != change.base:
            self.clear()
        self.changes.append(change)
        self.stored_bytes += changes_size((change,))
        while len(self.changes) > MAX_LOG_CHANGES or self.stored_bytes > MAX_LOG_BYTES:
            self.stored_bytes -= changes_size((self.changes.popleft(),))

    def clear(self) -> None:
        """Drops all changes, as after a complete document they do not lead to the current version."""
        self.changes.clear()
        self.stored_bytes = 0

    def changes_since(self, version: Version, max_bytes: int) -> tuple[Change, ...]:
        """The changes that follow the version, up to `max_bytes`; empty if none is stored that does."""
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

    def leads_from(self, version: Version) -> bool:
        """Whether the changes lead from the version to the current one."""
        if not self.changes:
            return False
        return self.changes[-1].version == version or any(change.base == version for change in self.changes)
