"""One connection to a host, and the requests on it.

`decisions.connections.pooling` chooses the connection of a request, `gaproute.hosts.results` says what the
end of a connection proves. A request has begun once the kernel has taken its first byte. Until then the
request itself waits here, and not its bytes in a buffer: whether it may begin is checked when it is written.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from gaproute.errors import GaprouteError
from gaproute.hosts import results
from gaproute.hosts.jsonlines import messages
from gaproute.hosts.jsonlines.connection_owner import ConnectionHost
from gaproute.hosts.jsonlines.line_reader import LineReader, MalformedLineError
from gaproute.hosts.jsonlines.messages import Reply
from gaproute.hosts.jsonlines.pending_request import NO_DEADLINE, PendingRequest, already_written
from gaproute.interface import Idempotency, Result
from gaproute.loop import Stream, connect

# Time in which the kernel must have taken a complete request that has begun, ns. The time limit that the
# request carries is too long by no more than this when the host can read it.
WRITE_TIMEOUT = 100_000_000


class WriteAbandonedError(GaprouteError):
    """The gateway closes the connection, so that a request that is written in part is never completed."""


class Connection:
    """A connection to one host, from when it is being opened; requests wait until it is established."""

    __slots__ = (
        "host",
        "pool",
        "pending",
        "retired_ids",
        "reader",
        "stream",
        "written",
        "last_used",
        "last_read",
        "reusable",
        "answered",
        "cancel_connect",
    )

    def __init__(self, host: ConnectionHost[Connection]) -> None:
        self.host, self.pool = host, host.pool
        loop = self.pool.loop
        self.pending: dict[str, PendingRequest] = {}  # by id
        self.retired_ids: set[str] = set()  # ids of ended requests for which a reply may still come
        self.reader = LineReader()
        self.stream: Stream | None = None  # None until the connection is established
        self.written = 0  # bytes given to the stream so far
        self.last_used = self.last_read = loop.now()
        self.reusable = True  # whether the connection takes further requests
        self.answered = 0  # requests that got a reply
        self.cancel_connect: Callable[[], object] | None = connect(
            loop, host.address, self.pool.connect_timeout, self._connected
        )

    def _connected(self, sock: socket.socket | None, error: OSError | None) -> None:
        if sock is None:
            self.fail(error)
            return
        self.cancel_connect = None
        self.stream = Stream(self.pool.loop, sock, self.on_bytes, self.fail)
        self.stream.on_writable = self.write_pending
        self.write_pending()

    def submit(self, request: PendingRequest) -> None:
        """Write the request now, or once the connection takes it."""
        self.pending[request.id] = request
        self.write_pending()

    def write_pending(self) -> None:
        """Write the requests that wait, while the kernel takes them; end those that may no longer begin."""
        stream, loop = self.stream, self.pool.loop
        if stream is None:  # not connected yet
            return
        for request in [request for request in self.pending.values() if request.end_offset is None]:
            now = loop.now()
            if now >= request.until or not request.wanted():
                self._fail_unsent(request, Result.NOT_SENT)
                continue
            data = request.encode(now)
            if not stream.try_write(data):
                return  # `on_writable` calls this again
            self.written += len(data)
            request.end_offset, request.encode = self.written, already_written
            if stream.bytes_unsent and request.until < NO_DEADLINE:
                loop.call_later(WRITE_TIMEOUT, self._check_written, request)

    def _check_written(self, request: PendingRequest) -> None:
        """Close the connection if the request is still written only in part: its time limit is wrong now."""
        if self.pending.get(request.id) is request and not self.is_written(request):
            self.fail(WriteAbandonedError("a request could not be written whole in time"))

    def _fail_unsent(self, request: PendingRequest, result: Result) -> None:
        """End a request that has not begun."""
        del self.pending[request.id]
        self.pool.loop.call_soon(request.end, result)

    def is_written(self, request: PendingRequest) -> bool:
        """Whether the host may have received the complete request."""
        stream, end_offset = self.stream, request.end_offset
        return stream is not None and end_offset is not None and stream.bytes_sent >= end_offset

    def is_silent_since(self, time: int) -> bool:
        """Whether nothing was received since that time, or no reply ever came."""
        return not self.answered or self.last_read < time

    def is_quiet(self) -> bool:
        """Whether neither the connection's end nor unexpected bytes have come; takes one system call."""
        return self.stream is not None and bool(self.stream.is_quiet())

    def on_bytes(self, data: bytes) -> None:
        """Take received bytes and end the requests to which they reply."""
        self.last_read = self.pool.loop.now()
        malformed = None
        try:
            replies = self.reader.feed(data)
        except MalformedLineError as error:
            malformed, replies = error, error.replies
        for reply in replies:
            self._take_reply(reply)
        if malformed is not None:
            self.pool.malformed += 1
            self.fail(malformed)
        elif not self.pending and not self._may_be_kept():
            self.drop()

    def _take_reply(self, reply: Reply) -> None:
        request = self.pending.get(str(reply.req))
        if request is None or not self.is_written(request):
            self.pool.unmatched += 1
            return
        del self.pending[request.id]
        self.retired_ids.add(request.id)  # a retry may carry this id, and a second reply to this attempt come
        self.last_used = self.last_read
        self.answered += 1
        if request.end(reply):
            self.retired_ids.discard(request.id)

    def _may_be_kept(self) -> bool:
        return self.reusable and self.pool.pooling.allows_reuse(
            self.last_read, self.host.name, Idempotency.IDEMPOTENT
        )

    def fail(self, error: BaseException | None) -> None:
        """Note that the connection has ended: each request on it fails, with a result by how far it got."""
        malformed = isinstance(error, MalformedLineError)
        by_host = not malformed and not isinstance(error, WriteAbandonedError)
        now, ended = self.pool.loop.now(), []
        for request in self.pending.values():
            result = results.of_ended_connection(error, started=request.started, malformed=malformed)
            ended.append((request, result))
            if by_host and self.answered and self.last_read < request.created_at:
                idle_time = request.created_at - self.last_used
                self.pool.pooling.record_stale_end(now, self.host.name, idle_time, now - request.created_at)
        self.pending = {}
        self.drop()
        for request, result in ended:
            self.pool.loop.call_soon(request.end, result)

    def drain(self) -> None:
        """Begin no further request; close the connection once none is in flight."""
        for request in [request for request in self.pending.values() if not request.started]:
            self._fail_unsent(request, results.of_ended_connection(None, started=False))
        self.reusable = False
        if not self.pending:
            self.drop()

    def cancel(self, request: PendingRequest) -> None:
        """End a request whose reply nobody waits for; its callback is not called.

        A request that has not begun is dropped. One that is written in part is never completed: the
        connection is closed. For one that is written, the host is sent a cancellation where the settings
        allow it; a connection that was silent for too long takes no further requests, and is closed once no
        other request is on it.
        """
        request.on_ended = None
        if self.pending.get(request.id) is not request:
            return
        del self.pending[request.id]
        if not request.started:
            if not self.pending:
                self.drop()
        elif request.until < NO_DEADLINE and not self.is_written(request):
            self.fail(WriteAbandonedError("a request is cancelled before it was written whole"))
        elif self.stream is not None:
            self._cancel_at_host(request, self.stream)

    def _cancel_at_host(self, request: PendingRequest, stream: Stream) -> None:
        self.retired_ids.add(request.id)
        now = self.pool.loop.now()
        if self.pool.pooling.is_silent(now, max(request.created_at, self.last_read)):
            self.reusable = False
        if not self.pending and (not self.reusable or stream.bytes_unsent):
            self.drop()
        elif self.pool.cancel_allowed:
            self.last_used = now
            data = messages.encode_cancel(request.id)
            stream.write(data)
            self.written += len(data)

    def drop(self) -> None:
        """Close the connection; no callback is called."""
        self.host.connections.discard(self)
        self.reusable = False
        if self.cancel_connect is not None:
            self.cancel_connect()
            self.cancel_connect = None
        if self.stream is not None:
            self.stream.abort()
