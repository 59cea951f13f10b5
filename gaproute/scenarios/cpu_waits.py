"""Notes how long the processes of gateways and clients wait for a core during a day.

On a busy machine a process that is ready to run may wait for tens of milliseconds. The notes let the judge
tell an answer that the machine made late from one that the gateway sent too late.
"""

from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple, Protocol

from gaproute.scenarios.clients import ClientContext, DayClients
from gaproute.scenarios.processes import DayProcess, Routine
from gaproute.units import MILLI

SAMPLE_INTERVAL = 20 * MILLI
MIN_NOTED_WAIT = 1 * MILLI  # shorter waits are part of ordinary scheduling


def read_cpu_wait(pid: int) -> int | None:
    """How long the process has waited for a core since its start, ns.

    None where it has ended or the kernel does not tell. Source: the second field of `/proc/PID/schedstat`,
    which is that of the process's main thread.
    """
    try:
        return int(Path(f"/proc/{pid}/schedstat").read_text().split()[1])
    except (OSError, IndexError):
        return None


class SampledDay(ClientContext, Protocol):
    """The played day as the sampler knows it."""

    clients: DayClients


class _Sample(NamedTuple):
    at: int  # ns
    waited: int  # ns since the process began


class CpuWaitSampler:
    """Looks at the processes periodically, and notes in the day's tap what they waited in between."""

    def __init__(self, day: SampledDay) -> None:
        self.day = day
        self._samples: dict[int, _Sample] = {}  # the last one, by process id

    def run(self) -> Routine:
        """A coroutine: samples until it is cancelled."""
        while True:
            self.sample()
            yield self.day.loop.sleep(SAMPLE_INTERVAL)

    def sample(self) -> None:
        """Looks at each process once."""
        for gateway, process in self._processes():
            pid = process.child.pid
            waited = read_cpu_wait(pid)
            if waited is not None:
                sample = _Sample(self.day.loop.now(), waited)
                self._note_wait(gateway, self._samples.get(pid, sample), sample)
                self._samples[pid] = sample

    def _processes(self) -> Iterator[tuple[int | None, DayProcess]]:
        """The processes of clients, with None, and those of gateways, with their numbers."""
        for process in self.day.clients.processes:
            yield None, process
        for number, process in self.day.gateways.processes.items():
            yield number, process

    def _note_wait(self, gateway: int | None, before: _Sample, after: _Sample) -> None:
        waited = after.waited - before.waited
        if waited >= MIN_NOTED_WAIT:
            whose = {} if gateway is None else {"gateway": gateway}
            self.day.tap.note("cpu wait", since=before.at, by=waited, **whose)
