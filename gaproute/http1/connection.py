"""A connection of the server at work: reads requests, writes the answers in the order of the requests.

A client that closes its side has left: HTTP/1.1 cannot tell a half-closed client from a gone one before
bytes are written to it, and a request that nobody waits for must end at once. What is answered then is still
written, so that one that only closed half gets a clear answer. A request whose client has closed behind it is
handed over as `client_closed`: the handler answers it and begins nothing for it.
"""

from __future__ import annotations

import socket
from collections.abc import Iterable

from gaproute.http1.connection_owner import ServerConnectionOwner
from gaproute.http1.deadlines import DeadlineConnection
from gaproute.http1.errors import HttpError
from gaproute.http1.message import PendingAnswer, Request
from gaproute.http1.reader import RequestReader
from gaproute.http1.rendering import Header, render
from gaproute.loop import Stream
from gaproute.loop.streams import HANGUP_CHECK_INTERVAL, WRITE_HIGH_WATER

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class ServerConnection(DeadlineConnection):
    """A connection at work, from its first byte until it has been quiet for a while."""

    __slots__ = (
        "address_id",
        "request_count",
        "client_closed",
        "buffered_bytes",
        "presence_checked_at",
        "read_delay",
    )

    server: ServerConnectionOwner[ServerConnection]

    def __init__(
        self,
        server: ServerConnectionOwner[ServerConnection],
        sock: socket.socket,
        address_id: int,
        request_count: int,
    ) -> None:
        self.server, self.address_id, self.request_count = server, address_id, request_count
        self.queue, self.closing, self.client_closed = [], False, False
        self.timer, self.deadline, self.idle_end, self.in_quiet_queue = None, None, 0, False
        self.presence_checked_at = 0  # when the client was last seen not to have closed
        self.buffered_bytes = 0  # of a request that has not come in whole
        self.read_delay = 0  # how long what is read may have lain unread, ns
        limits = server.limits
        self.reader = RequestReader(self._sent_at, limits.head, limits.body)
        self.stream = Stream(server.loop, sock, self.receive, self._on_closed, hangup_first=True)
        self.stream.on_half_close, self.stream.on_writable = self._on_client_closed, self._on_taken

    def _sent_at(self) -> int:
        """When what is read now came: requests count from then."""
        return self.server.loop.now() - self.read_delay

    # Reading

    def receive(self, data: bytes) -> None:
        """Feeds received bytes to the parser and hands over the requests that they complete."""
        if self.closing:
            return
        self.read_delay = max(self.server.loop.read_delay, self.stream.unread_age())
        try:
            requests = self.reader.feed(data)
        except HttpError as error:
            self._refuse(error)
            return
        self._take_all(requests)
        self._note_buffered(self.reader.size if self.reader.mid_message else 0)
        if self.reader.wants_continue:
            self.reader.wants_continue = False
            if not self.queue:  # one that pipelines behind an answer still owed waits for it anyway
                self.stream.write(CONTINUE)
        if self.stream.open:
            self._set_deadline()
            if self._is_saturated():
                self.stream.pause()

    def _take_all(self, requests: Iterable[Request]) -> None:
        """Takes whole requests, once it has been asked whether their client is still there."""
        if not requests:
            return
        client_closed = self.stream.hung_up()
        if not client_closed:
            self.presence_checked_at = self.server.loop.now()
        for request in requests:
            request.client_closed = client_closed
            self._take(request)

    def _take(self, request: Request) -> None:
        server = self.server
        request.connection = self
        if self.closing or request.client_closed and server.loop.read_delay and not server.counted:
            return  # one that came and left while this process stood still is not taken
        self.request_count += 1
        if not request.keep_alive or server.says_close():
            self.closing = True
        self.queue.append(PendingAnswer(request))
        server.handle(request)

    def client_present(self) -> bool:
        """Whether the client has neither closed its side nor left, asked when something begins for it: a loop
        in a long turn reads of that later."""
        if self.client_closed or not self.stream.open:
            return False
        now = self.server.loop.now()
        if now - self.presence_checked_at >= HANGUP_CHECK_INTERVAL:
            if self.stream.hung_up():
                self.server.loop.soon(self.stream.read_to_end)
                return False
            self.presence_checked_at = now
        return True

    def _note_buffered(self, size: int) -> None:
        """So many bytes of a request that is not whole are held now."""
        server = self.server
        server.buffered_bytes += size - self.buffered_bytes
        self.buffered_bytes = size
        if server.buffered_bytes > server.limits.buffered:
            server.enforce_memory_limit()

    def _is_saturated(self) -> bool:
        """Whether nothing more is read: enough requests are open, or the client takes no answers."""
        return len(self.queue) >= self.server.limits.pipelined or self.stream.bytes_unsent >= WRITE_HIGH_WATER

    def _refuse(self, error: HttpError) -> None:
        """Answers what cannot be read and closes; what was whole before it is answered first."""
        self.server.protocol_errors += 1
        self._take_all(self.reader.take_completed())
        headers, body = self.server.render_error(error)
        self.closing = True
        self.queue.append(PendingAnswer(None, render(error.status, headers, body, close=True)))
        self._write_answers()

    def refuse_unfinished(self) -> None:
        """Refuses the unfinished request, to free the memory that it takes up."""
        self._note_buffered(0)
        self._refuse(HttpError(408, "too much is coming in, and this request takes longest"))

    # Writing

    def answer(self, request: Request, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Renders the answer to one request and writes all answers whose turn has come.

        Errors: RuntimeError for a second answer to one request.
        """
        place = next((place for place, each in enumerate(self.queue) if each.request is request), None)
        if place is None:
            return
        pending = self.queue[place]
        if pending.data is not None:
            raise RuntimeError("a second answer to one request")
        request.on_client_left = None
        is_last = place == len(self.queue) - 1 and (self.closing or self.server.stopping)
        close = is_last or self.client_closed
        if close:
            self.closing = True  # announced with the answer: nothing more is taken
        pending.data = render(status, headers, body, close=close)
        self._write_answers()

    def _write_answers(self) -> None:
        """Writes the answers whose turn has come; the connection closes after the last where it is to."""
        wrote = False
        while self.queue and (data := self.queue[0].data) is not None:
            wrote = True
            self.queue.pop(0)
            self.stream.write(data)
        if not self.queue and (self.closing or self.client_closed or self.server.stopping):
            self.close_gracefully()
        elif wrote and self.stream.open:
            self._on_taken()

    def _on_taken(self) -> None:
        """The client has taken answers: reading goes on."""
        if not self.stream.reading and not self._is_saturated() and not self.client_closed:
            self.stream.resume()
        self._set_deadline()

    # The end

    def park(self) -> None:
        """Parks the connection; closes it where its idle time is over or the server stops, and not before a
        request that lies unread has been answered."""
        server = self.server
        if server.loop.now() < self.idle_end and self.stream.open and not server.stopping:
            self._clear_deadline()
            server.park(self, self.idle_end)
            return
        self.stream.read_now()
        if not self.queue and not self.reader.mid_message:
            self.close_gracefully()

    def stop(self) -> None:
        """Closes a quiet connection; one on which a request lies unread or is coming in is answered first.

        With grace a quiet one is closed when it would be parked: the next request of a busy client, on its
        way already, is answered and the close announced with that answer.
        """
        if self.reader.mid_message:
            self._set_deadline()
        elif self.server.last_request_by is None and not self.queue and self.stream.is_quiet():
            self.close_gracefully()

    def _on_client_closed(self) -> None:
        """The client closed its side: its requests end now, with answers for one that closed half."""
        self._abandon_requests()
        if not self.queue:
            self.close_gracefully()

    def _on_closed(self, error: OSError | None) -> None:
        self._abandon_requests()
        self.unregister()

    def _abandon_requests(self) -> None:
        """Tells the handlers of open requests that nobody waits for their answers."""
        self.client_closed = True
        self._clear_deadline()
        for pending in list(self.queue):
            request = pending.request
            if pending.data is None and request is not None and request.on_client_left is not None:
                on_client_left, request.on_client_left = request.on_client_left, None
                on_client_left()

    def close_gracefully(self) -> None:
        """Closes once what was written has been taken. Until its descriptor is given back it counts."""
        self._clear_deadline()
        self.closing = True
        self.stream.close(lambda error: self.unregister())

    def close_at_once(self) -> None:
        """Ends the connection without waiting for answers still owed."""
        if self.stream.closing:
            self.stream.finish_close()  # its last bytes are with the kernel
            self.unregister()
        else:
            self.abort()

    def abort(self) -> None:
        """Resets the connection; nothing is called."""
        self.stream.abort()
        self.unregister()

    def unregister(self) -> None:
        """The socket is closed: cancels the timer and removes the connection from the server."""
        self._clear_deadline()
        if self in self.server.active_connections:
            self._note_buffered(0)
            self.server.unregister(self)
