"""How each call of a faulty disk may fail."""

from __future__ import annotations

import errno
from collections.abc import Mapping, Sequence

from gaproute.faultinjection.plan import Failure, Fault, ShortTransfer

DISK_FULL, QUOTA_EXCEEDED, IO_ERROR = Failure(errno.ENOSPC), Failure(errno.EDQUOT), Failure(errno.EIO)

# The faults from which plans by chance draw, by call.
DISK_FAULTS: Mapping[str, Sequence[Fault]] = {
    "open": (DISK_FULL, QUOTA_EXCEEDED, IO_ERROR, Failure(errno.EMFILE), Failure(errno.ENFILE)),
    "read": (IO_ERROR, ShortTransfer(1)),
    "write": (DISK_FULL, QUOTA_EXCEEDED, IO_ERROR, ShortTransfer(1)),
    "fsync": (DISK_FULL, QUOTA_EXCEEDED, IO_ERROR),
    "ftruncate": (IO_ERROR,),
    "rename": (DISK_FULL, QUOTA_EXCEEDED, IO_ERROR),
    "replace": (DISK_FULL, QUOTA_EXCEEDED, IO_ERROR),
    "link": (DISK_FULL, QUOTA_EXCEEDED, IO_ERROR),
    "unlink": (IO_ERROR,),
    "close": (DISK_FULL, IO_ERROR),
}
