"""Stand-in clients: open-loop arrivals of KServe v2 calls to several gateways, and what came of each, on a
tap.

Each task is told apart by its `id` in the KServe body, which passes through the gateway untouched. A client
gives up at its limit; a few leave early; after a decline it may try again, heeding the advice, with a new id.
"""

import random
from typing import NamedTuple

import msgspec

from gaproute.http1 import Exchange
from gaproute.loop.addresses import address

MILLI, SECOND = 1_000_000, 1_000_000_000
LINKS = 64  # kept connections to one gateway
LEAST = 50 * MILLI  # that a further try has left: with less no answer could come in time
CROSS = 50 * MILLI  # a request may cross the close of a connection at rest for so long: it is sent once more


class KServeRequestClass(NamedTuple):
    """A track as clients know it."""

    name: str
    share: float  # of the tasks
    limit: int
    models: tuple[str, ...]
    pure: bool = False  # may be tried again also after a scrapping


class KServeTraffic(NamedTuple):
    rate: float = 100.0  # first tries a second
    patience: tuple[float, float] = (0.6, 1.0)  # of the limit, after which a try is given up
    retries: int = 1
    impatient: float = 0.01  # of the tasks: their clients leave early
    zipf: float = 1.1  # popularity of a track's models
    payload: int = 200  # bytes of a body
    prefix: str = "c"  # of the tasks' names, where several processes of clients share a load


class KServeClients:
    def __init__(self, loop, gateways, kinds, habits, seed, tap, until):
        self.loop, self.kinds, self.habits, self.tap, self.until = loop, kinds, habits, tap, until
        self.gateways = [address(where) for where in gateways]
        self.random = random.Random(seed)
        self.idle = [[] for _ in gateways]
        self.rate, self.count, self.open = habits.rate, 0, 0
        self.hot = None  # (share, model): traffic drawn to one model
        self.weights = {}
        self.done = False
        self.late = 0  # of an arrival against its time, at most, ns
        self.pad = "x" * habits.payload
        self.next = loop.now()
        self.loop.soon(self.arrive)
        self.tick()

    def arrive(self):
        now = self.loop.now()
        while self.next <= now:
            self.late = max(self.late, now - self.next)
            self.next += round(self.random.expovariate(self.rate) * SECOND)
            self.begin()
        if self.next < self.until:
            self.loop.at(self.next, self.arrive)
        else:
            self.done = True

    def begin(self):
        kind = self.random.choices(self.kinds, [kind.share for kind in self.kinds])[0]
        ranks = self.weights.get(len(kind.models))
        if ranks is None:
            ranks = self.weights[len(kind.models)] = [
                1 / (rank + 1) ** self.habits.zipf for rank in range(len(kind.models))
            ]
        model = self.random.choices(kind.models, ranks)[0]
        if self.hot is not None and self.random.random() < self.hot[0]:
            model = kind.models[-1]
        self.count += 1
        name = f"{self.habits.prefix}{self.count}"
        self.ask(name, kind, model, kind.limit, 0, name, ())

    def ask(self, name, kind, model, limit, tries, first, refused, crossed=False):
        """One try. `refused`: gateways that no connection was made to; `crossed`: it met the close of a
        connection before."""
        able = [place for place in range(len(self.gateways)) if place not in refused]
        if not able or refused and limit < LEAST:
            self.tap.note(
                "unreachable", id=name, first=first, track=kind.name, asked=self.loop.now(), tries=tries
            )
            return
        place = self.random.choice(able)
        patience = round(limit * self.random.uniform(*self.habits.patience)) if tries == 0 else limit
        body = msgspec.json.encode(
            {"id": name, "inputs": [{"name": "in", "shape": [1], "datatype": "BYTES", "data": [self.pad]}]}
        )
        head = (
            f"POST /v2/models/{model}/infer HTTP/1.1\r\nHost: gateway\r\nContent-Type: application/json\r\n"
            f"Gaproute-Limit-Ms: {max(1, patience // MILLI)}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        start, link, timers = self.loop.now(), None, []
        idle = self.idle[place]
        self.open += 1

        def note(what, **told):
            self.tap.note(
                what,
                id=name,
                first=first,
                track=kind.name,
                gateway=place,
                asked=start,
                patience=patience,
                tries=tries,
                **told,
            )

        def came(answer, undelivered):
            self.open -= 1
            for timer in timers:
                timer.cancel()
            used = exchange.connection
            if answer is None and not undelivered.connected:
                self.tap.note("refused", id=name, gateway=place)
                self.ask(
                    name, kind, model, limit - (self.loop.now() - start), tries, first, (*refused, place)
                )
                return
            if answer is None:
                spent = self.loop.now() - start
                if link is not None and not undelivered.any_byte_sent:
                    self.ask(name, kind, model, limit, tries, first, refused)
                    return
                if undelivered.reset and spent <= CROSS and not crossed:  # closed with the request unread
                    self.ask(name, kind, model, limit - spent, tries, first, refused, True)
                    return
                note("broken", text=str(undelivered))
                return
            outcome = answer.headers.get(b"gaproute-outcome", b"").decode()
            if outcome == "delivered" and answer.status == 200 and not made_for(answer.body, name):
                self.tap.note("stray", gateway=place, text=f"{name}: a body that no host made for it")
            note("answer", status=answer.status, outcome=outcome, handed=start)
            if used.open and len(idle) < LINKS:
                used.on_idle_end = ended
                idle.append(used)
            elif used.open:
                used.abort()
            again = outcome == "declined" or kind.pure and outcome == "scrapped"
            if again and tries < self.habits.retries:
                wait = int(answer.headers.get(b"gaproute-retry-after-ms", b"0")) * MILLI
                wait = round(wait * self.random.uniform(0.5, 1.5))
                left = limit - (self.loop.now() - start) - wait
                if left >= LEAST:
                    self.loop.after(wait, self.ask, f"{name}r", kind, model, left, tries + 1, first, ())

        def ended(link):
            if link.unrequested_response:
                self.tap.note("stray", gateway=place)
            if link in idle:
                idle.remove(link)

        def leave(what):
            if not exchange.finished:
                self.open -= 1
                exchange.cancel()
                note(what)

        while idle and link is None:
            link = idle.pop()
            link.on_idle_end = None
            if not link.stream.is_quiet():
                link.abort()
                link = None
        exchange = Exchange(self.loop, head.encode() + body, came)
        timers.append(self.loop.after(patience, leave, "overdue"))
        if self.random.random() < self.habits.impatient:
            timers.append(self.loop.after(round(patience * self.random.random()), leave, "left"))
        if link is not None:
            exchange.send_on(link)
        else:
            exchange.connect(self.gateways[place], 250 * MILLI, 65536, 1 << 24)

    def tick(self):
        self.tap.flush()
        if self.done and self.open == 0:
            self.tap.note("done", late=self.late)
            self.tap.flush()
            self.loop.after(1500 * MILLI, self.loop.stop)  # for what comes after the final answers
            return
        self.loop.after(50 * MILLI, self.tick)

    def command(self, told):
        if told.get("trouble") == "burst":
            self.rate = self.habits.rate * (told.get("factor", 2.0) if told.get("on", True) else 1.0)
        elif told.get("trouble") == "hot":
            self.hot = (told.get("share", 0.2), None) if told.get("on", True) else None


def made_for(body, name):
    """Whether a stand-in host made this answer for that task."""
    try:
        return msgspec.json.decode(body, type=dict).get("id") == name
    except msgspec.MsgspecError:
        return False
