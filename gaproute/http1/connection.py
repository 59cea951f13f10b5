"""A server's connection that is in use: reads requests, and writes their answers in the same order.

A client that closes its side counts as gone. A server cannot distinguish it from one that has only closed its
sending side until bytes are written to it, and a request for which nobody waits must end at once. Answers are
still written then. The handler of a request whose client has closed after it (`client_closed`) answers it
and begins no attempt.
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
    """A connection in use, from its first byte until it has been quiet for a while and is parked."""

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
        self.queue = []
        self.closing = False
        self.client_closed = False
        self.timer, self.deadline = None, None
        self.idle_end = 0
        self.in_quiet_queue = False
        self.presence_checked_at = 0  # when the client was last known not to have closed, ns
        self.buffered_bytes = 0  # bytes of an incomplete request
        self.read_delay = 0  # how long the bytes that are being read may have lain unread, ns
        limits = server.limits
        self.reader = RequestReader(self._arrival_time, limits.head, limits.body)
        self.stream = Stream(server.loop, sock, self.receive, self._on_closed, detect_hangup_early=True)
        self.stream.on_half_close = self._on_client_closed
        self.stream.on_writable = self._resume_reading

    def _arrival_time(self) -> int:
        """When the bytes that are being read arrived, ns: the time of their requests counts from then on."""
        return self.server.loop.now() - self.read_delay

    # Reading

    def receive(self, data: bytes) -> None:
        """Decodes received bytes and dispatches the requests that they complete."""
        if self.closing:
            return
        self.read_delay = max(self.server.loop.read_delay, self.stream.unread_age())
        try:
            requests = self.reader.feed(data)
        except HttpError as error:
            self._reject(error)
            return
        self._dispatch_all(requests)
        self._note_buffered(self.reader.size if self.reader.mid_message else 0)
        if self.reader.wants_continue:
            self.reader.wants_continue = False
            if not self.queue:  # otherwise the request has to wait for the answers before its own
                self.stream.write(CONTINUE)
        if self.stream.open:
            self._set_deadline()
            if self._is_saturated():
                self.stream.pause()

    def _dispatch_all(self, requests: Iterable[Request]) -> None:
        """Dispatches complete requests, after asking the kernel whether their client is still connected."""
        if not requests:
            return
        client_closed = self.stream.hung_up()
        if not client_closed:
            self.presence_checked_at = self.server.loop.now()
        for request in requests:
            request.client_closed = client_closed
            self._dispatch(request)

    def _dispatch(self, request: Request) -> None:
        server = self.server
        request.connection = self
        if self.closing:
            return
        if request.client_closed and server.loop.read_delay and not server.counted:
            return  # the client gave up while this process stood still, so the request is dropped
        self.request_count += 1
        if not request.keep_alive or server.says_close():
            self.closing = True
        self.queue.append(PendingAnswer(request))
        server.handle(request)

    def client_present(self) -> bool:
        """Whether the client is still connected, by asking the kernel; called when an attempt begins."""
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
        """Updates the account of the memory of incomplete requests; `size`: of this connection's, bytes."""
        server = self.server
        server.buffered_bytes += size - self.buffered_bytes
        self.buffered_bytes = size
        if server.buffered_bytes > server.limits.buffered:
            server.enforce_memory_limit()

    def _is_saturated(self) -> bool:
        """Whether reading stops: enough requests are open, or the client does not read its answers."""
        return len(self.queue) >= self.server.limits.pipelined or self.stream.bytes_unsent >= WRITE_HIGH_WATER

    def _reject(self, error: HttpError) -> None:
        """Answers an invalid request and closes; complete requests before it are answered first."""
        self.server.protocol_errors += 1
        self._dispatch_all(self.reader.take_completed())
        headers, body = self.server.render_error(error)
        self.closing = True
        self.queue.append(PendingAnswer(None, render(error.status, headers, body, close=True)))
        self._write_answers()

    def reject_incomplete(self) -> None:
        """Rejects the incomplete request, to free its memory."""
        self._note_buffered(0)
        self._reject(HttpError(408, "too much is coming in, and this request takes longest"))

    # Writing

    def answer(self, request: Request, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Writes the answer to a request, in order. Errors: RuntimeError for a second answer to one
        request.
        """
        position = next((index for index, each in enumerate(self.queue) if each.request is request), None)
        if position is None:
            return
        pending = self.queue[position]
        if pending.data is not None:
            raise RuntimeError("a second answer to one request")
        request.on_client_left = None
        is_last = position == len(self.queue) - 1 and (self.closing or self.server.stopping)
        close = is_last or self.client_closed
        if close:
            self.closing = True  # the answer announces the close, so no further request is taken
        pending.data = render(status, headers, body, close=close)
        self._write_answers()

    def _write_answers(self) -> None:
        """Writes the answers that are next in order; closes after the last if the connection is to close."""
        wrote = False
        while self.queue and (data := self.queue[0].data) is not None:
            wrote = True
            self.queue.pop(0)
            self.stream.write(data)
        if not self.queue and (self.closing or self.client_closed or self.server.stopping):
            self.close_gracefully()
        elif wrote and self.stream.open:
            self._resume_reading()

    def _resume_reading(self) -> None:
        """Reads on after the client has received answers, unless reading must still stop."""
        if not self.stream.reading and not self._is_saturated() and not self.client_closed:
            self.stream.resume()
        self._set_deadline()

    # The end

    def park(self) -> None:
        """Parks the connection, or closes it if its idle time is over; answers an unread request before."""
        server = self.server
        if server.loop.now() < self.idle_end and self.stream.open and not server.stopping:
            self._clear_deadline()
            server.park(self, self.idle_end)
            return
        self.stream.read_now()
        if not self.queue and not self.reader.mid_message:
            self.close_gracefully()

    def stop(self) -> None:
        """Closes a quiet connection; one with an unread or incomplete request is closed after its answer.

        After a stop with grace, a quiet one is closed only when it would be parked, so that the next request
        of a busy client is still answered.
        """
        if self.reader.mid_message:
            self._set_deadline()
        elif self.server.last_request_by is None and not self.queue and self.stream.is_quiet():
            self.close_gracefully()

    def _on_client_closed(self) -> None:
        """Abandons the requests of a client that has closed its side; answers owed to it are still sent."""
        self._abandon_requests()
        if not self.queue:
            self.close_gracefully()

    def _on_closed(self, error: OSError | None) -> None:
        self._abandon_requests()
        self.unregister()

    def _abandon_requests(self) -> None:
        """Notifies the handlers of open requests that nobody waits for their answers."""
        self.client_closed = True
        self._clear_deadline()
        for pending in list(self.queue):
            request = pending.request
            if pending.data is None and request is not None and request.on_client_left is not None:
                on_client_left, request.on_client_left = request.on_client_left, None
                on_client_left()

    def close_gracefully(self) -> None:
        """Closes after all that was written is sent; the connection counts until its descriptor is free."""
        self._clear_deadline()
        self.closing = True
        self.stream.close(lambda error: self.unregister())

    def close_at_once(self) -> None:
        """Ends the connection without waiting for answers that are still owed."""
        if self.stream.closing:
            self.stream.finish_close()  # all bytes were given to the kernel
            self.unregister()
        else:
            self.abort()

    def abort(self) -> None:
        """Resets the connection; no callback is called."""
        self.stream.abort()
        self.unregister()

    def unregister(self) -> None:
        """Cancels the timer and removes the connection, whose socket is closed, from the server."""
        self._clear_deadline()
        if self in self.server.active_connections:
            self._note_buffered(0)
            self.server.unregister(self)
