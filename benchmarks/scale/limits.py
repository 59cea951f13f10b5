"""When a ladder has to stop: memory of its processes, their number, its time."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from pathlib import Path

from gaproute.errors import GaprouteError

MEGABYTE = 1 << 20
PAGE = 4096  # bytes
MIN_FREE_MEMORY = 1500  # MB that the machine is left: others run on it


class LimitReachedError(GaprouteError):
    """A limit was reached; the text says which."""


def resident_bytes(pid: int | str = "self") -> int:
    """Bytes of memory that the process has."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE


def machine_memory(name: str) -> int:
    """Bytes by their name in /proc/meminfo."""
    lines = Path("/proc/meminfo").read_text().splitlines()
    return next(int(line.split()[1]) * 1024 for line in lines if line.startswith(f"{name}:"))


@dataclass
class Limits:
    """`memory`: MB of the ladder's processes; `seconds`: from `began` on, s of the monotonic clock."""

    memory: float
    seconds: float
    processes: int = 300
    began: float = field(default_factory=time.monotonic)

    def seconds_left(self) -> float:
        """Until the time is over, 0 where it is."""
        return max(0.0, self.seconds - (time.monotonic() - self.began))

    def check(self, memory: float, processes: int = 1) -> None:
        """`memory`: MB in use now. Errors: `LimitReachedError`."""
        if memory > self.memory:
            raise LimitReachedError(f"memory: {memory:.0f} MB in use, {self.memory:.0f} are allowed")
        left = machine_memory("MemAvailable") / MEGABYTE
        if left < MIN_FREE_MEMORY:
            raise LimitReachedError(
                f"memory: the machine has {left:.0f} MB left, {MIN_FREE_MEMORY} are to stay free"
            )
        if processes > self.processes:
            raise LimitReachedError(f"processes: {processes}, {self.processes} are allowed")
        spent = time.monotonic() - self.began
        if spent > self.seconds:
            raise LimitReachedError(f"time: {spent:.0f} s, {self.seconds:.0f} are allowed")
