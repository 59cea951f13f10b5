"""Writes what this gateway saw to its memory on disk, in the background, a slice at a time.

While the disk fails nothing is gathered for it; once it answers the whole is written, since what changed
meanwhile has been passed over.
"""

import time

from gaproute.decisions.reports.asking import KEEP_EVERY, KEEP_WHOLE
from gaproute.decisions.reports.facts import OLDEST
from gaproute.decisions.reports.purse import SLICE, Purse
from gaproute.decisions.reports.roll import own

MAX_ROWS_PER_WRITE = 256  # facts in one transaction: about a millisecond


class ObservationWriter:
    """Every KEEP_EVERY what changed is written, and now and then the whole, so that slow figures come too."""

    def __init__(self, loop, store, gateway, roll, tracks, meter=time.thread_time_ns):
        self.meter = meter
        self.loop, self.store, self.gateway, self.roll, self.tracks = loop, store, gateway, roll, tracks
        self.purse = Purse(loop.now())
        self.rounds, self.written_until = 0, -1
        self.round_written = True  # whether all slices of this round were written
        self.spent = self.longest = 0
        self.task = loop.spawn(self._keep())

    def _keep(self):
        while True:
            yield self.loop.sleep(KEEP_EVERY)
            if not self.store.ready():
                self.written_until = -1
                continue
            begun, self.round_written = self.loop.now(), True
            since = -1 if self.rounds % KEEP_WHOLE == 0 else self.written_until
            facts = own(self.gateway, self.roll, self.tracks, begun, since)
            while not self.write_slice(facts):
                yield self.loop.sleep(self.purse.wait(self.loop.now()))
            if self.rounds % KEEP_WHOLE == 0:
                self.store.forget(OLDEST)
            self.written_until = begun if self.round_written else -1
            self.rounds += 1

    def write_slice(self, facts):
        """Writes some of the facts; whether those were the last."""
        now = self.loop.now()
        if not self.purse.may(now):
            return False
        begun, some, ended = self.meter(), [], True
        for fact in facts:
            some.append(fact)
            if len(some) >= MAX_ROWS_PER_WRITE or self.meter() - begun > SLICE / 2:
                ended = False
                break
        self.round_written &= self.store.write(some)
        spent = self.meter() - begun
        self.spent, self.longest = self.spent + spent, max(self.longest, spent)
        self.purse.spend(now, spent)
        return ended

    def close(self):
        """What is still unwritten goes in one last slice."""
        self.task.cancel()
        self.store.write(
            list(own(self.gateway, self.roll, self.tracks, self.loop.now(), self.written_until))[
                :MAX_ROWS_PER_WRITE
            ]
        )
        self.store.close()
