"""A stand-in host of the platform: lines of JSON on the model of `gaproute.standins.model_server`.

Beside the troubles of `machine` it knows: shut (closes connections once they have been answered on), red
(says so when probed), drain (takes no load orders), vanish (reads and says nothing, closes nothing).
A line {"type":"whose","gateway":NAME} first on a connection says who speaks: a cluster harness
that stands between may write it, as no line of the protocol tells a host which gateway ordered a load.
"""

import base64

import msgspec

from gaproute.loop import Listener, Stream
from gaproute.standins.model_server import server
from gaproute.standins.model_server.fetching import fetcher
from gaproute.standins.model_server.instances import MOST
from gaproute.standins.model_server.server import ModelServer

MILLI, SECOND = 1_000_000, 1_000_000_000
SWEEP = SECOND  # between looks for idle connections
LINE = 256 * 1024  # bytes of a line: a body of 16 KiB in base64 takes 22, and the rest little
WORDS = {
    server.FULL: "overload",
    server.ERROR: "crashed",
    server.NO_LOAD: "crashed",
    server.DONE: "served",
    server.CUT: "served",
}
STATUS = {"served": 200, "overload": 429, "crashed": 500, "not_here": 404}  # as the judge reads them
NOTES = "?wcjf"  # by what a task found: a copy, a load begun, a load awaited, a load failed


class GatewayConnection:
    """A connection that a gateway opened."""

    def __init__(self, host, sock, number):
        self.host, self.number, self.gateway = host, number, ""
        self.open, self.buffer = {}, b""  # id: HostRequest
        self.used = host.loop.now()
        self.stream = Stream(host.loop, sock, self.bytes, lambda error: self.ended())

    def bytes(self, data):
        *lines, self.buffer = (self.buffer + data).split(b"\n")
        self.used = self.host.loop.now()
        for line in lines:
            if self.stream.open:
                try:
                    self.host.heard(self, msgspec.json.decode(line))
                except (msgspec.DecodeError, KeyError, TypeError, ValueError, AttributeError) as fault:
                    self.host.tap.note("void", why=repr(fault)[:200])
                    self.abort()
        if len(self.buffer) > LINE:
            self.abort()

    def say(self, kind, name, meta, data=None):
        if self.host.silent or not self.stream.open:
            return
        told = {"type": kind, "req": name, "meta": meta}
        self.stream.write(msgspec.json.encode(told if data is None else told | {"data": data}) + b"\n")
        self.used = self.host.loop.now()

    def abort(self):
        self.stream.abort()
        self.ended()

    def ended(self):
        """All that is open on it is given up."""
        self.host.links.pop(self.number, None)
        opened, self.open = self.open, {}
        for work in opened.values():
            if work is not None:
                self.host.model_server.left(work)


class PlatformHost:
    """`meter`: names of the figures that probes tell, with answers too where `with_answers`."""

    def __init__(
        self,
        loop,
        where,
        make,
        models,
        store,
        seed,
        tap,
        warm=False,
        meter=("cpu_share", "x0"),
        with_answers=False,
    ):
        self.loop, self.make, self.models, self.tap = loop, make, models, tap
        self.meter, self.with_answers, self.silent = meter, with_answers, False
        self.links, self.count = {}, 0
        self.model_server = ModelServer(loop, make, models, fetcher(loop, store), seed, tap, warm)
        self.listener = Listener(loop, where, self.accept)
        self.address = self.listener.address
        self.model_server.fell = self.reset_all
        self.model_server.start()
        self.sweeper = loop.after(SWEEP, self.sweep)

    def accept(self, sock):
        self.count += 1
        self.links[self.count] = GatewayConnection(self, sock, self.count)
        if self.silent:
            self.links[self.count].stream.pause()

    def sweep(self):
        due = self.loop.now() - self.make.idle_close
        for link in [link for link in self.links.values() if not link.open and link.used < due]:
            link.stream.close()
            link.ended()
        self.sweeper = self.loop.after(SWEEP, self.sweep)

    # What gateways say

    def heard(self, link, told):
        name = str(told.get("req", ""))
        match told["type"]:
            case "go":
                self.task(link, name, told["meta"])
            case "halt":
                work = link.open.pop(name, None)
                self.tap.note("halt", id=name)
                if work is not None:
                    self.model_server.left(work)
            case "ping":
                link.say(self.colour(), name, {})
            case "stat":
                link.say(self.colour(), name, self.report())
            case "stage":
                self.order(link, name, told["meta"])
            case "purge":
                self.model_server.pool.unload_idle(name)
            case "whose":
                link.gateway = str(told["gateway"])
            case _:
                raise ValueError(told["type"])

    def colour(self):
        return "red" if "red" in self.model_server.faults else "green"

    def report(self):
        waiting, in_hand, cores, memory = self.model_server.figures()
        known = {
            "pending": waiting,
            "queue": waiting,
            "busy_reqs": in_hand,
            "inflight": in_hand,
            "cpu_share": cores,
            "util": cores,
            "x0": memory,
        }
        return {"meter": ";".join(f"{name}:{known[name]:.3g}" for name in self.meter if name in known)}

    def task(self, link, name, meta):
        model = self.models.get(meta["item"])
        if name in link.open or not float(meta["limit"]) > 0 or model and model.track != meta["cls"]:
            raise ValueError(f"{name}: {meta}")
        if model is None:
            self.tap.note("said", id=name, status=STATUS["not_here"])
            link.say("not_here", name, {})
            return
        limit = round(float(meta["limit"]) * MILLI)
        work = self.model_server.take(
            name, name, model, link.number, lambda work, end: self.end(link, work, end), limit
        )
        if not self.model_server.down and link.stream.open and work is not None:
            link.open[name] = work

    def end(self, link, work, end):
        if end == server.RESET:
            link.abort()
            return
        if link.open.get(work.id) is work:
            del link.open[work.id]
        elif end not in (server.FULL, server.ERROR):
            return  # halted, or its connection has gone: no answer
        meta = {"tell": NOTES[work.found], "queue_fn": work.alike}
        if self.with_answers:
            meta |= self.report()
        kind = WORDS[end]
        data = base64.b64encode(f"{self.make.name} {work.id}".encode()).decode()
        if end == server.CUT:
            whole = msgspec.json.encode({"type": kind, "req": work.id, "meta": meta, "data": data})
            link.stream.write(whole[: len(whole) // 2])
            link.stream.close()
            link.ended()
            return
        self.tap.note("said", id=work.id, status=STATUS[kind])
        link.say(kind, work.id, meta, data if kind == "served" else None)
        if "shut" in self.model_server.faults:
            self.loop.soon(self.shut, link)

    def order(self, link, tag, meta):
        name, count = meta["item"], int(meta["copies"])
        if name not in self.models:
            raise ValueError(name)
        if count <= 0:
            copies = self.model_server.pool.instances.get(name)
            link.say("served", tag, {"copies": copies.stand if copies else 0})
            return
        draining = "drain" in self.model_server.faults
        stands = None if draining else self.model_server.order(name, count, link.gateway, link.number)
        if stands is None:
            if draining:
                self.tap.note("order", model=name, count=count, gateway=link.gateway, link=link.number)
            link.say("overload", tag, {"copies": self.model_server.pool.of(name).stand})
            return
        link.open[tag] = None  # not idle while it is under way
        stands.then(lambda stands: self.stands(link, tag, count, stands.value))

    def stands(self, link, tag, count, copies):
        link.open.pop(tag, None)
        if copies is not None:
            link.say("served" if copies >= min(count, MOST) else "crashed", tag, {"copies": copies})

    # Ends and troubles

    def shut(self, link):
        if link.stream.open and not link.open:
            link.stream.close()
            link.ended()

    def reset_all(self):
        self.listener.close()
        for link in list(self.links.values()):
            link.abort()

    def crash(self):
        """Dies as a process does: connections are reset, nothing listens any more."""
        self.sweeper.cancel()
        self.model_server.stop()
        self.reset_all()

    def command(self, told):
        self.model_server.command(told)
        if told.get("trouble") == "vanish":
            self.silent = told.get("on", True)
            for link in list(self.links.values()):
                link.stream.pause() if self.silent else link.stream.resume()
