"""How each call of a faulty disk may fail."""

from __future__ import annotations

import errno
from collections.abc import Mapping, Sequence

from gaproute.faultinjection.plan import Failure, Fault, ShortTransfer

FULL, QUOTA, BROKEN = Failure(errno.ENOSPC), Failure(errno.EDQUOT), Failure(errno.EIO)

# How each call may go wrong, for plans by chance.
FAULTS: Mapping[str, Sequence[Fault]] = {
    "open": (FULL, QUOTA, BROKEN, Failure(errno.EMFILE), Failure(errno.ENFILE)),
    "read": (BROKEN, ShortTransfer(1)),
    "write": (FULL, QUOTA, BROKEN, ShortTransfer(1)),
    "fsync": (FULL, QUOTA, BROKEN),
    "ftruncate": (BROKEN,),
    "rename": (FULL, QUOTA, BROKEN),
    "replace": (FULL, QUOTA, BROKEN),
    "link": (FULL, QUOTA, BROKEN),
    "unlink": (BROKEN,),
    "close": (FULL, BROKEN),
}
