"""A client's connection that speaks JSON-RPC: messages in, answers out, what it owes and when it closes."""

from gaproute.fronts.jsonrpc import messages
from gaproute.fronts.jsonrpc.messages import Fault
from gaproute.loop import Stream

MILLI, SECOND = 1_000_000, 1_000_000_000
QUIET = 100 * MILLI  # without a request until a connection is parked: only parked ones can make room, and
#                          hundreds come in a second where clients open one for each request
PROGRESS = 2 * SECOND  # for a message to come in whole, or for a client to take an answer
IDLE = 30 * SECOND  # between requests: clients close theirs after 4 s
UNTAKEN = 64 * 1024  # bytes that wait for a client to take them, above which nothing of it is read: a few
#                          answers of the greatest size, or a thousand of the usual
FAULTS = 64  # of one connection, until it is closed: each takes work from the others


class Link:
    """A connection at work, from its first byte until it has been quiet for a while."""

    __slots__ = ("front", "stream", "reader", "place", "tasks", "open", "since", "told", "faults", "closing")

    def __init__(self, front, sock, place, tasks):
        self.front, self.place, self.tasks = front, place, tasks
        self.reader = messages.Reader()
        self.open = {}  # number: (the core's key, mark) of its task
        self.since = self.told = front.loop.now()  # a message is coming in; the last word either way
        self.faults, self.closing = 0, False
        self.stream = Stream(front.loop, sock, self.bytes, self.ended)
        self.stream.on_room = self.room

    def bytes(self, data):
        if self.closing:
            return
        now = self.front.loop.now()
        if not self.reader.midway:
            self.since = now
        self.told, fault = now, None
        try:
            bodies = self.reader.feed(data)
        except Fault as wrong:
            fault, bodies = wrong, wrong.bodies
        if bodies:
            self.since = now
            if self.stream.ended():  # the client has left behind what it sent, maybe while that waited at
                return  # admission: nothing begins, and the next read tells the end
        for body in messages.wanted(bodies, self.open, self.front.marks):
            try:
                self.front.take(self, body)
            except Fault as wrong:
                self.refuse(wrong)
            if self.closing or not self.stream.open:
                return
        if fault is not None:
            self.refuse(fault)  # what a reader finds wrong is unreadable: that closes
        elif self.stream.waiting >= UNTAKEN:
            self.stream.pause()
        if self.front.stopping:
            self.settled()

    def refuse(self, fault):
        self.front.faults += 1
        self.faults += 1
        self.front.refused(fault.code, fault.text)
        self.write(messages.error(fault.number, fault.code, fault.text))
        if fault.code == messages.UNREADABLE or self.faults >= FAULTS:
            self.shut()

    def write(self, data):
        self.told = self.front.loop.now()
        self.stream.write(data)

    def room(self):
        self.told = self.front.loop.now()
        if not self.stream.reading and not self.closing:
            self.stream.resume()

    def withdraw(self, named):
        """The client no longer waits for a request, named by its number or its mark: no answer is owed."""
        for number, (key, mark) in self.open.items():
            if named == number or named == mark:
                del self.open[number]
                self.front.left(key, mark)
                return

    def look(self, now):
        """What a glance now and then is enough for."""
        if self.stream.waiting and now - self.told > PROGRESS:
            self.front.deaf += 1
            self.end()
        elif self.closing:
            return
        elif self.reader.midway and now - self.since > PROGRESS:
            self.refuse(Fault(messages.UNREADABLE, "the message did not come in whole in time"))
        elif self.front.stopping:
            self.settled()  # where it could not be seen before whether something lies there
        elif not self.open and not self.stream.waiting and not self.reader.midway and now - self.told > QUIET:
            self.park()

    def weight(self):
        return self.stream.waiting + len(self.reader.buffer)

    def park(self):
        front = self.front
        del front.links[self]
        front.parked += 1
        due = front.lot.admission.idle_end(front.loop.now(), IDLE)
        front.lot.park(self.stream.release(), front.number, due, self.place, self.tasks, True)

    def settled(self):
        """A request is answered: at a stop its connection closes after the last, and not before what already
        lies there has been read and answered."""
        if (
            self.front.stopping
            and not self.closing
            and not self.open
            and not self.reader.midway
            and self.stream.quiet()
        ):
            self.shut()

    def shut(self):
        """Closes once what was written has been taken; what is open on it has lost its client. Until its
        descriptor is given back it counts."""
        self.closing = True
        self.leave()
        self.stream.close(self.ended)

    def end(self):
        self.stream.abort()
        self.leave()
        self.gone()

    def ended(self, error):
        self.leave()
        self.gone()

    def leave(self):
        opened, self.open = self.open, {}
        for key, mark in opened.values():
            self.front.left(key, mark)

    def gone(self):
        if self in self.front.links:
            del self.front.links[self]
            self.front.lot.leave(self.place, True)
            self.front.tell()
