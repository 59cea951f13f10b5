"""The interface of a node's disk."""

from collections.abc import Sequence
from typing import Protocol

from gaproute.errors import GaprouteError


class UnusableDiskError(GaprouteError):
    """What was synced to the disk cannot be read, or is of another node; `reason` says what was found."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"the node's disk cannot be used: {reason}")
        self.reason = reason


class Disk(Protocol):
    """A sequence of records. Any method may raise OSError: the disk is full, read-only or failing.

    A crash may cut off any number of records that were appended since the last `sync`.
    """

    def read(self) -> Sequence[bytes]:
        """All records; none on a new disk. Errors: UnusableDiskError if a synced record cannot be read."""

    def append(self, record: bytes, /) -> None:
        """Appends a record, which is durable once `sync` has returned."""

    def sync(self) -> None:
        """Makes all appended records durable."""

    def replace(self, records: Sequence[bytes], /) -> None:
        """Replaces all records by these, atomically and durably: after a crash there are the old or the new
        ones.
        """

    def quarantine(self, reason: str, /) -> None:
        """Stores the records under another name for the operator; then the disk is empty."""
