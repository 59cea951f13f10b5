"""Writes this gateway's observations to its store on disk, in the background and in short slices.

While the disk fails, no observations are gathered. Once the disk works again, all observations are written,
as the changes in between were left out.
"""

import time
from collections.abc import Callable, Generator, Iterator, Sequence
from itertools import islice

from gaproute.decisions.reports.cpu_budget import SLICE_CPU_TIME, CpuBudget
from gaproute.decisions.reports.exchange_limits import ROUNDS_PER_FULL_WRITE, WRITE_INTERVAL
from gaproute.decisions.reports.host_history import (
    SINCE_EVER,
    HostHistory,
    OwnObservation,
    own_observations,
)
from gaproute.decisions.reports.observation_kinds import MAX_OBSERVATION_AGE
from gaproute.decisions.reports.ports import ObservationSource
from gaproute.loop import Loop, Promise
from gaproute.storage import ObservationStore

MAX_ROWS_PER_WRITE = 256  # rows of one transaction, which then takes about a millisecond


class ObservationWriter:
    """Writes changed observations every `WRITE_INTERVAL`, and all observations every `ROUNDS_PER_FULL_WRITE`
    rounds, so that slowly changing figures are stored too.

    `request_classes`: names of the request classes. `spent` and `longest_slice`: CPU time (ns) of all slices
    and of the longest slice. Tests replace `cpu_clock`.
    """

    def __init__(
        self,
        loop: Loop,
        store: ObservationStore,
        gateway: ObservationSource,
        host_history: HostHistory,
        request_classes: Sequence[str],
        cpu_clock: Callable[[], int] = time.thread_time_ns,
    ) -> None:
        self.loop, self.store, self.cpu_clock = loop, store, cpu_clock
        self.gateway, self.host_history, self.request_classes = gateway, host_history, request_classes
        self.cpu_budget = CpuBudget(loop.now())
        self.rounds = 0
        # Observations made before this time (ns) are on disk; SINCE_EVER: none are
        self.written_until = SINCE_EVER
        self.round_written = True  # whether all slices of this round were written
        self.spent = self.longest_slice = 0
        self.routine = loop.spawn(self._run())

    def write_slice(self, observations: Iterator[OwnObservation]) -> bool:
        """Writes a batch of observations if the CPU budget allows; returns whether none are left to write."""
        now = self.loop.now()
        if not self.cpu_budget.allows_slice(now):
            return False
        started_at = self.cpu_clock()
        batch, exhausted = self._next_batch(observations, started_at)
        self.round_written &= self.store.write(batch)
        spent = self.cpu_clock() - started_at
        self.spent, self.longest_slice = self.spent + spent, max(self.longest_slice, spent)
        self.cpu_budget.deduct(now, spent)
        return exhausted

    def close(self) -> None:
        """Stops the rounds, writes changes since the last one in a single batch, and closes the store."""
        self.routine.cancel()
        changed = self._observations(self.loop.now(), self.written_until)
        self.store.write(islice(changed, MAX_ROWS_PER_WRITE))
        self.store.close()

    def _run(self) -> Generator[Promise, object, None]:
        while True:
            yield self.loop.sleep(WRITE_INTERVAL)
            if not self.store.ensure_open():
                self.written_until = SINCE_EVER
                continue
            yield from self._write_round()

    def _write_round(self) -> Generator[Promise, object, None]:
        full = self.rounds % ROUNDS_PER_FULL_WRITE == 0
        started_at, self.round_written = self.loop.now(), True
        observations = self._observations(started_at, SINCE_EVER if full else self.written_until)
        while not self.write_slice(observations):
            yield self.loop.sleep(self.cpu_budget.retry_delay(self.loop.now()))
        if full:
            self.store.delete_older_than(MAX_OBSERVATION_AGE)
        self.written_until = started_at if self.round_written else SINCE_EVER
        self.rounds += 1

    def _next_batch(
        self, observations: Iterator[OwnObservation], started_at: int
    ) -> tuple[list[OwnObservation], bool]:
        """The observations of one slice, and whether none are left. `started_at`: CPU time, ns."""
        batch = []
        for observation in observations:
            batch.append(observation)
            if len(batch) >= MAX_ROWS_PER_WRITE or self.cpu_clock() - started_at > SLICE_CPU_TIME / 2:
                return batch, False
        return batch, True

    def _observations(self, now: int, since: int) -> Iterator[OwnObservation]:
        return own_observations(self.gateway, self.host_history, self.request_classes, now, since)
