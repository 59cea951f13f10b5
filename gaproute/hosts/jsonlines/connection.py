"""One connection to a host, and the requests on it.

`decisions.connections.pooling` chooses the connection of a request, `gaproute.hosts.results` says what the
end of a connection proves. A request has started once the kernel has taken its first byte. Until then its
bytes are in no buffer, and whether it may still start is checked when it is written.
"""

from __future__ import annotations

import socket
from collections.abc import Callable

from gaproute.errors import GaprouteError
from gaproute.hosts import results
from gaproute.hosts.jsonlines import messages
from gaproute.hosts.jsonlines.connection_owner import HostProtocol
from gaproute.hosts.jsonlines.line_reader import LineReader, MalformedLineError
from gaproute.hosts.jsonlines.messages import Reply
from gaproute.hosts.jsonlines.pending_request import NO_DEADLINE, PendingRequest, encode_nothing
from gaproute.interface import Idempotency, Result
from gaproute.loop import Stream, connect

# Time within which the kernel must take the rest of a request that has started. When the host can read the
# request, the time limit in the request is too long by at most this.
WRITE_TIMEOUT_NS = 100_000_000


class WriteAbandonedError(GaprouteError):
    """The gateway closed the connection, so that a partly written request is never completed."""


class Connection:
    """A connection to one host, or the attempt to open one; requests wait until it is established."""

    __slots__ = (
        "host",
        "pool",
        "pending",
        "retired_ids",
        "reader",
        "stream",
        "bytes_written",
        "last_used",
        "last_received",
        "reusable",
        "replies_received",
        "cancel_connect",
    )

    def __init__(self, host: HostProtocol[Connection]) -> None:
        self.host, self.pool = host, host.pool
        loop = self.pool.loop
        self.pending: dict[str, PendingRequest] = {}  # by id
        self.retired_ids: set[str] = set()  # ids of ended requests to which a reply may still come
        self.reader = LineReader()
        self.stream: Stream | None = None  # None until the connection is established
        self.bytes_written = 0  # bytes of requests and cancellations given to the stream
        self.last_used = self.last_received = loop.now()
        self.reusable = True  # whether the connection takes further requests
        self.replies_received = 0  # replies that belong to a request
        self.cancel_connect: Callable[[], object] | None = connect(
            loop, host.address, self.pool.connect_timeout, self._connected
        )

    def _connected(self, sock: socket.socket | None, error: OSError | None) -> None:
        if sock is None:
            self.fail(error)
            return
        self.cancel_connect = None
        self.stream = Stream(self.pool.loop, sock, self.on_bytes, self.fail)
        self.stream.on_writable = self.write_unsent_requests
        self.write_unsent_requests()

    def submit(self, request: PendingRequest) -> None:
        """Writes the request now, or as soon as the connection takes it."""
        self.pending[request.id] = request
        self.write_unsent_requests()

    def write_unsent_requests(self) -> None:
        """Writes waiting requests while the kernel takes them; ends those that may no longer start."""
        stream, loop = self.stream, self.pool.loop
        if stream is None:  # not connected yet
            return
        for request in [request for request in self.pending.values() if request.end_offset is None]:
            now = loop.now()
            if now >= request.start_before or not request.still_wanted():
                self._fail_unsent(request, Result.NOT_SENT)
                continue
            data = request.encode(now)
            if not stream.try_write(data):
                return  # the stream calls `on_writable` once it has room
            self.bytes_written += len(data)
            request.end_offset, request.encode = self.bytes_written, encode_nothing
            if stream.bytes_unsent and request.start_before < NO_DEADLINE:
                loop.call_later(WRITE_TIMEOUT_NS, self._check_written, request)

    def _check_written(self, request: PendingRequest) -> None:
        """Closes the connection if the request is still partly written, as its time limit is wrong by now."""
        if self.pending.get(request.id) is request and not self.is_written(request):
            self.fail(WriteAbandonedError("request was not completely written within the write timeout"))

    def _fail_unsent(self, request: PendingRequest, result: Result) -> None:
        """Ends a request that has not started."""
        del self.pending[request.id]
        self.pool.loop.call_soon(request.end, result)

    def is_written(self, request: PendingRequest) -> bool:
        """Whether the host may have received the complete request."""
        stream, end_offset = self.stream, request.end_offset
        return stream is not None and end_offset is not None and stream.bytes_sent >= end_offset

    def is_silent_since(self, time: int) -> bool:
        """Whether nothing was received since that time, or no reply was ever received."""
        return not self.replies_received or self.last_received < time

    def is_quiet(self) -> bool:
        """Whether neither the connection's end nor unexpected bytes have arrived; makes a system call."""
        return self.stream is not None and bool(self.stream.is_quiet())

    def on_bytes(self, data: bytes) -> None:
        """Decodes received bytes and ends the requests to which they reply."""
        self.last_received = self.pool.loop.now()
        malformed = None
        try:
            replies = self.reader.feed(data)
        except MalformedLineError as error:
            malformed, replies = error, error.replies
        for reply in replies:
            self._handle_reply(reply)
        if malformed is not None:
            self.end_malformed(malformed)
        elif not self.pending and not self._is_still_reusable():
            self.drop()
        else:
            self._count_incomplete_line()

    def _count_incomplete_line(self) -> None:
        """Counts the memory of the incomplete line, unless a reply has led to the end of the connection."""
        if self.stream is None or not self.stream.open:
            return
        for heaviest in self.pool.line_memory.count(self, self.reader.unfinished_bytes):
            heaviest.end_malformed(MalformedLineError("incomplete lines of hosts use all memory", []))

    def end_malformed(self, error: MalformedLineError) -> None:
        """Ends the connection, as nothing after this line can be trusted."""
        self.pool.malformed_replies += 1
        self.fail(error)

    def _handle_reply(self, reply: Reply) -> None:
        request = self.pending.get(str(reply.req))
        if request is None or not self.is_written(request):
            self.pool.unmatched_replies += 1
            return
        del self.pending[request.id]
        self._retire(request.id)  # a retry may have this id, and this attempt may get a second reply
        self.last_used = self.last_received
        self.replies_received += 1
        if request.end(reply):
            self._release_id(request.id)

    def _retire(self, request_id: str) -> None:
        """Remembers an id to which a reply may still come; without memory for it, this connection is left."""
        if request_id not in self.retired_ids:
            self.retired_ids.add(request_id)
            self.pool.retired_id_count += 1
        if self.pool.retired_id_count > self.pool.max_retired_ids:
            self.reusable = False

    def _release_id(self, request_id: str) -> None:
        if request_id in self.retired_ids:
            self.retired_ids.remove(request_id)
            self.pool.retired_id_count -= 1

    def _is_still_reusable(self) -> bool:
        return self.reusable and self.pool.pooling.allows_reuse(
            self.last_received, self.host.name, Idempotency.IDEMPOTENT
        )

    def fail(self, error: BaseException | None) -> None:
        """Ends the connection; fails each request on it with a result that depends on what was sent."""
        malformed = isinstance(error, MalformedLineError)
        ended_by_host = not malformed and not isinstance(error, WriteAbandonedError)
        now, failed_requests = self.pool.loop.now(), []
        for request in self.pending.values():
            result = results.result_of_ended_connection(error, started=request.started, malformed=malformed)
            failed_requests.append((request, result))
            if ended_by_host and self.replies_received and self.last_received < request.created_at:
                idle_time = request.created_at - self.last_used
                self.pool.pooling.record_stale_end(now, self.host.name, idle_time, now - request.created_at)
        self.pending = {}
        self.drop()
        for request, result in failed_requests:
            self.pool.loop.call_soon(request.end, result)

    def drain(self) -> None:
        """Starts no further request, and closes the connection once no request is in flight."""
        for request in [request for request in self.pending.values() if not request.started]:
            self._fail_unsent(request, results.result_of_ended_connection(None, started=False))
        self.reusable = False
        if not self.pending:
            self.drop()

    def cancel(self, request: PendingRequest) -> None:
        """Ends a request whose reply nobody waits for any more; its callback is not called.

        A request that has not started is dropped. A partly written request is never completed: the connection
        is closed. For a written request, the host is sent a cancellation if the settings allow it; if the
        connection was silent for too long, it takes no further requests and is closed once no other request
        is on it.
        """
        request.on_ended = None
        if self.pending.get(request.id) is not request:
            return
        del self.pending[request.id]
        if not request.started:
            if not self.pending:
                self.drop()
        elif request.start_before < NO_DEADLINE and not self.is_written(request):
            self.fail(WriteAbandonedError("request was cancelled before it was completely written"))
        elif self.stream is not None:
            self._cancel_at_host(request, self.stream)

    def _cancel_at_host(self, request: PendingRequest, stream: Stream) -> None:
        self._retire(request.id)
        now = self.pool.loop.now()
        if self.pool.pooling.is_silent(now, max(request.created_at, self.last_received)):
            self.reusable = False
        if not self.pending and (not self.reusable or stream.bytes_unsent):
            self.drop()
        elif self.pool.cancel_allowed:
            self.last_used = now
            data = messages.encode_cancel(request.id)
            stream.write(data)
            self.bytes_written += len(data)

    def drop(self) -> None:
        """Closes the connection; no callback is called."""
        self.host.connections.discard(self)
        self.pool.line_memory.remove(self)
        self.pool.retired_id_count -= len(self.retired_ids)
        self.retired_ids = set()
        self.reusable = False
        if self.cancel_connect is not None:
            self.cancel_connect()
            self.cancel_connect = None
        if self.stream is not None:
            self.stream.abort()
