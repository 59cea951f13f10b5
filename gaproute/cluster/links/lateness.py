"""How late the wire runs: a measurement through a wire that was late is void, so it has to know."""

BEAT = 50_000_000  # ns between looks at the clock: a wire with nothing to do can be starved as well


class LinkLateness:
    """`most`: longest time in ns, since it was last taken, that anything due or come waited for the wire."""

    def __init__(self, loop):
        self.loop, self.most, self.ever = loop, 0, 0
        self.poll, self.woke = loop.poll, loop.now()
        loop.poll = self._poll
        self._beat(loop.now())

    def _poll(self, epoll, span):
        """What came while a turn was worked off waited for its whole length at most."""
        self._late(self.loop.now() - self.woke)
        ready = self.poll(epoll, span)
        self.woke = self.loop.now()
        return ready

    def _beat(self, due):
        now = self.loop.now()
        self._late(now - due)
        self.loop.at(now + BEAT, self._beat, now + BEAT)

    def left(self, due, now):
        """Something due at `due` leaves at `now`."""
        if now - due > self.most:
            self._late(now - due)

    def _late(self, span):
        if span > self.most:
            self.most = span
            self.ever = max(self.ever, span)

    def take(self):
        most, self.most = self.most, 0
        return most
