"""What all tell, merged: of each teller and page the newest version by (incarnation, counter).

Taking the newest is commutative, associative and idempotent, so words may come in any order, twice or late.
Of one version that came twice with two ages the greater age holds. A tombstone bars a teller's incarnations
up to the one that ended; what is barred never comes back, in whatever order the tombstone and the facts come.
"""

from collections import Counter

from gaproute.shared.gossip.messages import HIGHEST, HOP, LIFE, sound

TOMBS = 8192  # kept at most; a tombstone outlives all facts of its teller, then it may go
TOMB_LIFE = 2 * max(LIFE)


class Held:
    """One page as it is held; `seen`: when what it tells was so, by this gateway's clock."""

    __slots__ = ("version", "seen", "rest", "entries")

    def __init__(self, version, seen, rest, entries):
        self.version, self.seen, self.rest, self.entries = version, seen, rest, entries


class Store:
    def __init__(self):
        self.tellers = {}  # teller: {(kind, slot): Held}
        self.tombs = {}  # teller: (the incarnation that ended, when it was told), the oldest first
        self.refused = Counter()

    def take(self, now, teller, incarnation, page):
        """Merges one page; whether it changed anything."""
        fault = sound(page) if 0 < incarnation <= HIGHEST else "absurd"
        if not fault and incarnation <= self.tombs.get(teller, (0, 0))[0]:
            fault = "buried"
        if fault:
            self.refused[fault] += 1
            return False
        version, seen = (incarnation, page.counter), now - page.age - HOP
        pages = self.tellers.setdefault(teller, {})
        held = pages.get((page.kind, page.slot))
        if held is None or version > held.version:
            pages[page.kind, page.slot] = Held(version, seen, page.rest, page.entries)
            return True
        if version == held.version and seen < held.seen:
            held.seen = seen
        return False

    def bury(self, now, teller, incarnation):
        """No fact of this incarnation or an older one counts from now on."""
        incarnation = max(incarnation, self.tombs.pop(teller, (0, 0))[0])
        self.tombs[teller] = incarnation, now
        pages = self.tellers.get(teller, {})
        for name in [name for name, held in pages.items() if held.version[0] <= incarnation]:
            del pages[name]
        if not pages:
            self.tellers.pop(teller, None)
        while len(self.tombs) > TOMBS:
            del self.tombs[next(iter(self.tombs))]

    def last(self, teller):
        """The latest incarnation heard of the teller."""
        return max([held.version[0] for held in self.tellers.get(teller, {}).values()], default=0)

    def fade(self, now, teller):
        """Drops what of this teller counts no more, and tombstones that have outlived all that they bar."""
        pages = self.tellers.get(teller, {})
        for name in [name for name, held in pages.items() if now - held.seen > LIFE[name[0]]]:
            del pages[name]
        if not pages:
            self.tellers.pop(teller, None)
        first = next(iter(self.tombs), None)
        if first is not None and now - self.tombs[first][1] > TOMB_LIFE:
            del self.tombs[first]

    def fresh(self, now, kind, slots=(0,)):
        """[(teller, Held)] of a kind that still count, in the order in which tellers became known."""
        return [
            (teller, held)
            for teller, pages in self.tellers.items()
            for slot in slots
            if (held := pages.get((kind, slot))) is not None and now - held.seen <= LIFE[kind]
        ]
