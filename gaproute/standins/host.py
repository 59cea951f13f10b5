"""A stand-in model host: KServe v2 REST, the repository extension, ORCA reports, and troubles by command.

Cores are shared by the tasks at work; a model's copy runs `lanes` tasks at a time and takes memory; an idle
copy goes after `keep`, or sooner when a load needs the room. A load is a fetch from the store, then a start.
A host that has just started can do a part of its work; sent far more than that for `tip` it falls over and
stays down.

Troubles come as lines of JSON on standard input: {"trouble": NAME, "share": 0..1, "factor": x, "track": T,
"on": true or false}. Names: hang (takes work, answers nothing), lost (does the work, its answer never comes),
fail (quick errors), slow (`factor` times), refuse (429), cut (closes in the middle of the answer), reset
(closes kept connections as tasks come), shut (closes idle connections at once), heavy (a share of tasks costs
`factor` times the work).
"""
import random
from collections import Counter
from typing import NamedTuple
from urllib.parse import unquote

import msgspec

from gaproute.http1 import Exchange, Limits, Server, render
from gaproute.loop import Promise
from gaproute.loop.streams import address

MILLI, SECOND = 1_000_000, 1_000_000_000


class Make(NamedTuple):
    """What a host is made of."""
    name: str
    cores: float = 4
    speed: float = 1.0
    copies: int = 16            # copies that its memory holds
    queue: int = 64             # tasks waiting for a lane beyond which it answers 429
    loads: int = 4              # loads at a time
    keep: int = 10 * SECOND
    cold_share: float = 0.2
    cold_time: int = 15 * SECOND
    fall_multiple: float = 3.0
    tip: int = 1500 * MILLI
    idle_close: int = 60 * SECOND
    adds_copies: bool = True    # starts another copy by itself when all lanes are taken


class Model(NamedTuple):
    """What all hosts know of a model."""
    name: str
    track: str
    lanes: int
    work: int                   # mean core time of a task, ns
    start: int                  # the start, after the fetch, ns


class Work:
    """A task that has come."""
    __slots__ = ("request", "model", "left", "found", "alike", "fate", "id", "mark")

    def __init__(self, request, model, left, alike, name):
        self.request, self.model, self.left, self.alike, self.id = request, model, left, alike, name
        self.found, self.fate = 1, None


class Copies:
    """The copies of one model here."""

    def __init__(self):
        self.stand = self.loading = self.busy = 0
        self.idle_since = 0
        self.waiting = []          # Work


class Host:
    def __init__(self, loop, where, make, models, store, seed, tap, warm=False):
        self.loop, self.make, self.models, self.store, self.tap = loop, make, models, store, tap
        self.random = random.Random(seed)
        self.began = loop.now() - (make.cold_time if warm else 0)
        self.copies = {}           # model name: Copies
        self.work = []             # tasks at work
        self.at, self.timer = loop.now(), None
        self.loads, self.load_queue = 0, []
        self.troubles = {}         # name: its command
        self.down = False
        self.arrived = []          # (time, work) of the last `tip`, while cold
        self.counts = Counter()
        limits = Limits(pipelined=4, idle_time=make.idle_close)
        if warm:       # a host that ran before holds what it was asked for lately
            for name in self.random.sample(sorted(models), min(len(models), make.copies - 2)):
                self.copies[name] = Copies()
                self.copies[name].stand, self.copies[name].idle_since = 1, loop.now()
        self.server = Server(loop, where, self.handle, limits)
        self.address = self.server.address
        tap.note(
            "up",
            host=make.name,
            cores=make.cores,
            speed=make.speed,
            warm=warm,
            cold_share=make.cold_share,
            cold_time=make.cold_time,
            fall_multiple=make.fall_multiple,
            tip=make.tip,
        )
        self.tick()

    # Capacity

    def power(self, now):
        if now >= self.began + self.make.cold_time:
            return 1.0
        return self.make.cold_share + (1 - self.make.cold_share) * (now - self.began) / self.make.cold_time

    def rate(self, now):
        """Core time that each task at work gets in one ns."""
        slow = self.troubles.get("slow", {}).get("factor", 1.0)
        at_work = len(self.work)
        full = self.make.cores * self.make.speed * self.power(now) / slow
        return min(full / at_work, self.make.speed / slow)

    # What comes in

    def handle(self, request):
        if self.down:
            request.link.stream.abort()
            request.link.gone()
            return
        parts = [unquote(part) for part in request.target.decode("latin-1").split("/")[1:]]
        match parts:
            case ["v2", "health", _]:
                self.server.answer(request, 200, self.report(None), b'{"ready":true}')
            case ["v2", "models", name, *_, "infer"] if name in self.models:
                self.infer(request, self.models[name])
            case ["v2", "repository", "models", name, "load"] if name in self.models:
                self.order(request, name)
            case ["v2", "repository", "models", name, "unload"] if name in self.models:
                self.unload_idle(name)
                self.server.answer(request, 200, (), b"{}")
            case ["v2", "repository", "index"]:
                index = [
                    {"name": name, "state": "READY", "reason": ""}
                    for name, copies in self.copies.items()
                    if copies.stand
                ]
                self.server.answer(request, 200, (), msgspec.json.encode(index))
            case _:
                self.server.answer(request, 404, (), b'{"error":"unknown model or path"}')

    def report(self, work):
        now = self.loop.now()
        named = {"queue": sum(len(copies.waiting) for copies in self.copies.values()),
                 "in_hand": len(self.work) + sum(len(copies.waiting) for copies in self.copies.values())}
        if work is not None:
            named |= {"copy": work.found, "alike": work.alike}
        held = sum(copies.stand + copies.loading for copies in self.copies.values())
        told = {"cpu_utilization": min(1.0, len(self.work) / (self.make.cores * self.power(now))),
                "mem_utilization": held / self.make.copies, "named_metrics": named}
        return ((b"endpoint-load-metrics", b"JSON " + msgspec.json.encode(told)),)

    def infer(self, request, model):
        now = self.loop.now()
        length = request.headers.get(b"inference-header-content-length")
        try:
            told = msgspec.json.decode(request.body if length is None else request.body[:int(length)])
            name = str(told.get("id", "")) if isinstance(told, dict) else ""
        except (msgspec.DecodeError, ValueError):
            name = request.headers.get(b"x-request-id", b"").decode("latin-1")
        mark = request.headers.get(b"gaproute-task", b"").decode("latin-1")
        amount = self.random.gammavariate(4, model.work / 4)
        copies = self.copies.setdefault(model.name, Copies())
        heavy = self.troubles.get("heavy")
        if (
            heavy
            and heavy.get("track", model.track) == model.track
            and self.random.random() < heavy.get("share", 0.02)
        ):
            amount *= heavy.get("factor", 10)
        alike = copies.busy + len(copies.waiting)
        self.tap.note("task", id=name, mark=mark, track=model.track, work=model.work, link=id(request.link))
        self.counts["tasks"] += 1
        self.weigh(now, model.work)
        if self.down:
            return
        fate = self.fate(model.track)
        if fate == "refuse" or len(copies.waiting) >= self.make.queue:
            self.say(request, 429, "full", name)
            return
        if fate == "fail":
            self.say(request, 500, "error", name)
            return
        if fate == "reset":
            self.tap.note("cut", id=name)
            request.link.stream.abort()
            request.link.gone()
            return
        work = Work(request, model, amount, alike, name)
        work.fate, work.mark = fate, mark
        if fate == "hang":
            return
        request.left = lambda: self.left(work)
        self.admit(work, copies)
        self.plan()

    def fate(self, track):
        for name in ("hang", "refuse", "fail", "reset", "lost", "cut"):
            trouble = self.troubles.get(name)
            if (
                trouble
                and trouble.get("track", track) == track
                and self.random.random() < trouble.get("share", 1)
            ):
                return name
        return None

    def say(self, request, status, what, name, headers=(), body=None):
        self.tap.note("said", id=name, status=status)
        self.server.answer(request, status, headers, body or msgspec.json.encode({"error": what}))
        if "shut" in self.troubles:
            self.loop.soon(request.link._shut)

    def weigh(self, now, amount):
        """Falls over when more than so many times what it can do comes within `tip`, while it is cold."""
        if now >= self.began + self.make.cold_time:
            return
        self.arrived = [(at, each) for at, each in self.arrived if at > now - self.make.tip] + [(now, amount)]
        able = self.make.cores * self.make.speed * self.power(now) * self.make.tip
        if sum(each for _, each in self.arrived) > self.make.fall_multiple * able:
            self.tap.note("fell over")
            self.down = True
            self.server.close()

    # Lanes and copies

    def admit(self, work, copies):
        self.advance()
        if copies.busy < copies.stand * work.model.lanes:
            copies.busy += 1
            self.work.append(work)
            return
        work.found = 3 if copies.loading else 1 if copies.stand else 2
        copies.waiting.append(work)
        wanted = -(-(copies.busy + len(copies.waiting)) // work.model.lanes)
        if copies.stand + copies.loading == 0 or \
                self.make.adds_copies and copies.stand + copies.loading < wanted and not copies.loading:
            self.load(work.model)

    def load(self, model):
        held = sum(copies.stand + copies.loading for copies in self.copies.values())
        if held >= self.make.copies and not self.make_room():
            return False
        self.copies.setdefault(model.name, Copies()).loading += 1
        self.load_queue.append(model)
        self.begin_loads()
        return True

    def make_room(self):
        idle = [(copies.idle_since, name) for name, copies in self.copies.items()
                if copies.stand and not copies.busy and not copies.waiting]
        if idle:
            self.copies[min(idle)[1]].stand -= 1
        return bool(idle)

    def begin_loads(self):
        while self.load_queue and self.loads < self.make.loads:
            self.loads += 1
            model = self.load_queue.pop(0)
            self.loop.spawn(self.loading(model))

    def loading(self, model):
        """Fetch, then start; a fetch that is turned away is tried again a little later."""
        for _ in range(8):
            came = Promise()
            data = (
                b"GET /models/%s HTTP/1.1\r\nHost: store\r\nConnection: close\r\n\r\n" % model.name.encode()
            )
            Exchange(self.loop, data, lambda answer, fault: came.set(answer)).open(
                address(self.store), SECOND, 65536, 1 << 20)
            answer = yield came
            if answer is not None and answer.status == 200:
                break
            yield self.loop.sleep(round(self.random.uniform(0.1, 0.4) * SECOND))
        else:
            self.load_failed(model)
            return
        yield self.loop.sleep(round(model.start / self.make.speed))
        copies = self.copies[model.name]
        self.loads -= 1
        copies.loading -= 1
        copies.stand += 1
        copies.idle_since = self.loop.now()
        self.tap.note("loaded", model=model.name)
        self.advance()
        self.fill(model, copies)
        self.begin_loads()
        self.plan()

    def load_failed(self, model):
        """The store turned the fetch away again and again: what waits for this load alone fails."""
        copies = self.copies[model.name]
        self.loads -= 1
        copies.loading -= 1
        self.tap.note("load failed", model=model.name)
        if not copies.stand + copies.loading:
            waiting, copies.waiting = copies.waiting, []
            for work in waiting:
                work.request.left = None
                work.found = 4
                self.say(work.request, 500, "the load failed", work.id, self.report(work))
        self.begin_loads()

    def fill(self, model, copies):
        while copies.waiting and copies.busy < copies.stand * model.lanes:
            copies.busy += 1
            self.work.append(copies.waiting.pop(0))

    def order(self, request, name):
        try:
            told = msgspec.json.decode(request.body or b"{}")
            count = int(told.get("parameters", {}).get("copies", 1))
        except (msgspec.DecodeError, ValueError, AttributeError, TypeError):
            self.server.answer(request, 400, (), b'{"error":"parameters.copies is a number"}')
            return
        gateway = request.headers.get(b"gaproute-gateway", b"").decode("latin-1")
        self.tap.note("order", model=name, count=count, gateway=gateway)
        copies = self.copies.setdefault(name, Copies())
        copies.idle_since = self.loop.now()
        while copies.stand + copies.loading < min(count, 16):
            if not self.load(self.models[name]):
                self.server.answer(request, 409, (), b'{"error":"no room"}')
                return
        self.loop.spawn(self.ordered(request, copies, count))

    def ordered(self, request, copies, count):
        while copies.stand < count and copies.loading:
            yield self.loop.sleep(20 * MILLI)
        self.server.answer(request, 200, (), msgspec.json.encode({"copies": copies.stand}))

    def unload_idle(self, name):
        copies = self.copies.get(name)
        if copies is not None and not copies.busy and not copies.waiting:
            copies.stand = 0

    # Work done

    def advance(self):
        now = self.loop.now()
        if self.work:
            done = self.rate(now) * (now - self.at)
            for work in self.work:
                work.left -= done
        self.at = now

    def plan(self):
        if self.timer is not None:
            self.timer.cancel()
        if self.work:
            left = max(0.0, min(work.left for work in self.work))
            self.timer = self.loop.after(round(left / self.rate(self.loop.now())) + 10_000, self.serve)

    def serve(self):
        self.advance()
        for work in [work for work in self.work if work.left <= 10_000]:
            self.work.remove(work)
            self.finish(work)
        self.plan()

    def finish(self, work):
        copies = self.copies[work.model.name]
        copies.busy -= 1
        copies.idle_since = self.loop.now()
        self.fill(work.model, copies)
        self.counts["done"] += 1
        work.request.left = None
        self.tap.note("ran", id=work.id, found=work.found, mark=work.mark)
        if work.fate == "lost":
            return
        body = msgspec.json.encode({"model_name": work.model.name, "id": work.id, "outputs": [
            {"name": "at", "shape": [1], "datatype": "BYTES", "data": [self.make.name]}]})
        headers = ((b"Content-Type", b"application/json"),) + self.report(work)
        if work.fate == "cut":
            self.tap.note("cut", id=work.id)
            whole = render(200, headers, body, False)
            work.request.link.stream.write(whole[:len(whole) // 2])
            work.request.link._shut()
            return
        self.say(work.request, 200, "", work.id, headers, body)

    def left(self, work):
        """The gateway took the relay back: what waits is dropped, what is at work runs on."""
        copies = self.copies[work.model.name]
        if work in copies.waiting:
            copies.waiting.remove(work)

    def tick(self):
        """Idle copies go after `keep`; the tap is written out."""
        now = self.loop.now()
        for copies in self.copies.values():
            if (
                copies.stand
                and not copies.busy
                and not copies.waiting
                and now - copies.idle_since > self.make.keep
            ):
                copies.stand = 0
        self.tap.flush()
        self.loop.after(50 * MILLI, self.tick)

    # Commands

    def command(self, told):
        name = told.get("trouble")
        self.tap.note("trouble", **{"name": name, "on": told.get("on", True)})
        self.tap.flush()
        self.advance()
        if told.get("on", True):
            self.troubles[name] = told
        else:
            self.troubles.pop(name, None)
        self.plan()
