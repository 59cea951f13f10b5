"""When one member is asked for all it holds, chunk by chunk: at the start, when one that was held dead is
back, and now and then. Each chunk is asked for when the last one came, so the giver is never flooded."""

MILLI, SECOND = 1_000_000, 1_000_000_000

WAIT = 300 * MILLI  # for a chunk, then it is asked for again
TRIES = 6  # for one chunk, then another member is asked at once
EVERY = 300 * SECOND  # between two pulls where nothing calls for one: mends what news has missed
AGAIN = 20 * SECOND  # between the beginnings of two at least: one healing brings back hundreds
PARTS = 64  # chunks given in a period at most: 80 kB a second; who asks more waits
NEVER = -(1 << 62)


class StateTransfer:
    def __init__(self):
        self.of, self.place = None, 0  # the member asked, and the place asked for
        self.asked, self.tries = 0, 0
        self.begun, self.ended, self.called = NEVER, NEVER, True
        self.given, self.completed = 0, 0  # chunks given in this period; pulls that came to their end

    @property
    def due(self):
        return None if self.of is None else self.asked + WAIT

    def wants(self, now):
        return self.of is None and now - self.begun >= AGAIN and (self.called or now - self.ended >= EVERY)

    def begin(self, now, name):
        self.of, self.place, self.asked, self.tries, self.begun = name, 0, now, 0, now

    def came(self, now, sender, place):
        """A chunk came from there, with the next place. Returns whether to ask on."""
        if sender != self.of or 0 < place <= self.place:
            return False
        if place == 0:
            self.of, self.called, self.ended = None, False, now
            self.completed += 1
            return False
        self.place, self.asked, self.tries = place, now, 0
        return True

    def late(self, now):
        """Whether to ask for the same chunk again."""
        if self.of is None or now < self.asked + WAIT:
            return False
        self.tries, self.asked = self.tries + 1, now
        if self.tries >= TRIES:
            self.of, self.called, self.begun = None, True, NEVER
        return self.of is not None

    def give(self):
        self.given += 1
        return self.given <= PARTS
