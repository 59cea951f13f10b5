"""How a module of the program becomes a child that never outlives this process."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterable


def command(words: Iterable[object]) -> list[str]:
    """The command for `words`, a module and its arguments: the kernel ends it when this process ends."""
    bind = ("-m", "gaproute.cluster.child", "--parent-death", "--parent", str(os.getpid()), "--")
    return [sys.executable, *bind, *map(str, words)]
