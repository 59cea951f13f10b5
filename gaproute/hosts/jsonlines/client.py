"""The hosts as sockets that carry lines: relays, orders and probes, each on a connection (`connection`)."""

from gaproute.core.in_flight import AttemptResult
from gaproute.hosts.attempts import UnsentAttempt
from gaproute.hosts.jsonlines import messages
from gaproute.hosts.jsonlines.connection import NO_DEADLINE, Connection, ConnectionSet, PendingRequest
from gaproute.interface import Idempotency, Result, State
from gaproute.interface.call import always
from gaproute.loop.streams import address

SECOND = 1_000_000_000


class Host:
    def __init__(self, hosts, row):
        self.hosts, self.name = hosts, row.listed.host
        self.links = ConnectionSet()
        self.active = self.listed = True
        self.gone = False  # at the last look
        self.at(row)

    def at(self, row):
        """It is to be found there, in the life that began then."""
        self.text, self.where, self.started = row.address, address(row.address), row.listed.started

    def forget(self):
        """Gone for good where it was so at the last look too: what its last relays came to is told after
        their connections have ended, and would be kept for ever if it were told after this."""
        before, self.gone = self.gone, not self.listed and not self.links
        if before and self.gone:
            del self.hosts.hosts[self.name]
            self.hosts.pooling.gone(self.name)
            self.hosts.on_removed(self.name)


class JsonLinesClient:
    def __init__(self, loop, pooling, site, max_connections):
        """`max_connections`: connections to all hosts together."""
        self.loop, self.pooling, self.max_connections = loop, pooling, max_connections
        self.on_removed = lambda name: None  # a host is gone for good
        self.connect_time = site.connect_time or 250_000_000
        self.probe_time = self.connect_time
        self.order_time = site.order_time or 10 * SECOND
        # The settings tell when hosts close an idle connection. Those that end sooner are reset by chance,
        # which says nothing of the next: learning from them opened one for nearly every relay.
        self.idle_time = site.idle_time or None
        self.shared, self.counts, self.halts = (
            site.requests_per_connection,
            site.same_function_counted,
            site.cancel_allowed,
        )
        self.hosts, self.tags = {}, 0
        self.opened = self.reused = self.multiplexed = self.malformed = self.unmatched = self.unread = 0
        self.sweep()

    def update(self, rows, *, complete):
        """From now on nothing more goes to hosts that drain or are gone; what they hold runs on."""
        for row in rows:
            host = self.hosts.get(row.listed.host)
            if host is None:
                host = self.hosts[row.listed.host] = Host(self, row)
            elif (host.text, host.started) != (row.address, row.listed.started):
                self.rest(host)  # what stands leads to what was there before
                host.at(row)
            host.active = row.listed.state is State.ACTIVE
            host.listed = row.listed.state is not State.GONE
        if complete:
            named = {row.listed.host for row in rows}
            for host in self.hosts.values():
                if host.name not in named:
                    host.active = host.listed = False
        for host in list(self.hosts.values()):
            if not host.active:
                self.rest(host)

    def rest(self, host):
        """What has not begun never does; connections end once nothing is at work on them."""
        for link in list(host.links):
            link.rest()

    # Connections

    def links(self):
        return sum(len(host.links) for host in self.hosts.values())

    def ask(self, host, name, line, until, effect, done, wanted=always):
        """A request on the connection that pooling picks, else on a new one, else on one it shares; None
        where not one more connection can be had."""
        now = self.loop.now()
        link = self.pooling.pick(now, host.name, effect, host.links, name, self.shared, self.idle_time)
        while (
            link is not None
            and not link.open
            and effect is not Idempotency.IDEMPOTENT
            and not link.stream.quiet()
        ):
            link.drop()  # it shows an end or a word not asked for: a pure task may go again
            link = self.pooling.pick(now, host.name, effect, host.links, name, self.shared, self.idle_time)
        if (link is None or link.open) and self.make_room():
            link, self.opened = Connection(host), self.opened + 1
            host.links.add(link)
        elif link is None:
            return None
        elif link.open:
            self.multiplexed += 1
        else:
            self.reused += 1
        asked = PendingRequest(link, name, line, until, done, now, wanted)
        link.ask(asked)
        return asked

    def make_room(self):
        """Whether one more connection fits; an idle one of any host, the longest at rest, ends for it."""
        if self.links() < self.max_connections:
            return True
        idle = [link for host in self.hosts.values() for link in host.links if not link.open]
        if idle:
            min(idle, key=lambda link: link.used).drop()
        return bool(idle)

    def sweep(self):
        """Connections that rested too long for any task are closed from this side, before the host does, and
        hosts that are gone are forgotten."""
        now = self.loop.now()
        for host in list(self.hosts.values()):
            for link in list(host.links):
                if not link.open and now - link.used > self.pooling.safe_rest(
                    now, host.name, Idempotency.IDEMPOTENT, self.idle_time
                ):
                    link.drop()
            host.forget()
        self.sweeper = self.loop.after(SECOND, self.sweep)

    def tag(self):
        self.tags += 1
        return f"g{self.tags}"

    # What the core wishes

    def send(self, worker, call, effect, task, limit, until, done):
        """One relay; `done(heard)` once, never at once. It begins before `until`, while its client is there,
        or never. Returns what has `started` and `cancel()`, after which `done` is not called."""
        host = self.hosts.get(worker)
        if host is None or not host.active:
            return UnsentAttempt(self.loop, done, Result.CONNECT_FAILED)

        def came(reply, failure):
            said = (
                AttemptResult(failure, None) if reply is None else messages.decode_attempt(reply, self.counts)
            )
            if said is None:
                self.unread += 1
                said = AttemptResult(Result.ERROR, None)
            done(said)
            return said.result is Result.OK

        def line(now):
            return messages.encode_attempt(call, limit - now)

        asked = self.ask(host, call.request_id, line, until, effect, came, call.client_present)
        return asked or UnsentAttempt(self.loop, done, Result.NOT_SENT)

    def order(self, worker, function, copies, done):
        """A load order; `done(result, copies that stand)` once, never at once."""

        def read(reply, failure):
            return (failure, 0) if reply is None else messages.decode_load_order(reply) or (Result.ERROR, 0)

        tag = self.tag()
        self.tagged(
            worker,
            tag,
            messages.encode_load_order(tag, function, copies),
            self.order_time,
            read,
            done,
            (Result.CONNECT_FAILED, 0),
            (Result.TIMEOUT, 0),
            True,
        )

    def probe(self, worker, done):
        """Readiness and load; `done(good, report)` once, never at once; not where nothing of it came to be
        sent for want of something here."""

        def read(reply, failure):
            if failure is Result.NOT_SENT:
                return None
            return (reply is not None and messages.decode_health(reply)) or (False, None)

        tag = self.tag()
        self.tagged(
            worker, tag, messages.encode_probe(tag), self.probe_time, read, done, (False, None), (False, None)
        )

    def tagged(self, worker, tag, data, within, read, done, unsent, late, ends=False):
        """`ends`: where nothing came since, the connection ends, so that the request never arrives later."""
        host = self.hosts.get(worker)
        if host is None or not host.active:
            self.loop.soon(done, *unsent)
            return

        def tell(reply, failure):
            told = read(reply, failure)
            if told is not None:
                done(*told)

        def came(reply, failure):
            timer.cancel()
            tell(reply, failure)
            return True

        def overtime():
            link = asked.link
            asked.cancel()
            if ends and link in host.links and (not link.served or link.heard < asked.sent):
                link.fail(TimeoutError("nothing came back"))
            done(*late)

        asked = self.ask(host, tag, lambda now: data, NO_DEADLINE, Idempotency.IDEMPOTENT, came)
        if asked is None:  # not one more connection can be had here
            self.loop.soon(tell, None, Result.NOT_SENT)
            return
        timer = self.loop.after(within, overtime)

    def close(self):
        self.sweeper.cancel()
        for host in list(self.hosts.values()):
            for link in list(host.links):
                link.open = {}
                link.drop()
