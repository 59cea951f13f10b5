"""A client's connection that speaks JSON-RPC: messages in, answers out, what it owes and when it closes."""

from gaproute.fronts.jsonrpc import messages
from gaproute.fronts.jsonrpc.messages import Fault
from gaproute.loop import Stream
from gaproute.loop.streams import HANGUP_CHECK_INTERVAL, READ_SIZE

MILLI, SECOND = 1_000_000, 1_000_000_000
QUIET = 100 * MILLI  # without a request until a connection is parked: only parked ones can make room, and
#                          hundreds come in a second where clients open one for each request
PROGRESS = 2 * SECOND  # for a message to come in whole, or for a client to take an answer
IDLE = 30 * SECOND  # between requests: clients close theirs after 4 s
UNTAKEN = 64 * 1024  # bytes that wait for a client to take them, above which nothing of it is read: a few
#                          answers of the greatest size, or a thousand of the usual
FAULTS = 64  # of one connection, until it is closed: each takes work from the others
LATE = 500 * MILLI  # after its time in which an answer still counts as given: it is owed for so long


class Link:
    """A connection at work, from its first byte until it has been quiet for a while.

    `ending`: nothing more of it is read, and it closes once what is open on it is answered. `closing`: all is
    answered. `owed_until`: when the last of its requests needs no answer any more.
    """

    __slots__ = (
        "front",
        "stream",
        "reader",
        "place",
        "tasks",
        "open",
        "since",
        "told",
        "faults",
        "ending",
        "closing",
        "owed_until",
        "departed",
        "looked",
        "withdrawn",
        "waited",
    )

    def __init__(self, front, sock, place, tasks):
        self.front, self.place, self.tasks = front, place, tasks
        self.reader = messages.Reader()
        self.open = {}  # number: (the core's key, mark) of its task
        self.since = self.told = front.loop.now()  # a message is coming in; the last word either way
        self.faults, self.ending, self.closing, self.owed_until = 0, False, False, 0
        self.departed = False  # the client had closed behind what was read last: its end is read next
        self.looked = 0  # when it was last asked whether the client has closed, and what lies unread of it
        self.waited = 0  # how long what was read last may have lain unread, ns
        self.withdrawn = ()  # what the aborts name that lay unread then
        self.stream = Stream(front.loop, sock, self.bytes, self.ended, hangup_first=True)
        self.stream.on_writable = self.room

    def bytes(self, data):
        if self.ending or self.closing or self.departed:
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
            self.departed = self.stream.hung_up()  # behind what it sent, maybe while that waited at admission
            if self.departed:  # or lay unread: nothing begins
                return
            self.waited = max(self.front.loop.read_delay, self.stream.unread_age())
            self.looked, self.withdrawn = now if len(data) < READ_SIZE else 0, ()
        for body in messages.wanted(bodies, self.open, self.front.marks):
            self.take(body)
            if not self.stream.open:
                return
        if fault is not None:
            self.refuse(fault)  # what a reader finds wrong is unreadable: that closes
        elif self.stream.bytes_unsent >= UNTAKEN:
            self.stream.pause()
        self.settled()

    def take(self, body):
        """One message; what goes wrong with it is told under its number and spoils no other."""
        try:
            self.front.take(self, body)
        except Fault as wrong:
            self.refuse(wrong)
        except Exception as error:
            self.front.loop.failed(error)
            self.refuse(Fault(messages.FAILED, "an error in the gateway", messages.number(body)))

    def refuse(self, fault):
        """Tells what came wrong. What cannot be read, or too many faults, end the reading; the requests read
        before are owed their answers, also where they stand behind it in the same read."""
        if fault.code == messages.REFUSED:  # an answer, and no fault of the client's
            self.write(messages.error(fault.number, fault.code, fault.text))
            return
        if self.ending:
            return  # it has been told
        self.front.faults += 1
        self.faults += 1
        self.front.refused(fault.code, fault.text)
        self.write(messages.error(fault.number, fault.code, fault.text))
        if fault.code == messages.UNREADABLE or self.faults >= FAULTS:
            self.ending = True
            self.stream.pause()
            self.settled()

    def write(self, data):
        self.told = self.front.loop.now()
        self.stream.write(data)

    def room(self):
        self.told = self.front.loop.now()
        if not self.stream.reading and not self.ending and not self.closing:
            self.stream.resume()

    def withdraw(self, named):
        """The client no longer waits for a request, named by its number or its mark: no answer is owed."""
        for number, (key, mark) in self.open.items():
            if named == number or named == mark:
                del self.open[number]
                self.front.left(key, mark)
                return

    def present(self, number, mark):
        """Whether the client still waits for that request, asked when an attempt of it begins.

        The loop may be a long turn behind: what has come meanwhile, a close or an abort, counts although it
        is read later.
        """
        loop = self.front.loop
        if self.closing or not self.stream.open:
            return False
        now = loop.now()
        if now - self.looked >= HANGUP_CHECK_INTERVAL:
            pending = self.stream.pending()
            if pending.hung_up:
                loop.soon(self.stream.read_to_end)
                return False
            self.looked = now
            self.withdrawn = (
                messages.aborted(self.reader.copy(), self.stream.peek()) if pending.unread else ()
            )
        if number in self.withdrawn or mark in self.withdrawn:
            loop.soon(self.withdraw, mark)
            return False
        return True

    def look(self, now):
        """What a glance now and then is enough for."""
        if self.stream.bytes_unsent and now - self.told > PROGRESS and not self.owes(now):
            self.front.deaf += 1
            self.end()
        elif self.ending or self.closing:
            return
        elif self.late(now):
            self.stream.read_now()  # its rest may have come since the loop last looked
            if self.stream.open and not self.ending and self.late(now):
                self.refuse(Fault(messages.UNREADABLE, "the message did not come in whole in time"))
        elif self.front.stopping:
            self.settled()  # where it could not be seen before whether something lies there
        elif (
            not self.open
            and not self.stream.bytes_unsent
            and not self.reader.midway
            and now - self.told > QUIET
        ):
            self.park()

    def late(self, now):
        """Whether a message has been coming in for too long."""
        return self.reader.midway and now - self.since > PROGRESS

    def owes(self, now):
        """Whether a request of it still needs an answer that can be taken in time."""
        return now <= self.owed_until

    def weight(self):
        return self.stream.bytes_unsent + len(self.reader.buffer)

    def park(self):
        front = self.front
        del front.links[self]
        front.parked += 1
        due = front.connections.admission.idle_deadline(front.loop.now(), IDLE)
        front.connections.park(
            self.stream.release(),
            front.number,
            idle_until=due,
            address_id=self.place,
            request_count=self.tasks,
            registered=True,
        )

    def settled(self):
        """A request is answered: one that ends closes after the last. At a stop each does, and not before
        what already lies there has been read and answered."""
        if self.open or self.closing:
            return
        if self.ending or self.front.stopping and not self.reader.midway and self.stream.is_quiet():
            self.shut()

    def shut(self):
        """Closes once what was written has been taken. Until its descriptor is given back it counts."""
        self.closing = True
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
            self.front.connections.release(self.place, True)
            self.front.tell()
