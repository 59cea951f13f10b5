"""A client's connection that speaks JSON-RPC: messages in, answers out, what it owes and when it closes."""

from gaproute.fronts.jsonrpc import messages
from gaproute.fronts.jsonrpc.messages import ProtocolError
from gaproute.loop import Stream
from gaproute.loop.streams import CHUNK, FRESH

MILLI, SECOND = 1_000_000, 1_000_000_000
QUIET_TIME = (
    100 * MILLI
)  # without a request until a connection is parked: only parked ones can make room, and
#                          hundreds come in a second where clients open one for each request
PROGRESS_TIMEOUT = 2 * SECOND  # for a message to come in whole, or for a client to take an answer
IDLE_TIMEOUT = 30 * SECOND  # between requests: clients close theirs after 4 s
MAX_UNTAKEN = 64 * 1024  # bytes that wait for a client to take them, above which nothing of it is read: a few
#                          answers of the greatest size, or a thousand of the usual
MAX_PROTOCOL_ERRORS = 64  # of one connection, until it is closed: each takes work from the others
LATE_ANSWER_TIME = (
    500 * MILLI
)  # after its time in which an answer still counts as given: it is owed for so long


class ClientConnection:
    """A connection at work, from its first byte until it has been quiet for a while.

    `reading_ended`: nothing more of it is read, and it closes once what is open on it is answered.
    `closing`: all is answered. `owed_until`: when the last of its requests needs no answer any more.
    """

    __slots__ = (
        "front",
        "stream",
        "reader",
        "place",
        "tasks",
        "open_requests",
        "since",
        "told",
        "faults",
        "reading_ended",
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
        self.open_requests = {}  # number: (the core's key, mark) of its task
        self.since = self.told = front.loop.now()  # a message is coming in; the last word either way
        self.faults, self.reading_ended, self.closing, self.owed_until = 0, False, False, 0
        self.departed = False  # the client had closed behind what was read last: its end is read next
        self.looked = 0  # when it was last asked whether the client has closed, and what lies unread of it
        self.waited = 0  # how long what was read last may have lain unread, ns
        self.withdrawn = ()  # what the aborts name that lay unread then
        self.stream = Stream(front.loop, sock, self.receive, self.ended, hangup_first=True)
        self.stream.on_room = self.room

    def receive(self, data):
        if self.reading_ended or self.closing or self.departed:
            return
        now = self.front.loop.now()
        if not self.reader.mid_message:
            self.since = now
        self.told, fault = now, None
        try:
            bodies = self.reader.feed(data)
        except ProtocolError as wrong:
            fault, bodies = wrong, wrong.bodies
        if bodies:
            self.since = now
            self.departed = self.stream.hung_up()  # behind what it sent, maybe while that waited at admission
            if self.departed:  # or lay unread: nothing begins
                return
            self.waited = max(self.front.loop.behind, self.stream.waited())
            self.looked, self.withdrawn = now if len(data) < CHUNK else 0, ()
        for body in messages.wanted(bodies, self.open_requests, self.front.open_request_ids):
            self.take(body)
            if not self.stream.open:
                return
        if fault is not None:
            self.refuse(fault)  # what a reader finds wrong is unreadable: that closes
        elif self.stream.waiting >= MAX_UNTAKEN:
            self.stream.pause()
        self.close_if_finished()

    def take(self, body):
        """One message; what goes wrong with it is told under its number and spoils no other."""
        try:
            self.front.take(self, body)
        except ProtocolError as wrong:
            self.refuse(wrong)
        except Exception as error:
            self.front.loop.failed(error)
            self.refuse(ProtocolError(messages.FAILED, "an error in the gateway", messages.number(body)))

    def refuse(self, fault):
        """Tells what came wrong. What cannot be read, or too many faults, end the reading; the requests read
        before are owed their answers, also where they stand behind it in the same read."""
        if fault.code == messages.REFUSED:  # an answer, and no fault of the client's
            self.write(messages.error(fault.number, fault.code, fault.text))
            return
        if self.reading_ended:
            return  # it has been told
        self.front.protocol_errors += 1
        self.faults += 1
        self.front.on_protocol_error(fault.code, fault.text)
        self.write(messages.error(fault.number, fault.code, fault.text))
        if fault.code == messages.UNREADABLE or self.faults >= MAX_PROTOCOL_ERRORS:
            self.reading_ended = True
            self.stream.pause()
            self.close_if_finished()

    def write(self, data):
        self.told = self.front.loop.now()
        self.stream.write(data)

    def room(self):
        self.told = self.front.loop.now()
        if not self.stream.reading and not self.reading_ended and not self.closing:
            self.stream.resume()

    def cancel_request(self, named):
        """The client no longer waits for a request, named by its number or its mark: no answer is owed."""
        for number, (key, mark) in self.open_requests.items():
            if named == number or named == mark:
                del self.open_requests[number]
                self.front.client_left(key, mark)
                return

    def is_waiting_for(self, number, mark):
        """Whether the client still waits for that request, asked when an attempt of it begins.

        The loop may be a long turn behind: what has come meanwhile, a close or an abort, counts although it
        is read later.
        """
        loop = self.front.loop
        if self.closing or not self.stream.open:
            return False
        now = loop.now()
        if now - self.looked >= FRESH:
            pending = self.stream.pending()
            if pending.hung_up:
                loop.soon(self.stream.hear_end)
                return False
            self.looked = now
            self.withdrawn = (
                messages.aborted(self.reader.copy(), self.stream.peek()) if pending.unread else ()
            )
        if number in self.withdrawn or mark in self.withdrawn:
            loop.soon(self.cancel_request, mark)
            return False
        return True

    def check_progress(self, now):
        """What a glance now and then is enough for."""
        if self.stream.waiting and now - self.told > PROGRESS_TIMEOUT and not self.owes_answer(now):
            self.front.unresponsive += 1
            self.abort()
        elif self.reading_ended or self.closing:
            return
        elif self.late(now):
            self.stream.look()  # its rest may have come since the loop last looked
            if self.stream.open and not self.reading_ended and self.late(now):
                self.refuse(ProtocolError(messages.UNREADABLE, "the message did not come in whole in time"))
        elif self.front.stopping:
            self.close_if_finished()  # where it could not be seen before whether something lies there
        elif (
            not self.open_requests
            and not self.stream.waiting
            and not self.reader.mid_message
            and now - self.told > QUIET_TIME
        ):
            self.park()

    def late(self, now):
        """Whether a message has been coming in for too long."""
        return self.reader.mid_message and now - self.since > PROGRESS_TIMEOUT

    def owes_answer(self, now):
        """Whether a request of it still needs an answer that can be taken in time."""
        return now <= self.owed_until

    def buffered_bytes(self):
        return self.stream.waiting + len(self.reader.buffer)

    def park(self):
        front = self.front
        del front.connections[self]
        front.parked += 1
        due = front.lot.admission.idle_end(front.loop.now(), IDLE_TIMEOUT)
        front.lot.park(self.stream.release(), front.owner_number, due, self.place, self.tasks, True)

    def close_if_finished(self):
        """A request is answered: one that ends closes after the last. At a stop each does, and not before
        what already lies there has been read and answered."""
        if self.open_requests or self.closing:
            return
        if self.reading_ended or self.front.stopping and not self.reader.mid_message and self.stream.quiet():
            self.shut()

    def shut(self):
        """Closes once what was written has been taken. Until its descriptor is given back it counts."""
        self.closing = True
        self.stream.close(self.ended)

    def abort(self):
        self.stream.abort()
        self.leave()
        self.gone()

    def ended(self, error):
        self.leave()
        self.gone()

    def leave(self):
        opened, self.open_requests = self.open_requests, {}
        for key, mark in opened.values():
            self.front.client_left(key, mark)

    def gone(self):
        if self in self.front.connections:
            del self.front.connections[self]
            self.front.lot.leave(self.place, True)
            self.front.check_emptied()
