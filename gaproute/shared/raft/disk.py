"""The disk of a node, as the node sees it."""

from collections.abc import Sequence
from typing import Protocol

from gaproute.errors import GaprouteError


class UnusableDiskError(GaprouteError):
    """What was synced to the disk cannot be read or is not this node's; `why` says what was found."""

    def __init__(self, why: str) -> None:
        super().__init__(f"the node's disk cannot be used: {why}")
        self.why = why


class Disk(Protocol):
    """A sequence of records. Any method may raise OSError: full, read-only, failing.

    A crash may cut off any number of records that were appended since the last `sync`.
    """

    def read(self) -> Sequence[bytes]:
        """All records; none on a new disk. Raises UnusableDiskError where a synced one cannot be read."""

    def append(self, record: bytes, /) -> None:
        """Adds a record, which is durable once `sync` has returned."""

    def sync(self) -> None:
        """Makes all that was appended durable."""

    def replace(self, records: Sequence[bytes], /) -> None:
        """Puts `records` in place of all, at once and durably: a crash leaves the old or the new ones."""

    def quarantine(self, why: str, /) -> None:
        """Keeps what is there under another name for the operator; then the disk is empty."""
