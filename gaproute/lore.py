"""What other gateways tell of copies seen and hosts gone, and how far it is trusted: decisions only, no I/O.

A fact has a subject, the time of the observation on this gateway's clock, and who observed it. Only what a
gateway saw itself is told on, so no fact travels twice and none that a host's end has made void comes back by
a third. `Lore` holds facts from many givers; merging is taking the greater of two by one total order, so it
is commutative, associative and idempotent. What is gone is remembered as a tombstone and never as an absence.

The host list of this gateway beats all of it, and whatever it saw itself beats every hint: see `Lore.hints`
and `Gateway.hint`. Nothing here orders a load, marks a host as active or lifts a limit of the rules.
"""
from collections import Counter
from typing import NamedTuple

MILLI, SECOND = 1_000_000, 1_000_000_000

# facts older than this are refused: no copy is kept so long, and no clock is so right
OLDEST = 300 * SECOND
FACTS = 50_000           # facts held: 300 hosts with 160 functions each; beyond it new subjects are refused
NAME = 256               # characters of a name: what is longer was never a host or a model
# of the keep-alive: age that a hint has at least, whatever is told, since the giver's
FRESHEST = 0.35
#                          word is weaker than one's own eyes; the fade leaves it 0.985 of its warmth
# of the keep-alive: further age by chance, so that gateways that learn the same at the
SPREAD = 0.35
#                          same moment rank the warm hosts differently and do not all send to one
SHARE = 0.01             # of a giver's core that telling may take
BURST = 10 * MILLI       # of CPU that telling may take at once: a dozen chunks, less than one slow turn


class Warm(NamedTuple):
    """A giver saw a copy of the function stand at the worker."""
    at: int                  # observed, by this gateway's clock, ns
    origin: str              # who observed it
    lanes: int
    started: int             # start of the worker's life by the giver's list, ns since 1970; 0: none told


class Gone(NamedTuple):
    """A giver was told that the worker is gone."""
    at: int
    origin: str


class Lore:
    def __init__(self):
        self.warm = {}           # (worker, function): Warm
        self.gone = {}           # worker: Gone
        self.refused = Counter()     # reason: facts refused

    def observed(self, asked, age):
        """The earliest time that a fact of that age can be of, by the clock at which it was asked for; None:
        refused. The answer was written after the asking, so a long round trip makes a fact older, never
        younger."""
        if not 0 <= age <= OLDEST:
            self.refused["age"] += 1
            return None
        return asked - age

    def tell_warm(self, worker, function, fact):
        if not 1 <= fact.lanes <= 1024:
            self.refused["lanes"] += 1
        elif fact.started < 0:
            self.refused["start"] += 1
        else:
            self._add(self.warm, (worker, function), fact, len(worker) + len(function) <= NAME and function)

    def tell_gone(self, worker, fact):
        self._add(self.gone, worker, fact, len(worker) <= NAME)

    def _add(self, table, subject, fact, well_named):
        known = table.get(subject)
        if not well_named or not subject:
            self.refused["name"] += 1
        elif known is not None:
            table[subject] = max(known, fact)
        elif len(self.warm) + len(self.gone) >= FACTS:
            self.refused["too many"] += 1
        else:
            table[subject] = fact

    def merge(self, other):
        self.refused.update(other.refused)
        for (worker, function), fact in other.warm.items():
            self.tell_warm(worker, function, fact)
        for worker, fact in other.gone.items():
            self.tell_gone(worker, fact)

    def hints(self, now, lives, keep_alive, chance, subjects=None):
        """What may be believed: [(worker, function, lanes, time of the copy's last use)], by subject.

        `lives`: {worker: start of its life by this gateway's list (ns since 1970, 0: none told)} of the
        active hosts. A hint is void where the list does not name the host, where the host has begun another
        life, where anybody was told later that it is gone, and where a copy would have been unloaded since.
        `subjects`: the (worker, function) pairs to look at; all where left out.
        """
        found = []
        for worker, function in sorted(self.warm if subjects is None else self.warm.keys() & subjects.keys()):
            fact = self.warm[worker, function]
            if worker not in lives:
                self.refused["not listed"] += 1
            elif lives[worker] != fact.started:
                self.refused["another life"] += 1
            elif worker in self.gone and self.gone[worker].at >= fact.at:
                self.refused["gone since"] += 1
            else:
                floor = FRESHEST + SPREAD * chance.below(1000) / 1000
                seen = min(fact.at, now - int(floor * keep_alive))
                if now - seen < keep_alive:
                    found.append((worker, function, fact.lanes, seen))
                else:
                    self.refused["faded"] += 1
        return found


class Purse:
    """How much CPU a giver may spend on telling: a share of the time that passes, a small burst at most."""

    def __init__(self, now):
        self.left, self.at = BURST, now

    def may(self, now):
        self.left, self.at = min(BURST, self.left + SHARE * (now - self.at)), now
        return self.left > 0

    def spend(self, span):
        self.left -= span

    def wait(self):
        """Until it may be asked again, ns."""
        return max(MILLI, round((MILLI - self.left) / SHARE))
