"""Clients that call by JSON-RPC: requests become calls, finals become answers, bodies pass untouched.

| final answer | what the client reads |
| --- | --- |
| delivered | a result with the host's body |
| declined | an error with the code for 'trying again is harmless', with how long to stay away |
| scrapped | any other error |

A message that cannot be read is told so and its connection closed; one that is no request, or a request with
something wrong in it, gets an error, and the connection goes on.
"""
import socket

from gaproute.fronts.jsonrpc import messages
from gaproute.fronts.jsonrpc.messages import Fault
from gaproute.interface.call import Call, Ending
from gaproute.lobby import Lot
from gaproute.loop import Listener, Stream

MILLI, SECOND = 1_000_000, 1_000_000_000
OPEN = 32                # requests of one connection at a time, by the protocol
QUIET = 100 * MILLI      # without a request until a connection is parked: only parked ones can make room, and
#                          hundreds come in a second where clients open one for each request
SWEEP = 100 * MILLI      # between looks for quiet, slow and deaf ones: one wake-up for all of them
FIRST_WORD = 2 * SECOND  # for a new connection to send something: a useless one is to be closed within 3 s
PROGRESS = 2 * SECOND    # for a message to come in whole, or for a client to take an answer
IDLE = 30 * SECOND       # between requests: clients close theirs after 4 s
UNTAKEN = 64 * 1024      # bytes that wait for a client to take them, above which nothing of it is read: a few
#                          answers of the greatest size, or a thousand of the usual
WEIGHT = 24 << 20        # bytes of all clients together, untaken answers and messages that have not come in
#                          whole: an eighth of the memory of a usual gateway; the heaviest client goes then
FAULTS = 64              # of one connection, until it is closed: each takes work from the others


class Front:
    """One listening address. `core` takes the tasks; `tracks` are the names in the terms' order."""

    counted = True

    def __init__(self, loop, where, core, names, tracks, ready, way_back):
        self.loop, self.core, self.ready, self.way_back = loop, core, ready, way_back
        self.tracks = {name: (place, track.hard_limit)
                       for place, (name, track) in enumerate(zip(names, tracks, strict=True))}
        self.links = {}              # those at work, as an ordered set
        self.refused = lambda code, text: None   # what came wrong, for the log
        self.parked = self.turned_away = self.faults = self.deaf = 0
        self.marks = {}              # a task's mark, while it is open: its connection
        self.stopping, self.emptied = False, None    # call() after a stop, when no connection is left
        self.until = None            # by when the process may be killed: what still comes is answered by then
        self.family = where[0]
        self.lot = Lot.of(loop)
        self.number = self.lot.open(self)
        self.listener = Listener(loop, where, None, on_ready=self._ready)
        self.address = self.listener.address
        self.sweeper = loop.after(SWEEP, self._sweep)

    def _ready(self):
        self.lot.arrive(self.listener, self)
        self.loop.waiting = True

    def admits(self, sock, address):
        """A connection was accepted: it is parked, or closed where the door has no room."""
        place = self.lot.admit(address[0], True)
        if place is None:
            self.turned_away += 1
            sock.close()
            return
        self.parked += 1
        self.lot.park(sock.detach(), self.number, self.loop.now() + FIRST_WORD, place, 0, False)

    def woken(self, fd, data, place, tasks):
        """A parked connection spoke."""
        self.parked -= 1
        link = Link(self, socket.socket(self.family, socket.SOCK_STREAM, 0, fd), place, tasks)
        self.links[link] = None
        link.bytes(data)

    def lost(self):
        """A parked connection was closed."""
        self.parked -= 1
        self.tell()

    @property
    def held(self):
        return len(self.links) + self.parked

    def tell(self):
        if self.stopping and self.emptied is not None and not self.held:
            self.emptied()

    def _sweep(self):
        now = self.loop.now()
        for link in list(self.links):
            link.look(now)
        self.lighten()
        self.sweeper = self.loop.after(SWEEP, self._sweep)

    def lighten(self):
        """Guards memory against thousands that send slowly or take no answers, each within its own bounds;
        harms the heaviest of them before its time."""
        weights = [(link.weight(), place, link) for place, link in enumerate(self.links)]
        over = sum([weight for weight, _, _ in weights]) - WEIGHT
        for weight, _, link in sorted(weights, reverse=True) if over > 0 else ():
            if over > 0:
                over -= weight
                self.deaf += 1
                link.end()

    # Requests

    def take(self, link, body):
        number, method, params = messages.envelope(body)
        if method == "ping":
            if number is not None:
                link.write(messages.pong(number, self.ready()))
        elif method == "abort":
            link.withdraw(messages.withdrawn(params))
        else:
            self.task(link, number, method, params)

    def task(self, link, number, method, params):
        if number is None:
            raise Fault(messages.NO_REQUEST, "a request needs an id")
        if method not in self.tracks:
            raise Fault(messages.NO_METHOD, "no such method", number if number not in link.open else None)
        if number in link.open:
            raise Fault(messages.NO_REQUEST, "a request with this id is open")
        track, longest = self.tracks[method]
        asked = messages.request(number, method, params, longest)
        if asked.mark in self.marks:
            raise Fault(messages.NO_PARAMS, "a request with this i is open", number)
        if len(link.open) >= OPEN:
            raise Fault(messages.REFUSED, f"{OPEN} requests are open on this connection", number)
        if self.stopping:
            raise Fault(messages.REFUSED, "the gateway stops", number)
        call = Call(asked.function, "", (), asked.body, asked.mark, method)
        self.marks[asked.mark] = link
        came = self.loop.now() - self.loop.behind
        wait = min(asked.wait, longest, longest if self.until is None else self.until - came)
        link.tasks += 1
        link.open[number] = None
        link.open[number] = self.core.take(
            call, track, 0, asked.lanes, asked.load_time, came, wait - self.way_back,
            lambda final: self.final(link, asked, final)), asked.mark

    def final(self, link, asked, final):
        if self.marks.get(asked.mark) is link:
            del self.marks[asked.mark]
        if link.open.pop(asked.number, None) is None:
            return
        if final.ending is Ending.DELIVERED:
            link.write(messages.result(asked.number, final.answer.body))
        elif final.ending is Ending.DECLINED:
            link.write(messages.error(asked.number, messages.REFUSED, final.reason, final.stay_away))
        else:
            link.write(messages.error(asked.number, messages.FAILED, final.reason))
        link.settled()

    def left(self, key, mark):
        self.marks.pop(mark, None)
        self.core.client_left(key)

    # Stop

    def stop(self):
        """Accepts no more; connections close once nothing is open on them and no half message has come. What
        waits in the kernel's queue is taken in first, as it would be reset, and what it asks is declined: the
        resting ones make room for it."""
        if self.stopping:
            return
        self.stopping = True
        self.lot.close(self.number)
        while (came := self.listener.accept()) is not None:
            self.admits(*came)
        self.listener.close()
        self.lot.close(self.number)
        for link in list(self.links):
            link.settled()

    def close(self):
        self.stop()
        self.sweeper.cancel()
        self.lot.close(self.number, True)
        for link in list(self.links):
            if link.closing:
                link.stream.part()       # its last words are with the kernel
            else:
                link.end()


class Link:
    """A connection at work, from its first byte until it has been quiet for a while."""

    __slots__ = ("front", "stream", "reader", "place", "tasks", "open", "since", "told", "faults", "closing")

    def __init__(self, front, sock, place, tasks):
        self.front, self.place, self.tasks = front, place, tasks
        self.reader = messages.Reader()
        self.open = {}               # number: (the core's key, mark) of its task
        self.since = self.told = front.loop.now()    # a message is coming in; the last word either way
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
            if self.stream.ended():      # the client has left behind what it sent, maybe while that waited at
                return                   # the door: nothing begins, and the next read tells the end
        for body in messages.wanted(bodies, self.open, self.front.marks):
            try:
                self.front.take(self, body)
            except Fault as wrong:
                self.refuse(wrong)
            if self.closing or not self.stream.open:
                return
        if fault is not None:
            self.refuse(fault)       # what a reader finds wrong is unreadable: that closes
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
        elif not self.open and not self.stream.waiting and not self.reader.midway \
                and now - self.told > QUIET and not self.front.stopping:
            self.park()

    def weight(self):
        return self.stream.waiting + len(self.reader.buffer)

    def park(self):
        front = self.front
        del front.links[self]
        front.parked += 1
        due = front.lot.door.idle_end(front.loop.now(), IDLE)
        front.lot.park(self.stream.release(), front.number, due, self.place, self.tasks, True)

    def settled(self):
        """A request is answered: at a stop its connection closes after the last, and not before what already
        lies there has been read and answered."""
        if self.front.stopping and not self.closing and not self.open and not self.reader.midway \
                and self.stream.quiet():
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
