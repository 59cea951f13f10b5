"""What is told of the fleet by other gateways and by a past life, and how far it is trusted: decisions only.

A fact has a subject, a value, the time of the observation on this gateway's clock, who observed it, and over
how many hops it came: 0 for this gateway's own past life, 1 for a peer's own eyes. Only what a gateway saw
itself is told on, so no fact travels further and none that a host's end has made void comes back by a third.
`SharedObservations` holds facts from many givers; merging takes the greater of two by one total order, so it
is commutative, associative and idempotent. A host that is gone is remembered as such (a tombstone), never
as an absence.

Subjects are tuples: ("warm", worker, function), ("listed", worker), ("doubt", worker, track), ("pace",
worker), ("usual", function), ("load",), ("share", function). `KINDS` has their values.

The host list of this gateway beats all of it, and whatever it saw itself beats every hint: see
`SharedObservations.hints` and the hints of `Gateway`. Nothing here orders a load, marks a host as active or
lifts a limit of the rules.
"""

from collections import Counter

from gaproute.decisions.reports.observation_kinds import KINDS, OLDEST

FACTS = 50_000  # facts held: 300 hosts with 160 functions each; beyond it new subjects are refused
NAME = 256  # characters of a name: what is longer was never a host or a model
FRESHEST = 0.35  # of the keep-alive: age that a hint has at least, whatever is told: a giver's word
#                          is weaker than one's own eyes; the fade leaves it 0.985 of its warmth
SPREAD = 0.35  # of the keep-alive: further age by chance, so that gateways that learn the same at
#                          one moment rank the warm hosts differently and do not all send to one
COPIES = 4  # copies of a function handed on at least, the freshest: the module's hash picks
#                          among them, and givers that err mostly err differently
WIDE = 2.5  # copies believed for each worker that a function could fill, as the module spreads
SLOWEST = 8.0  # times slower than usual that a host is believed to be at most
MIXED = 128  # names that stand for the mix told: half of what the module keeps of its own


class SharedObservations:
    def __init__(self):
        self.facts = {}  # subject: SharedObservation
        self.copies = {}  # function: workers that somebody saw it warm at, in the order of coming
        self.refused = Counter()  # reason: facts refused, or not followed

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
        reason = (
            "kind"
            if count is None
            else "name"
            if len(names) != count or not all(0 < len(name) <= NAME for name in names)
            else wrong(*fact.value)
        )
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
        took = sum(
            [
                gateway.hint(*hint)
                for hint in self.hints(
                    now,
                    lives,
                    keep_alive,
                    chance,
                    [subject[2] for subject in subjects if subject[0] == "warm"],
                )
            ]
        )
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
        shares = sorted(
            (name, fact.value[0])
            for (kind, *rest), fact in self.facts.items()
            if kind == "share"
            for name in rest
        )
        total = max(1.0, sum(share for _, share in shares))
        names, reached = [], 0.0
        for name, share in shares:
            reached += share / total * size
            names += [name] * (round(reached) - len(names))
        names += [""] * (size - len(names))
        # A stride that shares no factor with a power of two: no function's tasks stand together.
        return [names[place * 37 % size] for place in range(size)]
