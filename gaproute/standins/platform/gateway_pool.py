"""The platform's front as clients meet it: which gateways are in, and the connections kept to each.

A gateway comes in once it says so when asked (`ping`), and goes out some seconds after it was first seen
dead, or when the front is told that it will be restarted.
"""

from gaproute.loop.addresses import address
from gaproute.standins.platform.rpc_connection import RpcConnection

MILLI, SECOND = 1_000_000, 1_000_000_000
ASK = 250 * MILLI  # between pings to one that is out
NOTICE = 1.0, 3.0  # seconds in which the front notices that a gateway has died
LEAVING = 0.2, 0.4  # seconds for which new connections still come to one that is to be restarted
LAST = 200 * MILLI  # after that, in which requests still come on open connections
IDLE = 4 * SECOND  # after which clients close a connection
SWEEP = SECOND
MOST = 32  # requests open on one connection, by the protocol


class PooledGateway:
    """One gateway."""

    def __init__(self, places, number, where):
        self.places, self.number, self.where = places, number, address(where)
        self.links = {}  # RpcConnection: None, in order
        self.taken, self.fresh, self.dying = False, True, False
        self.ask()

    def link(self):
        """A connection with room; a new one where those that stand are at work. None: there is none."""
        able = [link for link in self.links if len(link.open) < MOST]
        best = min(able, key=lambda link: len(link.open), default=None)
        while best is not None and not best.open and not best.quiet():
            best.drop()
            self.links.pop(best, None)
            able.remove(best)
            best = min(able, key=lambda link: len(link.open), default=None)
        busy = best is None or len(best.open) >= self.places.habits.shared
        if busy and self.fresh and len(self.links) < self.places.habits.links:
            best = self.connect()
        return best

    def connect(self):
        link = RpcConnection(
            self.places.loop,
            self.where,
            lambda what: self.places.stray(self.number, what),
            lambda link: self.links.pop(link, None),
        )
        self.links[link] = None
        return link

    def sweep(self, due):
        for link in [link for link in self.links if not link.open and link.used < due]:
            link.drop()
            del self.links[link]

    # In and out

    def ask(self):
        """Asks until it says that it is up."""
        link = RpcConnection(self.places.loop, self.where, lambda what: None, lambda link: None)
        tries = self.places.loop.after(ASK, self.asked, link, False)

        def answered(message):
            tries.cancel()
            self.asked(link, message.get("result") == {"up": True})

        link.ask({"method": "ping", "params": {}}, answered, lambda what: None)

    def asked(self, link, up):
        link.over = True
        link.drop()
        if up:
            self.taken, self.fresh, self.dying = True, True, False
            self.places.tap.note("in", gateway=self.number)
        else:
            self.places.loop.after(ASK, self.ask)

    def dead(self):
        """No connection came up."""
        if self.taken and not self.dying:
            self.dying = True
            span = self.places.random.uniform(*NOTICE)
            self.places.loop.after(round(span * SECOND), self.out)

    def leaving(self):
        """It is to be restarted."""
        if self.taken and not self.dying:
            self.dying = True
            span = round(self.places.random.uniform(*LEAVING) * SECOND)
            self.places.loop.after(span, setattr, self, "fresh", False)
            self.places.loop.after(span + LAST, self.out)

    def out(self):
        self.taken = False
        self.places.tap.note("out", gateway=self.number)
        self.places.loop.after(ASK, self.ask)


class GatewayPool:
    def __init__(self, loop, gateways, habits, random, tap):
        self.loop, self.habits, self.random, self.tap = loop, habits, random, tap
        self.places = [PooledGateway(self, number, where) for number, where in enumerate(gateways)]
        self.weigh(habits.weights)
        self.sweep()

    def weigh(self, weights):
        """How much of the traffic each gets, by its place."""
        weights = list(weights or [1.0] * len(self.places))
        if len(weights) != len(self.places):
            raise ValueError(f"{len(weights)} weights for {len(self.places)} gateways")
        self.weights = weights

    def pick(self, refused):
        """A gateway that is in, by weight, and not one of those; None where there is none."""
        able = [place for place in self.places if place.taken and place.number not in refused]
        if not able:
            return None
        weights = [self.weights[place.number] for place in able]
        if not any(weights):
            return self.random.choice(able)
        return self.random.choices(able, weights)[0]

    def stray(self, number, what):
        self.tap.note("stray", gateway=number, text=what)

    def all_in(self):
        return all(place.taken for place in self.places)

    def sweep(self):
        due = self.loop.now() - IDLE
        for place in self.places:
            place.sweep(due)
        self.loop.after(SWEEP, self.sweep)
