"""A server's connection that is in use: reads requests, and writes their answers in the same order.

A client that closes its side of the connection counts as gone, although it may have closed only its sending
side: the server cannot tell these apart before it writes to the client, and a request for which nobody waits
must end at once. Answers are still written. The handler of a request behind which the client has closed
(`client_closed`) answers it and begins no attempt.
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
        self.pending_answers = []
        self.closing = False
        self.client_closed = False
        self.timer, self.deadline = None, None
        self.idle_deadline = 0
        self.in_quiet_queue = False
        self.presence_checked_at = 0  # when the client was last known to be connected, ns
        self.buffered_bytes = 0  # bytes of the incomplete request
        self.read_delay = 0  # for how long the bytes that are being decoded may have been unread, ns
        limits = server.limits
        self.reader = RequestReader(self._arrival_time, limits.max_head_bytes, limits.max_body_bytes)
        self.stream = Stream(server.loop, sock, self.receive, self._on_closed, detect_hangup_early=True)
        self.stream.on_half_close = self._on_client_closed
        self.stream.on_writable = self._resume_reading

    def _arrival_time(self) -> int:
        """When the bytes that are being decoded arrived, ns; the time limits of their requests begin then."""
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
        self._update_buffered_bytes(self.reader.section_bytes if self.reader.mid_message else 0)
        if self.reader.wants_continue:
            self.reader.wants_continue = False
            if not self.pending_answers:  # else the answers to earlier requests go first
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
            return  # the client left while this process did not run: the request is dropped
        self.request_count += 1
        if not request.keep_alive or server.announces_close():
            self.closing = True
        self.pending_answers.append(PendingAnswer(request))
        server.handle(request)

    def client_present(self) -> bool:
        """Asks the kernel whether the client is still connected; called before an attempt begins."""
        if self.client_closed or not self.stream.open:
            return False
        now = self.server.loop.now()
        if now - self.presence_checked_at >= HANGUP_CHECK_INTERVAL:
            if self.stream.hung_up():
                self.server.loop.call_soon(self.stream.read_to_end)
                return False
            self.presence_checked_at = now
        return True

    def _update_buffered_bytes(self, size: int) -> None:
        """Updates the server's total of incomplete requests; `size`: bytes of this connection's request."""
        server = self.server
        server.buffered_bytes += size - self.buffered_bytes
        self.buffered_bytes = size
        if server.buffered_bytes > server.limits.max_buffered_bytes:
            server.enforce_memory_limit()

    def _is_saturated(self) -> bool:
        """Whether reading must stop: too many requests are open, or the client receives no answers."""
        return (
            len(self.pending_answers) >= self.server.limits.max_pipelined
            or self.stream.bytes_unsent >= WRITE_HIGH_WATER
        )

    def _reject(self, error: HttpError) -> None:
        """Rejects an invalid request and closes the connection after the answers to earlier requests."""
        self.server.protocol_errors += 1
        self._dispatch_all(self.reader.take_completed())
        headers, body = self.server.render_error(error)
        self.closing = True
        self.pending_answers.append(PendingAnswer(None, render(error.status, headers, body, close=True)))
        self._write_answers()

    def reject_incomplete(self) -> None:
        """Rejects the incomplete request of this connection to free its memory."""
        self._update_buffered_bytes(0)
        self._reject(HttpError(408, "too much is coming in, and this request takes longest"))

    # Writing

    def answer(self, request: Request, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Writes the answer to a request when it is next in order.

        Errors: RuntimeError for a second answer to a request.
        """
        position = next(
            (index for index, each in enumerate(self.pending_answers) if each.request is request), None
        )
        if position is None:
            return
        pending = self.pending_answers[position]
        if pending.encoded is not None:
            raise RuntimeError("the request has an answer already, and each request has one answer")
        request.on_client_left = None
        is_last = position == len(self.pending_answers) - 1 and (self.closing or self.server.stopping)
        close = is_last or self.client_closed
        if close:
            self.closing = True  # the answer announces the close, so no further request is taken
        pending.encoded = render(status, headers, body, close=close)
        self._write_answers()

    def _write_answers(self) -> None:
        """Writes the answers that are next in order; closes after the last if the connection must close."""
        wrote = False
        while self.pending_answers and (data := self.pending_answers[0].encoded) is not None:
            wrote = True
            self.pending_answers.pop(0)
            self.stream.write(data)
        if not self.pending_answers and (self.closing or self.client_closed or self.server.stopping):
            self.close_gracefully()
        elif wrote and self.stream.open:
            self._resume_reading()

    def _resume_reading(self) -> None:
        """Resumes reading after answers were sent, unless reading must still stop."""
        if not self.stream.reading and not self._is_saturated() and not self.client_closed:
            self.stream.resume()
        self._set_deadline()

    # Closing

    def park(self) -> None:
        """Parks the connection, or closes it if its idle time is over; answers an unread request before."""
        server = self.server
        if server.loop.now() < self.idle_deadline and self.stream.open and not server.stopping:
            self._clear_deadline()
            server.park(self, self.idle_deadline)
            return
        self.stream.read_now()
        if not self.pending_answers and not self.reader.mid_message:
            self.close_gracefully()

    def stop(self) -> None:
        """Closes a quiet connection; one with an unread or incomplete request closes after its answer.

        After a stop with grace, a quiet connection is closed only when it would be parked, so that the next
        request of a busy client is still answered.
        """
        if self.reader.mid_message:
            self._set_deadline()
        elif (
            self.server.request_arrival_deadline is None
            and not self.pending_answers
            and self.stream.is_quiet()
        ):
            self.close_gracefully()

    def _on_client_closed(self) -> None:
        """Abandons the requests of a client that has closed its side; answers to it are still sent."""
        self._abandon_requests()
        if not self.pending_answers:
            self.close_gracefully()

    def _on_closed(self, error: OSError | None) -> None:
        self._abandon_requests()
        self.unregister()

    def _abandon_requests(self) -> None:
        """Notifies the handlers of open requests that the client has left."""
        self.client_closed = True
        self._clear_deadline()
        for pending in list(self.pending_answers):
            request = pending.request
            if pending.encoded is None and request is not None and request.on_client_left is not None:
                on_client_left, request.on_client_left = request.on_client_left, None
                on_client_left()

    def close_gracefully(self) -> None:
        """Closes once all written bytes are sent; the connection is counted until its descriptor is free."""
        self._clear_deadline()
        self.closing = True
        self.stream.close(lambda error: self.unregister())

    def close_at_once(self) -> None:
        """Ends the connection without waiting for the answers that are still owed."""
        if self.stream.closing:
            self.stream.finish_close()  # the kernel has all written bytes
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
            self._update_buffered_bytes(0)
            self.server.unregister(self)
