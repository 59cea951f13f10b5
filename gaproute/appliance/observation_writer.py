"""Writes what this gateway saw to its memory on disk, in the background, a slice at a time.

While the disk fails nothing is gathered for it; once it answers the whole is written, since what changed
meanwhile has been passed over.
"""

import time

from gaproute.decisions.reports.asking import KEEP_EVERY, KEEP_WHOLE
from gaproute.decisions.reports.facts import OLDEST
from gaproute.decisions.reports.purse import SLICE, Purse
from gaproute.decisions.reports.roll import own

MOST = 256  # facts in one transaction: about a millisecond


class ObservationWriter:
    """Every KEEP_EVERY what changed is written, and now and then the whole, so that slow figures come too."""

    def __init__(self, loop, memory, gateway, roll, tracks, meter=time.thread_time_ns):
        self.meter = meter
        self.loop, self.memory, self.gateway, self.roll, self.tracks = loop, memory, gateway, roll, tracks
        self.purse = Purse(loop.now())
        self.rounds, self.mark = 0, -1
        self.complete = True  # whether all slices of this round were written
        self.spent = self.longest = 0
        self.routine = loop.spawn(self._keep())

    def _keep(self):
        while True:
            yield self.loop.sleep(KEEP_EVERY)
            if not self.memory.ready():
                self.mark = -1
                continue
            begun, self.complete = self.loop.now(), True
            since = -1 if self.rounds % KEEP_WHOLE == 0 else self.mark
            facts = own(self.gateway, self.roll, self.tracks, begun, since)
            while not self.slice(facts):
                yield self.loop.sleep(self.purse.wait(self.loop.now()))
            if self.rounds % KEEP_WHOLE == 0:
                self.memory.forget(OLDEST)
            self.mark = begun if self.complete else -1
            self.rounds += 1

    def slice(self, facts):
        """Writes some of the facts; whether those were the last."""
        now = self.loop.now()
        if not self.purse.may(now):
            return False
        begun, some, ended = self.meter(), [], True
        for fact in facts:
            some.append(fact)
            if len(some) >= MOST or self.meter() - begun > SLICE / 2:
                ended = False
                break
        self.complete &= self.memory.write(some)
        spent = self.meter() - begun
        self.spent, self.longest = self.spent + spent, max(self.longest, spent)
        self.purse.spend(now, spent)
        return ended

    def close(self):
        """What is still unwritten goes in one last slice."""
        self.routine.cancel()
        self.memory.write(list(own(self.gateway, self.roll, self.tracks, self.loop.now(), self.mark))[:MOST])
        self.memory.close()
