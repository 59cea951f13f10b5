"""Processor time of other processes, by the kernel's account."""

import os
from pathlib import Path

TICKS = os.sysconf("SC_CLK_TCK")  # of the kernel's clock, in a second
USER_TICKS, SYSTEM_TICKS = 11, 12  # fields of /proc/PID/stat behind the command's name


def cpu_seconds(pid: int) -> float:
    """Processor time that a process and its threads have taken, s, in steps of the kernel's clock."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])) / TICKS


def main_thread_cpu(pid: int) -> int:
    """Processor time that the main thread of a process has taken, ns."""
    return int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
