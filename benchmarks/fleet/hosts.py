"""Stand-in hosts: they add copies by themselves, slow down over their lanes, start cold, and may be lost."""

from benchmarks.fleet.clock import MILLI, SECOND

LOAD = 900 * MILLI  # of a copy
WORK = 70 * MILLI  # of a task on an idle host
WAY = MILLI  # there and back again
LANES = 4  # of a host of size 1; it works at its pace up to twice as many tasks
CAPACITY = 4.0  # of a host of size 1, as the list tells it
FULL = 4 * LANES  # tasks in hand at which a host of size 1 reports all of its CPU busy
COLD_SHARE, COLD_TIME = 0.17, 18 * SECOND  # of its power that a host has at its start; until all of it


class Host:
    def __init__(self, zone=0, size=1.0, started=None):
        self.zone, self.size, self.started = zone, size, started
        self.busy, self.copies, self.lost, self.life = 0, {}, False, 0
        self.came = []  # when relays came, in order

    def share(self):
        return min(1.0, self.busy / (FULL * self.size))

    def lanes(self, now):
        """Tasks that it works at without slowing down."""
        if self.started is None or now - self.started >= COLD_TIME:
            return 2 * LANES * self.size
        power = COLD_SHARE + (1 - COLD_SHARE) * (now - self.started) / COLD_TIME
        return 2 * LANES * self.size * power

    def take(self, now, function):
        """A relay comes: (ns until its answer, ns of it that a load was waited for, whether it began one,
        whether the copy stood)."""
        self.busy += 1
        self.came.append(now)
        stands = self.copies.get(function)
        began, warm = stands is None, stands is not None and stands <= now
        if began:
            stands = self.copies[function] = now + LOAD
        waits = max(0, stands - now)
        return waits + WAY + int(WORK * max(1.0, self.busy / self.lanes(now))), waits, began, warm

    def lose(self):
        self.lost, self.busy, self.copies, self.life = True, 0, {}, self.life + 1

    def back(self, now):
        self.lost, self.started = False, now
