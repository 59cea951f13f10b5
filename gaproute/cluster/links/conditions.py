"""What the faults of the hour do to a message between two seats: decided here, without I/O.

The clock is handed in with each question; chance is drawn from a generator for each pair, direction and sort
of traffic, made of the seed, so that it does not matter which of several wires serves a pair.
"""

from gaproute.cluster.addresses import HIGHEST, LOWEST, SEAT_BITS
from gaproute.cluster.links.faults import MILLI, fault, seat

SECOND = 1000 * MILLI
AGAIN = 200 * MILLI  # TCP's least time before it sends lost bytes again
TRIES = 6  # that may be lost in a row, 12.6 s in all: a share of 1 must end some time
QUEUE = SECOND  # of a limited pace, longest wait of a datagram: a router's queue is not endless
FINE = 1 << 32  # steps in which a share is drawn
HELD = None  # in place of a time: kept until the fault ends


class NetworkConditions:
    """`chance(seed)` makes a generator with `below(n)`. Counts what it did by reason, in messages."""

    def __init__(self, seed, chance):
        self.seed, self.chance = seed, chance
        self.seats, self.told, self.faults = {}, {}, {}  # by number; by id, as told and as read
        self.version = 0  # grows with every change: what was kept of an answer is then stale
        self.known = {}  # pair: (faults on its streams, faults on its datagrams)
        self.chances = {}  # (pair, sort): generator
        self.free = {}  # (fault's id, pair, sort): when its limited pace is free again
        self.last = {}  # pair: when its last datagram is due, so that the next stays behind it
        self.counts = dict.fromkeys(("lost", "doubled", "reordered", "delayed", "cut", "held", "full"), 0)

    # The script's words

    def seated(self, told):
        """Seats are new or have moved: {number: as told}. Errors: ValueError; nothing has changed then."""
        for number in told:
            if not LOWEST <= number <= HIGHEST:
                raise ValueError(f"{number} is no seat's number: they are {LOWEST} to {HIGHEST}")
        seats = self.seats | {number: seat(words) for number, words in told.items()}
        self.faults = {name: fault(words, seats) for name, words in self.told.items()}
        self.seats = seats
        self._changed()

    def begin(self, name, told):
        """Errors: ValueError; nothing has changed then."""
        self.faults[name] = fault(told, self.seats)
        self.told[name] = told
        self._changed()

    def end(self, name):
        """Errors: ValueError for a fault that is not on."""
        if self.told.pop(name, None) is None:
            raise ValueError(f"no fault {name!r} is on")
        del self.faults[name]
        self.free = {key: when for key, when in self.free.items() if key[0] != name}
        self._changed()

    def _changed(self):
        self.version += 1
        self.known = {}

    # Questions

    def over(self, a, b):
        """(faults on streams' bytes, faults on datagrams) from seat `a` to seat `b`: (id, LinkFault) each."""
        pair = a << SEAT_BITS | b
        found = self.known.get(pair)
        if found is None:
            on = tuple((name, one) for name, one in self.faults.items() if one.touches(a, b))
            found = self.known[pair] = (
                tuple(one for one in on if one[1].streams),
                tuple(one for one in on if one[1].datagrams),
            )
        return found

    def keeps(self, a, b):
        """Whether streams' bytes from `a` to `b` are kept back for now."""
        return any(one.kind in ("cut", "hold") for _, one in self.over(a, b)[0])

    def opens(self, a, b):
        """Whether a connection from `a` to `b` can open: its handshake goes both ways."""
        return not self.keeps(a, b) and not self.keeps(b, a)

    def resets(self, name, a, b):
        """Whether fault `name`, which has just begun, resets a standing connection of `a` and `b`."""
        one = self.faults[name]
        return (
            one.kind == "reset"
            and one.streams
            and (one.touches(a, b) or one.touches(b, a))
            and self._hits(one, a, b, "streams")
        )

    def stream(self, a, b, size, now, last):
        """When `size` bytes read at `now` are due at the other end, never before `last`, the time of those
        before them; HELD while kept back."""
        due = now
        for name, one in self.over(a, b)[0]:
            if one.kind in ("cut", "hold"):
                self.counts["held"] += 1
                return HELD
            if one.kind == "delay" and self._hits(one, a, b, "streams"):
                due += self._delay(name, one, a, b, "streams", size, now)
                self.counts["delayed"] += 1
            elif one.kind == "lose":
                wait, tries = AGAIN, 0
                while tries < TRIES and self._hits(one, a, b, "streams"):
                    due, wait, tries = due + wait, 2 * wait, tries + 1
                self.counts["lost"] += tries
        return max(due, last)

    def datagram(self, a, b, size, now):
        """When each copy of a message is due: a tuple, empty if lost; HELD while kept back."""
        pair, due, copies, behind = a << SEAT_BITS | b, now, 1, True
        for name, one in self.over(a, b)[1]:
            kind = one.kind
            if kind == "hold":
                self.counts["held"] += 1
                return HELD
            if kind == "reset" or not self._hits(one, a, b, "datagrams"):
                continue
            if kind == "cut" or kind == "lose":
                self.counts["cut" if kind == "cut" else "lost"] += 1
                return ()
            if kind == "double":
                copies += 1
                self.counts["doubled"] += 1
                continue
            if kind == "reorder":
                behind = False
            delay = self._delay(name, one, a, b, "datagrams", size, now)
            if delay is HELD:
                self.counts["full"] += 1
                return ()
            due += delay
            self.counts["delayed" if kind == "delay" else "reordered"] += 1
        if behind:
            due = max(due, self.last.get(pair, 0))
            if due > now:
                self.last[pair] = due
            else:
                self.last.pop(pair, None)
        return (due,) * copies

    # Chance

    def _hits(self, one, a, b, sort):
        return one.share >= 1 or self._chance(a, b, sort).below(FINE) < one.share * FINE

    def _delay(self, name, one, a, b, sort, size, now):
        """Spans of one message, ns; HELD where a datagram finds the queue of a limited pace full."""
        delay = one.delay
        if one.jitter:
            delay += self._chance(a, b, sort).below(one.jitter)
        if one.pace:
            key = name, a << SEAT_BITS | b, sort
            begins = max(now, self.free.get(key, 0))
            if sort == "datagrams" and begins - now > QUEUE:
                return HELD
            self.free[key] = begins + int(size * SECOND / one.pace)
            delay += self.free[key] - now
        return delay

    def _chance(self, a, b, sort):
        key = a << SEAT_BITS | b, sort
        found = self.chances.get(key)
        if found is None:
            found = self.chances[key] = self.chance(
                mixed(self.seed << 32 ^ key[0] << 1 ^ (sort == "streams"))
            )
        return found


def mixed(number):
    """A seed whose every bit depends on each of `number`'s (the finaliser of SplitMix64, Steele et al. 2014):
    neighbouring pairs must not draw alike."""
    whole = (1 << 64) - 1
    number = number + 0x9E3779B97F4A7C15 & whole
    number = (number ^ number >> 30) * 0xBF58476D1CE4E5B9 & whole
    number = (number ^ number >> 27) * 0x94D049BB133111EB & whole
    return number ^ number >> 31
