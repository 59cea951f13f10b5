"""Stand-in clients of the platform: open-loop arrivals to many gateways, and what came of each, on a tap.

A task's id is the `i` of its request, new with each try; `first` is that of its first try. Clients give up at
their limit, a few leave early; after a refusal some try again, staying away as long as they were told.
"""

import base64
import random
from itertools import accumulate
from typing import NamedTuple

from gaproute.standins.platform.gateway_pool import GatewayPool
from gaproute.standins.platform.rpc_connection import DECLINED
from gaproute.standins.tap_flusher import beat

MILLI, SECOND = 1_000_000, 1_000_000_000
GRACE = 50 * MILLI  # by which every time limit is longer on sockets: the platform's rule
READY = 30 * SECOND  # after which clients come although not all gateways are in
LOOK = 50 * MILLI
AFTER = 1500 * MILLI  # for what comes after the final answers
STATUS = {"delivered": 200, "declined": 503, "scrapped": 502}  # as the judge reads them


class PlatformRequestClass(NamedTuple):
    """A track as clients know it; its functions are the models of that track."""

    name: str
    share: float  # of the tasks
    limit: int  # ns over all tries
    pure: bool = False  # may be tried again also after a scrapping


class PlatformTraffic(NamedTuple):
    rate: float = 100.0  # first tries a second, over all gateways
    patience: tuple[float, float] = (0.6, 1.0)  # of the limit, after which a try is given up
    retries: int = 1
    impatient: float = 0.01  # of the tasks: their clients leave early
    zipf: float = 1.1  # popularity of a track's functions
    payload: int = 200  # bytes of a body
    shared: int = 4  # requests on one connection before another is opened
    links: int = 16  # connections to one gateway at most
    weights: tuple = ()  # share of the traffic by gateway; all alike where there are none
    memory: int = 512  # MB of a copy, as requests say


class PlatformClients:
    """`say` is told when the first task comes; then `length` ns of arrivals."""

    def __init__(self, loop, gateways, models, kinds, habits, seed, tap, length, say):
        self.loop, self.kinds, self.habits, self.tap, self.say = loop, kinds, habits, tap, say
        self.random, self.seed = random.Random(seed), seed
        self.shares = [kind.share for kind in kinds]
        self.models = {kind.name: [model for model in models if model.track == kind.name] for kind in kinds}
        self.ranks = {
            name: list(accumulate(1 / (rank + 1) ** habits.zipf for rank in range(len(each))))
            for name, each in self.models.items()
        }
        self.extras = {
            model.name: f"memory_mb:{habits.memory};lanes:{model.lanes};load_ms:{model.start // MILLI}"
            for model in models
        }
        self.places = GatewayPool(loop, gateways, habits, self.random, tap)
        self.arg = base64.b64encode(b"x" * habits.payload).decode()
        self.rate, self.count, self.open, self.hot = habits.rate, 0, 0, 0.0
        self.length, self.until, self.done = length, None, False
        self.latest = loop.now() + READY
        beat(loop, tap)
        self.wait()

    def wait(self):
        """Until all gateways are in."""
        now = self.loop.now()
        if self.places.all_in() or now >= self.latest:
            self.next, self.until = now, now + self.length
            self.tap.note("begun")
            self.say({"begun": now})
            self.arrive()
            self.look()
        else:
            self.loop.after(LOOK, self.wait)

    def arrive(self):
        now = self.loop.now()
        while self.next <= now and self.next < self.until:
            self.begin()
            self.next += round(self.random.expovariate(self.rate) * SECOND)
        if self.next < self.until:
            self.loop.at(self.next, self.arrive)
        else:
            self.done = True

    def look(self):
        if self.done and self.open == 0:
            self.tap.note("done")
            self.tap.flush()
            self.loop.after(AFTER, self.loop.stop)
        else:
            self.loop.after(LOOK, self.look)

    def begin(self):
        kind = self.random.choices(self.kinds, self.shares)[0]
        models = self.models[kind.name]
        model = self.random.choices(models, cum_weights=self.ranks[kind.name])[0]
        if self.hot and self.random.random() < self.hot:
            model = models[-1]
        PlatformRequest(self, kind, model, self.new()).ask()

    def new(self):
        """16 hex digits that no other task of this day has."""
        self.count += 1
        return f"{self.seed & 0xFFFFFF:06x}{self.count:010x}"

    def command(self, told):
        on = told.get("on", True)
        match told.get("trouble") or told.get("do"):
            case "burst":
                self.rate = self.habits.rate * (told.get("factor", 2.0) if on else 1.0)
            case "hot":
                self.hot = told.get("share", 0.2) if on else 0.0
            case "weights":
                self.places.weigh(told["weights"] if on else self.habits.weights)
            case "leaving":
                self.places.places[told["gateway"]].leaving()


class PlatformRequest:
    """One task over all its tries."""

    def __init__(self, clients, kind, model, name):
        self.clients, self.kind, self.model = clients, kind, model
        self.first, self.end = name, clients.loop.now() + kind.limit
        self.tries = 0
        clients.open += 1

    def ask(self):
        """A try of its own, under a new id."""
        clients, now = self.clients, self.clients.loop.now()
        self.name, self.asked = self.first if not self.tries else clients.new(), now
        self.patience = self.end - now
        if not self.tries:
            self.patience = round(self.kind.limit * clients.random.uniform(*clients.habits.patience))
        self.refused, self.crossed, self.place, self.link = (), False, None, None
        self.timers = [clients.loop.after(self.patience + GRACE, self.leave, "overdue")]
        if clients.random.random() < clients.habits.impatient:
            self.timers.append(
                clients.loop.after(round(self.patience * clients.random.random()), self.leave, "left")
            )
        self.send()

    def send(self):
        """Over a connection to a gateway that is in and has not refused it."""
        clients = self.clients
        self.place = clients.places.pick(self.refused)
        self.link = self.place and self.place.link()
        if self.link is None:
            clients.tap.note(
                "unreachable",
                id=self.name,
                first=self.first,
                track=self.kind.name,
                asked=self.asked,
                tries=self.tries,
            )
            self.close()
            return
        left = self.asked + self.patience - clients.loop.now()
        params = {
            "i": self.name,
            "d": max(1, left // MILLI),
            "o": self.model.name,
            "arg": clients.arg,
            "extras": clients.extras[self.model.name],
        }
        self.number = self.link.ask({"method": self.kind.name, "params": params}, self.answered, self.lost)

    def lost(self, what):
        """Its connection ended first."""
        if what == "refused":
            self.clients.tap.note("refused", id=self.name, gateway=self.place.number)
            self.place.dead()
            self.refused += (self.place.number,)
            self.send()
        elif what == "unsent" or what == "crossed" and not self.crossed:
            self.crossed = True
            self.send()
        else:
            self.note("broken", text="the connection ended")
            self.close()

    def leave(self, what):
        self.link.withdraw(self.number)
        self.note(what)
        self.close()

    def answered(self, message):
        fault = message.get("error")
        if fault is None:
            outcome = "delivered"
            if not made_for(message.get("result"), self.name):
                self.clients.places.stray(self.place.number, f"{self.name}: a body that no host made for it")
        else:
            outcome = "declined" if fault.get("code") == DECLINED else "scrapped"
        self.note(
            "answer",
            status=STATUS[outcome],
            outcome=outcome,
            handed=self.asked,
            why=fault and fault.get("message"),
        )
        habits, now = self.clients.habits, self.clients.loop.now()
        again = outcome == "declined" or self.kind.pure and outcome == "scrapped"
        wait = round(
            ((fault or {}).get("data") or {}).get("w", 0) * MILLI * self.clients.random.uniform(1.0, 1.5)
        )
        self.stop()
        if again and self.tries < habits.retries and now + wait < self.end:
            self.tries += 1
            self.clients.loop.after(wait, self.ask)
        else:
            self.close()

    def note(self, what, **told):
        self.clients.tap.note(
            what,
            id=self.name,
            first=self.first,
            track=self.kind.name,
            gateway=self.place.number,
            asked=self.asked,
            patience=self.patience,
            tries=self.tries,
            **told,
        )

    def stop(self):
        for timer in self.timers:
            timer.cancel()

    def close(self):
        self.stop()
        self.clients.open -= 1


def made_for(result, name):
    """Whether a stand-in host made this answer for that task: its body ends with the task's id."""
    try:
        return base64.b64decode(result["arg"]).decode().endswith(f" {name}")
    except (TypeError, KeyError, ValueError):
        return False
