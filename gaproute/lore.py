"""What is told of the fleet by other gateways and by a past life, and how far it is trusted: decisions only.

A fact has a subject, a value, the time of the observation on this gateway's clock, who observed it, and over
how many hops it came: 0 for this gateway's own past life, 1 for a peer's own eyes. Only what a gateway saw
itself is told on, so no fact travels further and none that a host's end has made void comes back by a third.
`Lore` holds facts from many givers; merging takes the greater of two by one total order, so it is
commutative, associative and idempotent. A host that is gone is remembered as such (a tombstone), never as an
absence.

Subjects are tuples: ("warm", worker, function), ("listed", worker), ("doubt", worker, track), ("pace",
worker), ("usual", function), ("load",), ("share", function). `KINDS` has their values.

The host list of this gateway beats all of it, and whatever it saw itself beats every hint: see `Lore.hints`
and the hints of `Gateway`. Nothing here orders a load, marks a host as active or lifts a limit of the rules.
"""
from collections import Counter
from typing import NamedTuple

MILLI, SECOND = 1_000_000, 1_000_000_000

OLDEST = 300 * SECOND    # facts older than this are refused: no copy is kept so long, no clock is so right
FACTS = 50_000           # facts held: 300 hosts with 160 functions each; beyond it new subjects are refused
NAME = 256               # characters of a name: what is longer was never a host or a model
FRESHEST = 0.35          # of the keep-alive: age that a hint has at least, whatever is told: a giver's word
#                          is weaker than one's own eyes; the fade leaves it 0.985 of its warmth
SPREAD = 0.35            # of the keep-alive: further age by chance, so that gateways that learn the same at
#                          one moment rank the warm hosts differently and do not all send to one
COPIES = 4               # copies of a function handed on at least, the freshest: the module's hash picks
#                          among them, and givers that err mostly err differently
WIDE = 2.5               # copies believed for each worker that a function could fill, as the module spreads
SLOWEST = 8.0            # times slower than usual that a host is believed to be at most
SHARE = 0.01             # of a giver's core that telling may take
BURST = 10 * MILLI       # of CPU that telling may take at once: a dozen chunks, less than one slow turn
SLICE = MILLI            # of CPU that one answer may take: a task in the same turn waits no longer for it
REST = 5 * MILLI         # between two slices: several turns of a busy loop
CHUNK, CHUNK_BYTES = 256, 16_384   # facts, and bytes of names, in one answer
CHUNKS = 1024            # answers that one giver is heard for at most: it cannot hold a learner for ever
ANSWER = 1 << 20         # bytes of one answer at most
ANSWER_TIME = 500 * MILLI    # for one answer; a peer that is slower is dropped
LEARN_TIME = 5 * SECOND  # from the start on: later, own traffic tells more than any peer
CHANGES = 250 * MILLI    # between asks for what changed: a tenth of the time in which a busy copy is reused
TRIES, TRY_AGAIN = 8, 500 * MILLI    # for a peer that is not there yet: both sides may have been restarted
ASKED = 4                # peers asked at once: further ones tell mostly the same
MIXED = 128              # names that stand for the mix told: half of what the module keeps of its own
KEEP_EVERY = 500 * MILLI    # between writes to the memory on disk: what a kill loses is half a second
KEEP_WHOLE = 10          # of them one is of the whole, for the figures that have no time of their own
GONE_KEPT = 256          # hosts remembered as gone


class Fact(NamedTuple):
    at: int                  # observed, by this gateway's clock, ns
    origin: str              # who observed it
    hops: int
    value: tuple


def _warm(lanes, started):
    return None if 1 <= lanes <= 1024 and started >= 0 else "lanes" if started >= 0 else "start"


def _listed(state, started):
    return "state" if state not in ("active", "draining", "gone") else "start" if started < 0 else None


def _time(took):
    return None if 0 < took <= OLDEST else "time"


def _part(part):
    return None if 0 < part <= 1 else "share"


# kind: (names in its subject, what is wrong with a value or None)
KINDS = {
    "warm": (2, _warm),          # (lanes, start of the worker's life by the giver's list as below)
    "listed": (1, _listed),      # (state by the giver's list, start)
    "doubt": (2, _part),         # (weight of the last bad result, 0 to 1)
    "pace": (1, lambda slow: None if 1 <= slow < float("inf") else "pace"),    # (times slower than usual)
    "usual": (1, _time),         # (answer time where a copy stands, ns)
    "load": (0, _time),          # (answer time where a load is waited for, ns)
    "share": (1, _part),         # (of the giver's last tasks)
}


class Lore:
    def __init__(self):
        self.facts = {}              # subject: Fact
        self.copies = {}             # function: workers that somebody saw it warm at, in the order of coming
        self.refused = Counter()     # reason: facts refused, or not followed

    def observed(self, asked, age):
        """The earliest time that a fact of that age can be of, by the clock at which it was asked for; None:
        refused. The answer was written after the asking, so a long round trip makes a fact older, never
        younger."""
        if not 0 <= age <= OLDEST:
            self.refused["age"] += 1
            return None
        return asked - age

    def tell(self, subject, fact):
        """Takes a fact where it is newer than what is held; what cannot be is refused and counted."""
        kind, *names = subject
        count, wrong = KINDS.get(kind, (None, None))
        reason = "kind" if count is None else "name" if len(names) != count or not all(
            0 < len(name) <= NAME for name in names) else wrong(*fact.value)
        known = self.facts.get(subject)
        if reason is None and known is None and len(self.facts) >= FACTS:
            reason = "too many"
        if reason is not None:
            self.refused[reason] += 1
            return
        if known is None and kind == "warm":
            self.copies.setdefault(names[1], []).append(names[0])
        self.facts[subject] = fact if known is None else max(known, fact)

    def merge(self, other):
        self.refused.update(other.refused)
        for subject, fact in other.facts.items():
            self.tell(subject, fact)

    def share(self, function):
        fact = self.facts.get(("share", function))
        return fact.value[0] if fact else 0.0

    def void(self, worker, fact, started, lives):
        """Why a fact of a worker is not to be followed, or None. `lives`: {active worker: start of its life
        by this gateway's list, ns since 1970, 0: none told}; `started`: the start by the giver's, None where
        the kind has none."""
        listed = self.facts.get(("listed", worker))
        if worker not in lives:
            return "not listed"
        if started is not None and lives[worker] != started:
            return "another life"
        if listed and listed.value[0] != "active" and listed.at >= fact.at:
            return "gone since"
        return None

    def hints(self, now, lives, keep_alive, chance, functions=None):
        """Copies that may be believed: [(worker, function, lanes, time of the last use)].

        Of each function only the freshest, as many as its share of the work could fill and COPIES at least.
        `functions`: those to look at; all where left out.
        """
        found = []
        for function in sorted(self.copies if functions is None else self.copies.keys() & set(functions)):
            usable = []
            for worker in sorted(self.copies[function]):
                fact = self.facts["warm", worker, function]
                reason = self.void(worker, fact, fact.value[1], lives)
                floor = FRESHEST + SPREAD * chance.below(1000) / 1000
                seen = min(fact.at, now - int(floor * keep_alive))
                if reason is None and now - seen >= keep_alive:
                    reason = "faded"
                if reason is None:
                    usable.append((fact.at, worker, fact.value[0], seen))
                else:
                    self.refused[reason] += 1
            usable.sort(key=lambda copy: (-copy[0], copy[1]))
            most = max(COPIES, round(WIDE * self.share(function) * len(lives)))
            found += [(worker, function, lanes, seen) for _, worker, lanes, seen in usable[:most]]
        return found

    def follow(self, gateway, now, lives, tracks, keep_alive, chance, subjects):
        """Hands the gateway what may be believed of the subjects that came; how many hints it took.

        `tracks`: {name: place in the terms}.
        """
        took = sum([gateway.hint(*hint) for hint in self.hints(
            now, lives, keep_alive, chance, [subject[2] for subject in subjects if subject[0] == "warm"])])
        for subject in subjects:
            kind, *names = subject
            fact = self.facts.get(subject)
            if fact is None or kind in ("warm", "listed", "share"):
                continue
            value = fact.value[0]
            if kind == "usual":
                took += gateway.hint_usual(names[0], value)
            elif kind == "load":
                took += gateway.hint_usual(None, value)
            elif reason := self.void(names[0], fact, None, lives):
                self.refused[reason] += 1
            elif kind == "pace":
                took += gateway.hint_pace(names[0], min(value, SLOWEST), fact.at)
            elif names[1] in tracks:
                took += gateway.hint_doubt(names[0], tracks[names[1]], value, fact.at)
            else:
                self.refused["track"] += 1
        return took

    def mix(self, size=MIXED):
        """`size` names that stand for the mix of functions told, "" for those not told, evenly mixed."""
        shares = sorted((name, fact.value[0]) for (kind, *rest), fact in self.facts.items() if kind == "share"
                        for name in rest)
        total = max(1.0, sum(share for _, share in shares))
        names, reached = [], 0.0
        for name, share in shares:
            reached += share / total * size
            names += [name] * (round(reached) - len(names))
        names += [""] * (size - len(names))
        # A stride that shares no factor with a power of two: no function's tasks stand together.
        return [names[place * 37 % size] for place in range(size)]


class Roll:
    """What a gateway's own host list told of each host, and when; hosts that left it are gone."""

    def __init__(self):
        self.told = {}           # worker: (state, start, when that was first told)

    def listed(self, now, rows):
        """`rows`: {worker: (state, start of its life, ns since 1970, 0: none told)}, the whole list."""
        for name, row in rows.items():
            if self.told.get(name, ())[:2] != row:
                self.told.pop(name, None)
                self.told[name] = (*row, now)
        for name in [name for name, told in self.told.items() if name not in rows and told[0] != "gone"]:
            started = self.told.pop(name)[1]
            self.told[name] = ("gone", started, now)
        gone = [name for name, told in self.told.items() if told[0] == "gone" and name not in rows]
        for name in gone[:-GONE_KEPT]:
            del self.told[name]

    def lives(self):
        return {name: started for name, (state, started, _) in self.told.items() if state == "active"}


def own(gateway, roll, tracks, now, since=-1):
    """What a gateway saw itself since then, one by one: (subject, value, when). `tracks`: their names."""
    for name, (state, started, at) in list(roll.told.items()):
        if at > since:
            yield ("listed", name), (state, started), at
    for kind, names, value, at in gateway.known(now, since):
        if kind == "warm":
            told = roll.told.get(names[0])
            value = (*value, told[1] if told else 0)
        elif kind == "doubt":
            names = (names[0], tracks[names[1]])
        yield (kind, *names), value, at


class Purse:
    """How much CPU telling may take: a share of the time that passes, a small burst at most, and never two
    slices on end, so that a task waits for one of them at most."""

    def __init__(self, now):
        self.left, self.at, self.again, self.turn = BURST, now, now, now

    def may(self, now):
        self.left, self.at = min(BURST, self.left + SHARE * (now - self.at)), now
        return self.left > 0 and now >= self.again

    def spend(self, now, span):
        self.left -= span
        self.again = now + REST

    def wait(self, now):
        """Until one that is put off should ask again, ns: each after the one before, so that many that wait
        do not all come at once and cost more by asking than by being told."""
        ready = max(self.again, now + round(max(0, -self.left) / SHARE))
        self.turn = max(ready, self.turn + (REST if self.left > 0 else round(SLICE / SHARE)))
        return max(MILLI, self.turn - now)
