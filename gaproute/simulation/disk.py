"""A simulated disk with the face of storage/raft_log_file.py: what was not synced may be lost at a crash.

`pending` is what was appended and not synced; at a crash the first few of it may have come onto the disk (a
record that was written in part is cut off by its checksum, so it counts as not written). A replacement is
either whole or not there. `fuse`: the n-th operation from now ends the process, before or after its effect.
After a failed write the disk refuses all but a replacement until it is opened again, as raft_log_file.py
does: what a failed sync leaves on the plate is not known.
"""

import errno
import os

from gaproute.shared.raft import UnusableDiskError

FULL, READONLY, FAILING = errno.ENOSPC, errno.EROFS, errno.EIO


class ProcessCrash(BaseException):
    """The process ended in the middle of a call. Not an Exception, so that no `except Exception` lives on."""


class SimulatedDisk:
    __slots__ = (
        "durable",
        "pending",
        "wrong",
        "broken",
        "bad",
        "fuse",
        "after",
        "operations",
        "torn",
        "lives",
        "quarantined",
    )

    def __init__(self):
        self.durable, self.pending = [], []
        self.wrong = self.broken = 0  # the errno of all writes now; of the one that failed first
        self.bad = ""  # why what is there cannot be read for good
        self.fuse, self.after = 0, False  # operations until the crash (0: none); whether after its effect
        self.operations = self.torn = 0  # in all; crashes that lost a part of what was pending
        self.lives, self.quarantined = 1, []  # memories so far; what was quarantined: [(why, records)]

    def opened(self):
        """A new process has it: what failed before is not remembered."""
        self.broken, self.pending = 0, []

    def _before(self, anew=False):
        self.operations += 1
        if self.fuse:
            self.fuse -= 1
            if not self.fuse and not self.after:
                raise ProcessCrash
        wrong = self.wrong or (0 if anew else self.broken)
        if wrong:
            self.broken = wrong
            self._after()
            raise OSError(wrong, os.strerror(wrong))

    def _after(self):
        if self.after and not self.fuse:
            self.after = False
            raise ProcessCrash

    def read(self):
        """All records, those not synced as well, as a file is read. Errors: UnusableDiskError
        where one that was synced went bad."""
        if self.wrong == FAILING:
            raise OSError(FAILING, os.strerror(FAILING))
        if self.bad:
            raise UnusableDiskError(self.bad)
        return self.durable + self.pending

    def append(self, record):
        self._before()
        self.pending.append(bytes(record))
        self._after()

    def sync(self):
        self._before()
        self.durable += self.pending
        self.pending = []
        self._after()

    def replace(self, records):
        """All that stands there by `records`, at once and for good."""
        self._before(anew=True)
        self.durable, self.pending, self.broken = [bytes(record) for record in records], [], 0
        self._after()

    def quarantine(self, why):
        """What is there is kept under another name, and this one is empty."""
        self._before(anew=True)
        self.quarantined.append((why, self.durable + self.pending))
        self._new()
        self._after()

    def light(self, operations, after):
        """ProcessCrash at the n-th operation from now."""
        self.fuse, self.after = operations, after

    def safe(self):
        self.fuse, self.after = 0, False

    def crashed(self, chance):
        """The process is gone: of what was not synced, the first few may have come through."""
        kept = chance.below(len(self.pending) + 1)
        self.torn += kept < len(self.pending)
        self.durable += self.pending[:kept]
        self.pending = []
        self.safe()

    def spoiled(self, why):
        """A record that was synced goes bad, where there is one."""
        self.bad = why if self.durable else ""

    def wiped(self):
        """Another disk in its place."""
        self._new()

    def _new(self):
        self.durable, self.pending, self.bad = [], [], ""
        self.lives += 1
