"""One connection to a host that carries lines, and the requests on it. What it sees it reports.

`decisions.connections.pooling` chooses the connection of a request, `results` tells what an end proves.
A request begins with its first byte in the kernel: until then it waits here, never in a buffer, and
is judged when it is written, not when it was asked for.
"""

from gaproute.hosts import results
from gaproute.hosts.jsonlines import messages
from gaproute.interface import Idempotency, Result
from gaproute.interface.call import always
from gaproute.loop import Stream, connect

# For a request that has begun to be with the kernel whole, ns: by no more is the limit told in it out when
# its host can read it.
WRITE_TIMEOUT = 100_000_000
NO_DEADLINE = 1 << 62  # a time that never comes: of requests whose answer has a time-out of its own


class WriteAbandonedError(Exception):
    """This side ends the connection as a request on it is not to come whole any more."""


class PendingRequest:
    """One request on a connection. `done(reply or None, what its failure proves or None)` once, never at
    once; it returns whether nothing goes out under that id again. `line(now)` gives its bytes, and is asked
    when they are written; `until`: when it may begin at the latest; `wanted()`: whether it still may."""

    __slots__ = ("id", "line", "until", "done", "sent", "stop", "link", "wanted")

    def __init__(self, link, name, line, until, done, now, wanted=always):
        self.link, self.id, self.line, self.until, self.done, self.sent = link, name, line, until, done, now
        self.wanted = wanted
        self.stop = None  # bytes written on its connection up to its end; None: none of it yet

    @property
    def started(self):
        return self.stop is not None

    @property
    def cancellable(self):
        """Whether it is taken back, though begun, where nobody waits for it any more: its host has it whole
        only with its last byte, and may not get that then."""
        return self.link.stream.open and not self.link.handed(self)

    def end(self, reply, failure):
        done, self.done = self.done, None
        return done is not None and done(reply, failure)  # None: it was given up meanwhile

    def cancel(self):
        """Nobody wants it any more; `done` is not called."""
        self.link.give_up(self)


class Connection:
    """A connection to one host, from the moment it is opened; requests wait on it until it stands."""

    def __init__(self, host):
        self.host, self.hosts = host, host.hosts
        loop = self.hosts.loop
        self.open, self.carried = {}, set()  # id: PendingRequest; ids that may yet be answered once more
        self.reader, self.stream = messages.LineReader(), None
        self.written = 0
        self.used = self.heard = loop.now()
        self.trusted, self.served = True, 0
        self.stop_connecting = connect(loop, host.where, self.hosts.connect_time, self.connected)

    def connected(self, sock, error):
        if error is not None:
            self.fail(error)
            return
        self.stop_connecting = None
        self.stream = Stream(self.hosts.loop, sock, self.bytes, self.fail)
        self.stream.on_room = self.begin
        self.begin()

    def ask(self, asked):
        self.open[asked.id] = asked
        if self.stream is not None:
            self.begin()

    def begin(self):
        """What waits goes out while the kernel takes it; what may no longer begin never does."""
        for asked in [asked for asked in self.open.values() if not asked.started]:
            now = self.hosts.loop.now()
            if now >= asked.until or not asked.wanted():
                self.never(asked, Result.NOT_SENT)
                continue
            data = asked.line(now)
            if not self.stream.begin(data):
                return  # `on_room` asks again
            self.written += len(data)
            asked.stop, asked.line = self.written, None
            if self.stream.waiting and asked.until < NO_DEADLINE:
                self.hosts.loop.after(WRITE_TIMEOUT, self.look_whole, asked)

    def look_whole(self, asked):
        """What a host has had in part for so long it gets no more of: the limit in it is no longer true."""
        if self.open.get(asked.id) is asked and not self.handed(asked):
            self.fail(WriteAbandonedError("a request could not be written whole in time"))

    def never(self, asked, result):
        """It has not begun and never will."""
        del self.open[asked.id]
        self.hosts.loop.soon(asked.end, None, result)

    def handed(self, asked):
        """Whether the host may have all of it."""
        return asked.started and self.stream.handed >= asked.stop

    def bytes(self, data):
        self.heard = self.hosts.loop.now()
        spoilt = None
        try:
            replies = self.reader.feed(data)
        except messages.MalformedLineError as fault:
            spoilt, replies = fault, fault.args[1]
        for reply in replies:
            asked = self.open.get(str(reply.req))
            if asked is None or not self.handed(asked):
                self.hosts.unmatched += 1
                continue
            del self.open[asked.id]
            self.carried.add(asked.id)  # it may go again, and a second answer to this may come yet
            self.used, self.served = self.heard, self.served + 1
            if asked.end(reply, None):
                self.carried.discard(asked.id)
        if spoilt is not None:
            self.hosts.malformed += 1
            self.fail(spoilt)
        elif not self.open and not (
            self.trusted and self.hosts.pooling.keeps(self.heard, self.host.name, Idempotency.IDEMPOTENT)
        ):
            self.drop()

    def fail(self, error):
        """The connection is at its end: each request on it has failed, by how far it got."""
        now, ended = self.hosts.loop.now(), []
        for asked in self.open.values():
            ended.append(
                (
                    asked,
                    results.of_ended_connection(
                        asked.started, error, isinstance(error, messages.MalformedLineError)
                    ),
                )
            )
            if (
                self.served
                and self.heard < asked.sent
                and not isinstance(error, (messages.MalformedLineError, WriteAbandonedError))
            ):
                self.hosts.pooling.ended(now, self.host.name, asked.sent - self.used, now - asked.sent)
        self.open = {}
        self.drop()
        for asked, result in ended:
            self.hosts.loop.soon(asked.end, None, result)

    def rest(self):
        """Nothing more begins here: what is at work comes to its end, then the connection closes."""
        for asked in [asked for asked in self.open.values() if not asked.started]:
            self.never(asked, results.of_ended_connection(False, None, False))
        self.trusted = False
        if not self.open:
            self.drop()

    def give_up(self, asked):
        """One that has not begun never does. One of which the host has a part never comes whole: its
        connection ends. One that it has is halted where the settings allow it, and its connection ends where
        that was silent."""
        asked.done = None
        if self.open.get(asked.id) is not asked:
            return
        del self.open[asked.id]
        if not asked.started:
            if not self.open:
                self.drop()
            return
        if asked.until < NO_DEADLINE and not self.handed(asked):
            self.fail(WriteAbandonedError("a request is taken back before it was written whole"))
            return
        self.carried.add(asked.id)
        if self.hosts.pooling.silent(self.hosts.loop.now(), max(asked.sent, self.heard)):
            self.trusted = False
        if not self.open and (not self.trusted or self.stream.waiting):
            self.drop()
        elif self.hosts.halts:
            self.used = self.hosts.loop.now()
            self.stream.write(data := messages.encode_cancel(asked.id))
            self.written += len(data)

    def drop(self):
        """Ends the connection; nothing is called."""
        self.host.links.discard(self)
        self.trusted = False
        if self.stop_connecting is not None:
            self.stop_connecting()
            self.stop_connecting = None
        if self.stream is not None:
            self.stream.abort()


class ConnectionSet(dict):
    """An ordered set: what is chosen among them must not hang on addresses in memory."""

    def add(self, link):
        self[link] = None

    def discard(self, link):
        self.pop(link, None)
