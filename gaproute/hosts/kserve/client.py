"""The hosts as sockets: kept connections, relays, orders and probes. What it sees it reports; it chooses
nothing.

`decisions.connections.pooling` chooses the kept connection, `results` tells what an end proves.
"""

from typing import NamedTuple

from gaproute.core.in_flight import AttemptResult
from gaproute.hosts import orca, results
from gaproute.hosts.attempts import UnsentAttempt
from gaproute.hosts.kserve import messages
from gaproute.http1 import Exchange
from gaproute.interface import Idempotency, Result, State
from gaproute.interface.call import Answer
from gaproute.loop.streams import address

SECOND = 1_000_000_000
PASSED_HEADERS = (b"content-type", b"inference-header-content-length", b"content-encoding")


class ClientSettings(NamedTuple):
    """How hosts are reached."""

    connect_time: int = 250_000_000
    probe_time: int = 250_000_000
    order_time: int = 10 * SECOND
    connections: int = 256  # to one host; a relay beyond them is not sent and counts as full
    answer_limit: int = 64 << 20  # bytes of one answer
    head_limit: int = 65536


DEFAULT_SETTINGS = ClientSettings()


class HostConnections:
    __slots__ = ("name", "where", "text", "idle", "open", "unsent", "active")

    def __init__(self, name, where):
        self.name, self.active = name, True
        self.idle, self.open = [], set()  # links at rest, the longest first; all links
        self.unsent = {}  # exchanges of which no byte has been handed over, as keys
        self.move(where)

    def move(self, where):
        self.text, self.where = where.encode(), address(where)


class SentAttempt:
    """The core's hold of a relay. `forwards`: another gateway has it, and no host yet."""

    def __init__(self, hosts, host, exchange, forwards=False):
        self.hosts, self.host, self.exchange, self.forwards = hosts, host, exchange, forwards

    @property
    def started(self):
        return self.exchange.link is not None

    @property
    def cancellable(self):
        """Whether it is taken back, though begun, where nobody waits for it any more."""
        return self.forwards or not self.exchange.delivered

    def cancel(self):
        self.hosts.give_up(self.host, self.exchange)


class KServeClient:
    forwards = False  # whether what is reached are other gateways

    def __init__(self, loop, pooling, settings=DEFAULT_SETTINGS, gateway="gaproute"):
        self.loop, self.pooling, self.settings, self.gateway = loop, pooling, settings, gateway.encode()
        self.hosts = {}
        self.opened = self.reused = self.reuse_races = 0
        self.sweep()

    def update(self, rows, *, complete):
        """The host list. From now on nothing more goes to hosts that drain or are gone, also what waits to be
        handed over; what they hold runs on."""
        for row in rows:
            host = self.hosts.get(row.listed.host)
            if host is None:
                host = self.hosts[row.listed.host] = HostConnections(row.listed.host, row.address)
            elif row.address.encode() != host.text:
                self.rest(host)
                host.move(row.address)
            host.active = row.listed.state is State.ACTIVE
        if complete:
            named = {row.listed.host for row in rows}
            for host in self.hosts.values():
                host.active = host.active and host.name in named
        for host in list(self.hosts.values()):
            if host.active:
                continue
            self.rest(host)
            for exchange in list(host.unsent):
                exchange.abandon("the host drains or is gone")
            host.unsent.clear()
            if complete and not host.open and host.name not in named:
                del self.hosts[host.name]
                self.pooling.gone(host.name)

    def rest(self, host):
        for link in host.idle:
            link.drop()
            host.open.discard(link)
        host.idle = []

    # Connections

    def exchange(self, host, data, effect, done, until=None, wanted=None):
        """One request on a connection that may be trusted with it, else on a new one; None: too many stand.

        `done(answer, undelivered)`, never at once.
        """
        now = self.loop.now()
        link = self.kept(host, effect, now)

        def came(answer, undelivered):
            host.unsent.pop(exchange, None)
            used = exchange.link
            if used is not None:
                if used.open:
                    used.on_idle_end = lambda link: self.idle_ended(host, link)
                    host.idle.append(used)
                else:
                    host.open.discard(used)
            if (
                undelivered is not None
                and undelivered.handed
                and link is not None
                and self.loop.now() - exchange.started < SECOND
            ):
                self.reuse_races += 1  # perhaps closed by the host just as it was used
            done(answer, undelivered)

        exchange = Exchange(self.loop, data, came, until, wanted)
        if link is not None:
            self.reused += 1
            return exchange.on(link)
        if len(host.open) >= self.settings.connections:
            return None
        self.opened += 1

        def linked(link):
            host.unsent.pop(exchange, None)
            host.open.add(link)

        host.unsent[exchange] = None
        return exchange.open(
            host.where,
            self.settings.connect_time,
            self.settings.head_limit,
            self.settings.answer_limit,
            linked,
        )

    def kept(self, host, effect, now):
        """The kept connection that rested least, where it may be used and shows no sign of an end."""
        while host.idle:
            link = host.idle[-1]
            rested = now - link.used
            if rested > self.pooling.safe_rest(now, host.name, effect, link.told_idle):
                return None
            host.idle.pop()
            link.on_idle_end = None
            if (
                effect is Idempotency.IDEMPOTENT or link.stream.quiet()
            ):  # a pure one may go again; spares a system call
                return link
            link.drop()
            host.open.discard(link)
            self.pooling.closed(now, host.name, rested)
        return None

    def idle_ended(self, host, link):
        if link in host.idle:
            host.idle.remove(link)
        host.open.discard(link)
        self.pooling.closed(self.loop.now(), host.name, self.loop.now() - link.used)

    def sweep(self):
        """Connections that rested too long for any task are closed from this side, before the host does."""
        now = self.loop.now()
        for host in self.hosts.values():
            keep = []
            for link in host.idle:
                if now - link.used <= self.pooling.safe_rest(
                    now, host.name, Idempotency.IDEMPOTENT, link.told_idle
                ):
                    keep.append(link)
                else:
                    link.drop()
                    host.open.discard(link)
            host.idle = keep
        self.sweeper = self.loop.after(SECOND, self.sweep)

    def give_up(self, host, exchange):
        exchange.drop()
        host.unsent.pop(exchange, None)
        if exchange.link is not None:
            host.open.discard(exchange.link)

    # What the core wishes

    def send(self, worker, call, effect, task, limit, until, done):
        """One relay; `done(heard)` once, never at once. It begins before `until`, while its client is there,
        or never. Returns what has `started` and `cancel()`, after which `done` is not called."""
        if not call.client_present():
            return UnsentAttempt(self.loop, done, Result.NOT_SENT)
        host = self.hosts[worker]

        def came(answer, undelivered):
            if answer is None:
                result = Result.NOT_SENT if undelivered.lapsed else results.of_undelivered(undelivered)
                done(AttemptResult(result, None))
                return
            report, found, alike = orca.decode_headers(answer.headers)
            result, told = results.of_status(answer.status), None
            if result is Result.OK:
                fields = tuple(
                    (name, answer.headers[name]) for name in PASSED_HEADERS if name in answer.headers
                )
                told = Answer(answer.status, fields, answer.body)
            done(AttemptResult(result, told, found, alike, report))

        request = self.request(call, task, host, until)
        exchange = self.exchange(host, request, effect, came, until, call.client_present)
        if exchange is None:
            return UnsentAttempt(self.loop, done, Result.FULL)
        return SentAttempt(self, host, exchange, self.forwards)

    def request(self, call, task, host, until):
        """The bytes of a relay, or what makes them as they are handed over."""
        return messages.encode_infer(call, task, host.text)

    def order(self, worker, function, copies, done):
        """A load order; `done(result, copies that stand)` once, never at once."""
        host = self.hosts[worker]

        def came(answer, undelivered):
            if timer is not None:
                timer.cancel()
            if answer is None:
                done(results.of_undelivered(undelivered), 0)
            elif answer.status == 200:
                done(Result.OK, messages.decode_load(answer.body))
            else:
                done(Result.FULL if answer.status in (404, 409, 429) else Result.ERROR, 0)

        timer = None
        exchange = self.exchange(
            host,
            messages.encode_load(function, copies, host.text, self.gateway),
            Idempotency.IDEMPOTENT,
            came,
        )
        if exchange is None:
            self.loop.soon(done, Result.FULL, 0)
            return
        timer = self.loop.after(
            self.settings.order_time, lambda: (self.give_up(host, exchange), done(Result.TIMEOUT, 0))
        )

    def probe(self, worker, done):
        """Readiness and load; `done(good, report)` once, never at once; not where nothing of it came to be
        sent for want of something here."""
        host = self.hosts[worker]

        def came(answer, undelivered):
            if timer is not None:
                timer.cancel()
            if answer is None and results.of_undelivered(undelivered) is Result.NOT_SENT:
                return
            good = answer is not None and answer.status == 200
            done(good, orca.decode_headers(answer.headers)[0] if good else None)

        timer = None
        exchange = self.exchange(host, messages.encode_ready(host.text), Idempotency.IDEMPOTENT, came)
        if exchange is None:
            return
        timer = self.loop.after(
            self.settings.probe_time, lambda: (self.give_up(host, exchange), done(False, None))
        )

    def close(self):
        self.sweeper.cancel()
        for host in self.hosts.values():
            for link in list(host.open):
                link.drop()
            host.open.clear()
            host.idle = []
