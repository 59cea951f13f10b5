"""Stand-in hosts: they load what is missing, keep idle copies for the keep-alive, and may be lost."""

from benchmarks.fleet.clock import MILLI

LOAD = 440 * MILLI  # of a copy
WORK = 50 * MILLI  # of a call, while the host has room
LOADS_AT_ONCE = 4  # that a host works at; more wait


class Host:
    """`capacity`: calls at a time at full pace; with more in hand each takes longer."""

    def __init__(self, name, cell, zone, capacity, keep_alive):
        self.name, self.cell, self.zone = name, cell, zone
        self.capacity, self.keep_alive = capacity, keep_alive
        self.copies = {}  # function: until when the copy is kept; while it loads, from when it stands
        self.stands_at = {}
        self.busy, self.slow = 0, 1.0
        self.worked = 0  # span of all calls, without their loads
        self.loading = []  # when each load in hand ends
        self.up, self.mute = True, False  # mute: it takes calls and never answers

    def take(self, now, function):
        """A call comes: (span until its answer, whether a copy stood, whether it began a load)."""
        self.busy += 1
        work = int(WORK * self.slow * max(1.0, self.busy / self.capacity))
        self.worked += work
        kept, stands = self.copies.get(function, -1), self.stands_at.get(function, 0)
        began = kept < now
        if began:
            stands = self._load(now, function)
        waits = max(0, stands - now)
        self.copies[function] = now + waits + work + self.keep_alive
        return waits + work, waits == 0, began

    def _load(self, now, function):
        self.loading = sorted(end for end in self.loading if end > now)
        begins = now if len(self.loading) < LOADS_AT_ONCE else self.loading[-LOADS_AT_ONCE]
        self.stands_at[function] = begins + int(LOAD * self.slow)
        self.loading.append(self.stands_at[function])
        return self.stands_at[function]

    def fail(self):
        """The process ends; its copies are gone."""
        self.up, self.busy, self.copies, self.loading = False, 0, {}, []

    def back(self):
        """A new process, all cold."""
        self.up = True
