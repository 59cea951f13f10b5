"""How a module of the program becomes a child that never outlives this process."""

from __future__ import annotations

import os
import sys
from collections.abc import Iterable


def command(arguments: Iterable[object]) -> list[str]:
    """The command for a module and its arguments: the kernel ends that process when this one ends."""
    bind = ("-m", "gaproute.cluster.child", "--parent-death", "--parent", str(os.getpid()), "--")
    return [sys.executable, *bind, *map(str, arguments)]
