"""The interface of the disk that stores a Raft node's records."""

from collections.abc import Sequence
from typing import Protocol

from gaproute.errors import GaprouteError


class UnusableDiskError(GaprouteError):
    """The synced records cannot be read or belong to another node; `reason` says what was found."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"cannot load the Raft node's state from its disk: {reason}")
        self.reason = reason


class Disk(Protocol):
    """A sequence of records. Any method may raise OSError, as the disk may be full, read-only or failing.

    A crash may cut off any number of the records that were appended since the last `sync`.
    """

    def read(self) -> Sequence[bytes]:
        """Reads all records; a new disk has none. Errors: UnusableDiskError if a synced one is unreadable."""

    def append(self, record: bytes, /) -> None:
        """Appends a record, which is durable once `sync` has returned."""

    def sync(self) -> None:
        """Makes all appended records durable."""

    def replace(self, records: Sequence[bytes], /) -> None:
        """Replaces all records by `records`, atomically and durably.

        After a crash the disk has either all old records or all new records.
        """

    def quarantine(self, reason: str, /) -> None:
        """Moves the records to another name, where an operator can inspect them; the disk is then empty."""
