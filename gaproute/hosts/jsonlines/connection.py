"""One connection to a host that carries lines, and the requests on it. It reports what it sees.

`decisions.connections.pooling` chooses the connection of a request, `gaproute.hosts.results` says what an
end proves. A request begins with its first byte in the kernel: until then it waits here, never in a buffer.
Whether it may still begin is checked when it is written, not when it was submitted.
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

# Within which the kernel must have taken a whole request that has begun, ns: by no more is the limit in the
# request wrong when its host can read it.
WRITE_TIMEOUT = 100_000_000


class WriteAbandonedError(GaprouteError):
    """This side ends the connection, as a request on it is not to come whole any more."""


class Connection:
    """A connection to one host, from the moment it is opened; requests wait until it is there."""

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
        self.retired_ids: set[str] = set()  # ids for which one more reply may come
        self.reader = LineReader()
        self.stream: Stream | None = None  # None until it is connected
        self.written = 0  # bytes
        self.last_used = self.last_read = loop.now()
        self.reusable = True  # takes further requests
        self.answered = 0  # requests
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
        """Write the request as soon as the kernel takes a byte of it."""
        self.pending[request.id] = request
        self.write_pending()

    def write_pending(self) -> None:
        """Write what waits while the kernel takes it; fail what may no longer begin."""
        stream, loop = self.stream, self.pool.loop
        if stream is None:  # not connected yet
            return
        for request in [request for request in self.pending.values() if request.end_offset is None]:
            now = loop.now()
            if now >= request.until or not request.wanted():
                self._fail_unsent(request, Result.NOT_SENT)
                continue
            data = request.encode(now)
            if not stream.try_begin(data):
                return  # `on_writable` calls this again
            self.written += len(data)
            request.end_offset, request.encode = self.written, already_written
            if stream.bytes_unsent and request.until < NO_DEADLINE:
                loop.after(WRITE_TIMEOUT, self._check_written, request)

    def _check_written(self, request: PendingRequest) -> None:
        """End a request that is written only in part after so long: the limit in it is no longer true."""
        if self.pending.get(request.id) is request and not self.is_written(request):
            self.fail(WriteAbandonedError("a request could not be written whole in time"))

    def _fail_unsent(self, request: PendingRequest, result: Result) -> None:
        """The request has not begun and never will."""
        del self.pending[request.id]
        self.pool.loop.soon(request.end, result)

    def is_written(self, request: PendingRequest) -> bool:
        """Whether the host may have all of the request."""
        stream, end_offset = self.stream, request.end_offset
        return stream is not None and end_offset is not None and stream.bytes_sent >= end_offset

    def is_silent_since(self, time: int) -> bool:
        """Whether nothing came since then, or no reply ever."""
        return not self.answered or self.last_read < time

    def is_quiet(self) -> bool:
        """Whether neither its end nor unrequested bytes have come: one system call."""
        return self.stream is not None and bool(self.stream.is_quiet())

    def on_bytes(self, data: bytes) -> None:
        """Take what the host sent."""
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
        self.retired_ids.add(request.id)  # it may go again, and a second reply to this may come yet
        self.last_used = self.last_read
        self.answered += 1
        if request.end(reply):
            self.retired_ids.discard(request.id)

    def _may_be_kept(self) -> bool:
        return self.reusable and self.pool.pooling.allows_reuse(
            self.last_read, self.host.name, Idempotency.IDEMPOTENT
        )

    def fail(self, error: BaseException | None) -> None:
        """The connection has ended: each request on it has failed, by how far it got."""
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
            self.pool.loop.soon(request.end, result)

    def drain(self) -> None:
        """Begin nothing more; close once nothing is in flight."""
        for request in [request for request in self.pending.values() if not request.started]:
            self._fail_unsent(request, results.of_ended_connection(None, started=False))
        self.reusable = False
        if not self.pending:
            self.drop()

    def cancel(self, request: PendingRequest) -> None:
        """End a request whose reply nobody waits for; its callback is not called.

        One that has not begun never does. One that is written in part is never completed: its connection
        ends. For one that is written the host gets a cancel where the settings allow it, and the connection
        ends where it was silent.
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
        """Close the connection; nothing is called."""
        self.host.connections.discard(self)
        self.reusable = False
        if self.cancel_connect is not None:
            self.cancel_connect()
            self.cancel_connect = None
        if self.stream is not None:
            self.stream.abort()
