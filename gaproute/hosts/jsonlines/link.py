"""One connection to a host that carries lines, and the requests on it. What it sees it reports.

Which connection a request goes out on is `decisions.links.pooling`'s choice, what an end proves `proof`'s
table.
"""
from gaproute.hosts import proof
from gaproute.hosts.jsonlines import lines
from gaproute.interface import Effect, Result
from gaproute.loop import Stream, connect


class Asked:
    """One request on a connection. `done(reply or None, what its failure proves or None)` once, never at
    once."""

    __slots__ = ("id", "data", "done", "sent", "start")

    def __init__(self, name, data, done, now):
        self.id, self.data, self.done, self.sent = name, data, done, now
        self.start = None                # bytes written on its connection before it; None: none of it yet

    def end(self, reply, failure):
        done, self.done = self.done, None
        if done is not None:             # else it was given up meanwhile
            done(reply, failure)


class Link:
    """A connection to one host, from the moment it is opened; requests wait on it until it stands."""

    def __init__(self, host):
        self.host, self.hosts = host, host.hosts
        loop = self.hosts.loop
        self.open, self.done_with = {}, set()    # id: Asked; ids given up that may still be answered
        self.reader, self.stream = lines.Reader(), None
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
        for asked in list(self.open.values()):
            self.write(asked)

    def ask(self, asked):
        self.open[asked.id] = asked
        if self.stream is not None:
            self.write(asked)

    def write(self, asked):
        asked.start = self.written
        self.written += len(asked.data)
        self.stream.write(asked.data)
        asked.data = None

    def handed(self, asked):
        return asked.start is not None and self.stream.handed > asked.start

    def bytes(self, data):
        self.heard = self.hosts.loop.now()
        spoilt = None
        try:
            replies = self.reader.feed(data)
        except lines.Spoilt as fault:
            spoilt, replies = fault, fault.args[1]
        for reply in replies:
            asked = self.open.pop(str(reply.req), None)
            if asked is None:
                self.hosts.strays += 1
                continue
            self.used, self.served = self.heard, self.served + 1
            asked.end(reply, None)
        if spoilt is not None:
            self.hosts.spoilt += 1
            self.fail(spoilt)
        elif not self.open and not (
                self.trusted and self.hosts.pooling.keeps(self.heard, self.host.name, Effect.PURE)):
            self.drop()

    def fail(self, error):
        """The connection is at its end: each request on it has failed, by how far it got."""
        now, ended = self.hosts.loop.now(), []
        for asked in self.open.values():
            ended.append((asked, self.ended_as(asked, error)))
            if self.served and self.heard < asked.sent and not isinstance(error, lines.Spoilt):
                self.hosts.pooling.ended(now, self.host.name, asked.sent - self.used, now - asked.sent)
        self.open = {}
        self.drop()
        for asked, result in ended:
            self.hosts.loop.soon(asked.end, None, result)

    def ended_as(self, asked, error):
        result = proof.of_failure(self.handed(asked))
        return Result.ERROR if result is Result.RESET and isinstance(error, lines.Spoilt) else result

    def give_up(self, asked):
        """The request is no longer wanted: it is halted, or its connection ends where that was silent."""
        asked.done = None
        if self.open.get(asked.id) is not asked:
            return
        del self.open[asked.id]
        if asked.start is None:
            if not self.open:
                self.drop()
            return
        self.done_with.add(asked.id)
        if self.hosts.pooling.silent(self.hosts.loop.now(), max(asked.sent, self.heard)):
            self.trusted = False
        if not self.open and (not self.trusted or self.stream.waiting):
            self.drop()
        else:
            self.used = self.hosts.loop.now()
            self.stream.write(data := lines.halt(asked.id))
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
        self.host.forget()


class Links(dict):
    """An ordered set: what is chosen among them must not hang on addresses in memory."""

    def add(self, link):
        self[link] = None

    def discard(self, link):
        self.pop(link, None)
