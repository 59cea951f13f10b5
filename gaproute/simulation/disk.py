"""A simulated disk with the interface of `gaproute.shared.raft.disk.Disk`.

What was not synced may be lost at a crash: of the records in `pending` the first few may have become durable.
A record that was written in part is cut off by its checksum, so it counts as not written. A replacement is
either complete or absent.

After a failed write the disk rejects everything but a replacement until it is opened again, as
`gaproute/storage/raft_log_file.py` does: what a failed sync has left on the disk is not known.
"""

import errno
import os
from collections.abc import Iterable

from gaproute.shared.raft import UnusableDiskError
from gaproute.simulation.seeded_random import SeededRandom


class ProcessCrash(BaseException):  # noqa: N818  (not an error: a process that ends)
    """The process ended in the middle of a call.

    It is no Exception, so that no `except Exception` of the code under test survives it.
    """


class SimulatedDisk:
    """The disk of one process slot; it outlives the processes in the slot.

    `error` is the errno with which all writes fail at the moment, 0 where they succeed; EIO fails reads too.
    """

    __slots__ = (
        "durable",
        "pending",
        "error",
        "quarantined",
        "generation",
        "_first_error",
        "_unreadable",
        "_operations_to_crash",
        "_crash_after_effect",
    )

    def __init__(self) -> None:
        self.durable: list[bytes] = []
        self.pending: list[bytes] = []  # appended and not synced
        self.error = 0
        self.quarantined: list[tuple[str, list[bytes]]] = []  # reason and records
        self.generation = 1  # counts the times that the disk was emptied: a new one has no memory
        self._first_error = 0  # errno of the write that failed first
        self._unreadable = ""  # why what is there cannot be read
        self._operations_to_crash = 0  # 0: none is armed
        self._crash_after_effect = False

    def open(self) -> None:
        """A new process uses the disk: what failed before is not remembered."""
        self._first_error, self.pending = 0, []

    def read(self) -> list[bytes]:
        """All records, those not synced as well, as a file is read.

        Raises UnusableDiskError where a synced record has been corrupted, OSError while reads fail.
        """
        if self.error == errno.EIO:
            raise _os_error(errno.EIO)
        if self._unreadable:
            raise UnusableDiskError(self._unreadable)
        return self.durable + self.pending

    def append(self, record: bytes) -> None:
        """Adds a record, which is durable once `sync` has returned. Raises OSError."""
        self._before_effect()
        self.pending.append(bytes(record))
        self._after_effect()

    def sync(self) -> None:
        """Makes all that was appended durable. Raises OSError."""
        self._before_effect()
        self.durable += self.pending
        self.pending = []
        self._after_effect()

    def replace(self, records: Iterable[bytes]) -> None:
        """Puts `records` in place of all, at once and durably. Raises OSError."""
        self._before_effect(replaces_all=True)
        self.durable = [bytes(record) for record in records]
        self.pending, self._first_error = [], 0
        self._after_effect()

    def quarantine(self, why: str) -> None:
        """Keeps what is there in `quarantined`; then the disk is empty. Raises OSError."""
        self._before_effect(replaces_all=True)
        self.quarantined.append((why, self.durable + self.pending))
        self.wipe()
        self._after_effect()

    def arm_crash(self, operations: int, *, after_effect: bool) -> None:
        """Crashes the process at the `operations`th operation from now, before or after its effect."""
        self._operations_to_crash, self._crash_after_effect = operations, after_effect

    def disarm_crash(self) -> None:
        """No crash is armed any more."""
        self._operations_to_crash, self._crash_after_effect = 0, False

    def crash(self, random: SeededRandom) -> None:
        """The process is gone: of what was not synced the first few records may be durable."""
        survived = random.below(len(self.pending) + 1)
        self.durable += self.pending[:survived]
        self.pending = []
        self.disarm_crash()

    def corrupt(self, why: str) -> None:
        """Makes a synced record unreadable, where there is one."""
        self._unreadable = why if self.durable else ""

    def wipe(self) -> None:
        """Puts an empty disk in its place."""
        self.durable, self.pending, self._unreadable = [], [], ""
        self.generation += 1

    def _before_effect(self, *, replaces_all: bool = False) -> None:
        if self._operations_to_crash:
            self._operations_to_crash -= 1
            if not self._operations_to_crash and not self._crash_after_effect:
                raise ProcessCrash
        error = self.error or (0 if replaces_all else self._first_error)
        if error:
            self._first_error = error
            self._after_effect()
            raise _os_error(error)

    def _after_effect(self) -> None:
        if self._crash_after_effect and not self._operations_to_crash:
            self._crash_after_effect = False
            raise ProcessCrash


def _os_error(number: int) -> OSError:
    return OSError(number, os.strerror(number))
