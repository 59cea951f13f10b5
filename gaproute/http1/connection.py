"""A connection of the server at work: reads requests, writes the answers in the order of the requests.

A client that closes its side has left: HTTP/1.1 cannot tell a half-closed client from a gone one before
bytes are written to it, and a task that nobody waits for must end at once. What is answered then is still
written, so that one that only closed half gets a clear answer. A request whose client has closed behind it is
handed over as `departed`: the handler answers it and begins nothing for it.
"""

from gaproute.http1.deadlines import DeadlineLink
from gaproute.http1.message import Fault, Reader
from gaproute.http1.rendering import render
from gaproute.loop import Stream
from gaproute.loop.streams import HANGUP_CHECK_INTERVAL, WRITE_HIGH_WATER


class ServerLink(DeadlineLink):
    """A connection at work, from its first byte until it has been quiet for a while."""

    __slots__ = ("ended", "place", "tasks", "weight", "looked", "waited")

    def __init__(self, server, sock, place, tasks):
        self.server, self.place, self.tasks, self.idle_end = server, place, tasks, None
        self.resting = False  # in the server's line of those that may soon be parked
        self.looked = 0  # when the client was last seen not to have closed
        self.weight = 0  # bytes held of a request that has not come in whole
        self.waited = 0  # how long what is read may have lain unread, ns: requests count from when they came
        self.reader = Reader(
            True, lambda: server.loop.now() - self.waited, server.limits.head, server.limits.body
        )
        self.queue = []  # [request, rendered answer or None], in the order of the requests
        self.closing = self.ended = False
        self.stream = Stream(server.loop, sock, self.bytes, self._end, hangup_first=True)
        self.stream.on_half_close, self.stream.on_writable = self._half, self._room
        self.timer = self.due = None

    def bytes(self, data):
        """Feeds received bytes to the parser and hands over the requests that they complete."""
        if self.closing:
            return
        self.waited = max(self.server.loop.read_delay, self.stream.unread_age())
        try:
            requests = self.reader.feed(data)
        except Fault as fault:
            self._refuse(fault)
            return
        self._take_all(requests)
        self._weigh(self.reader.size if self.reader.midway else 0)
        if self.reader.wants_continue:
            self.reader.wants_continue = False
            if not self.queue:  # one that pipelines behind an answer still owed waits for it anyway
                self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if self.stream.open:
            self._set_deadline()
            if self._crowded():
                self.stream.pause()

    def client_present(self):
        """Whether the client has neither closed its side nor left, asked when something begins for it: a loop
        in a long turn reads of that later."""
        if self.ended or not self.stream.open:
            return False
        now = self.server.loop.now()
        if now - self.looked >= HANGUP_CHECK_INTERVAL:
            if self.stream.hung_up():
                self.server.loop.soon(self.stream.read_to_end)
                return False
            self.looked = now
        return True

    def _weigh(self, weight):
        server = self.server
        server.buffered += weight - self.weight
        self.weight = weight
        if server.buffered > server.limits.buffered:
            server.lighten()

    def _crowded(self):
        """Whether nothing more is read: enough is in hand, or the client does not take its answers."""
        return len(self.queue) >= self.server.limits.pipelined or self.stream.bytes_unsent >= WRITE_HIGH_WATER

    def _room(self):
        if not self.stream.reading and not self._crowded() and not self.ended:
            self.stream.resume()
        self._set_deadline()

    def park(self):
        """Parks the connection; closes it where its idle time is over or the server stops, and not before a
        request that lies unread has been answered."""
        server = self.server
        if server.loop.now() >= self.idle_end or not self.stream.open or server.stopping:
            self.stream.read_now()
            if not self.queue and not self.reader.midway:
                self._shut()
            return
        self._clear_deadline()
        server.links.discard(self)
        server.parked += 1
        server.connections.park(
            self.stream.release(),
            server.number,
            idle_until=self.idle_end,
            address_id=self.place,
            request_count=self.tasks,
            registered=True,
        )

    def shed(self):
        """Refuses the unfinished request, to free the memory that it takes up."""
        self._weigh(0)
        self._refuse(Fault(408, "too much is coming in, and this request takes longest"))

    def _refuse(self, fault):
        """Answers what cannot be read and closes; what was whole before it is answered first."""
        self.server.faults += 1
        self._take_all(self.reader.done)
        self.reader.done = []
        headers, body = self.server.explain(fault)
        self.closing = True
        self.queue.append([None, render(fault.status, headers, body, True)])
        self._write()

    def _take_all(self, requests):
        departed = bool(requests) and self.stream.hung_up()
        if requests and not departed:
            self.looked = self.server.loop.now()
        for request in requests:
            request.departed = departed
            self._take(request)

    def _take(self, request):
        request.link = self
        if self.closing or request.departed and self.server.loop.read_delay and not self.server.counted:
            return  # one that came and left while this process stood still is not taken
        self.tasks += 1
        if (
            not request.keep_alive
            or self.server.counted
            and self.server.connections.admission.announces_close(self.server.connections.client_count)
        ):
            self.closing = True
        self.queue.append([request, None])
        self.server.handle(request)

    def answer(self, request, status, headers, body):
        """Renders the answer to one request and writes all answers whose turn has come."""
        place = next((place for place, entry in enumerate(self.queue) if entry[0] is request), None)
        if place is None:
            return
        entry = self.queue[place]
        if entry[1] is not None:
            raise RuntimeError("a second answer to one request")
        request.left = None
        last = place == len(self.queue) - 1 and (self.closing or self.server.stopping) or self.ended
        if last:
            self.closing = True  # told with the answer: nothing more is taken
        entry[1] = render(status, headers, body, last)
        self._write()

    def _write(self):
        wrote = False
        while self.queue and self.queue[0][1] is not None:
            wrote = True
            self.stream.write(self.queue.pop(0)[1])
        if not self.queue and (self.closing or self.ended or self.server.stopping):
            self._shut()
        elif wrote and self.stream.open:
            self._room()

    def stop(self):
        """Closes a quiet connection; one on which a request lies unread or is coming in is answered first.

        With grace a quiet one is closed when it would be parked: the next request of a busy client, on its
        way already, is answered and the close told with that answer.
        """
        if self.reader.midway:
            self._set_deadline()
        elif self.server.last_request is None and not self.queue and self.stream.is_quiet():
            self._shut()

    def _half(self):
        """The client closed its side: the tasks it waits for end now, with answers for one half closed."""
        self.ended = True
        self._leave()
        if not self.queue:
            self._shut()

    def _end(self, error):
        self.ended = True
        self._leave()
        self.gone()

    def _leave(self):
        self._clear_deadline()
        for request, answer in list(self.queue):
            if answer is None and request.left is not None:
                left, request.left = request.left, None
                left()

    def _shut(self):
        self._clear_deadline()
        self.closing = True
        self.stream.close(lambda error: self._lose())  # until its descriptor is given back it counts

    def gone(self):
        """The socket is closed: cancels the timer and removes the connection from the server."""
        self._clear_deadline()
        self._lose()

    def _lose(self):
        if self in self.server.links:
            self._weigh(0)
            self.server.links.discard(self)
            self.server.connections.release(self.place, self.server.counted)
            self.server.check_emptied()
