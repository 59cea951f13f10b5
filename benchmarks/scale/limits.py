"""When a ladder has to stop: memory of its processes, their number, its time."""

import time
from dataclasses import dataclass, field

MEGABYTE = 1 << 20
PAGE = 4096
LEFT = 1500  # MB that the machine keeps free: others run on it


class Stopped(Exception):
    """A limit was reached; the text says which."""


def resident(pid="self") -> int:
    """Bytes of memory that the process has."""
    with open(f"/proc/{pid}/statm") as file:
        return int(file.read().split()[1]) * PAGE


def machine_memory(what: str) -> int:
    """Bytes by their name in /proc/meminfo."""
    with open("/proc/meminfo") as file:
        return next(int(line.split()[1]) * 1024 for line in file if line.startswith(f"{what}:"))


@dataclass
class Limits:
    """`memory` in MB of the ladder's processes, `seconds` from `began` on."""

    memory: float
    seconds: float
    processes: int = 300
    began: float = field(default_factory=time.monotonic)

    def check(self, memory: float, processes: int = 1):
        """`memory`: MB in use now. Errors: Stopped."""
        if memory > self.memory:
            raise Stopped(f"memory: {memory:.0f} MB in use, {self.memory:.0f} are allowed")
        left = machine_memory("MemAvailable") / MEGABYTE
        if left < LEFT:
            raise Stopped(f"memory: the machine has {left:.0f} MB left, {LEFT} are to stay free")
        if processes > self.processes:
            raise Stopped(f"processes: {processes}, {self.processes} are allowed")
        spent = time.monotonic() - self.began
        if spent > self.seconds:
            raise Stopped(f"time: {spent:.0f} s, {self.seconds:.0f} are allowed")
