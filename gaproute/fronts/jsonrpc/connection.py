"""A connection of a JSON-RPC client that is in use: reads messages, writes responses, is parked or closed."""

from __future__ import annotations

import socket

from gaproute.fronts.jsonrpc import responses
from gaproute.fronts.jsonrpc.cancellation import RequestReference
from gaproute.fronts.jsonrpc.connection_owner import RpcConnectionOwner
from gaproute.fronts.jsonrpc.errors import ErrorCode, ProtocolError
from gaproute.fronts.jsonrpc.receiving_connection import ReceivingConnection
from gaproute.units import MILLI, SECOND

# Time without a request after which a connection is parked. Only a parked connection can be closed to free
# capacity, and hundreds of connections arrive per second if clients open one for each request.
QUIET_TIME = 100 * MILLI
PROGRESS_TIMEOUT = 2 * SECOND  # to receive a complete message, or for a client to receive an answer
IDLE_TIMEOUT = 30 * SECOND  # between requests; clients close their idle connections after 4 s
MAX_PROTOCOL_ERRORS = 64  # after which a connection is closed, as each error costs CPU time


class RpcConnection(ReceivingConnection):
    """A connection in use, from its first byte until it has been quiet for a while and is parked.

    `answers_owed_until`: the time after which no client of its requests waits for an answer, ns.
    """

    __slots__ = ("address_id", "request_count", "error_count", "answers_owed_until")

    def __init__(
        self,
        front: RpcConnectionOwner[RpcConnection],
        sock: socket.socket,
        address_id: int,
        request_count: int,
    ) -> None:
        super().__init__(front, sock)
        self.address_id, self.request_count = address_id, request_count
        self.error_count, self.answers_owed_until = 0, 0

    # Errors

    def report_error(self, error: ProtocolError) -> None:
        """Sends an error to the client.

        After a message that cannot be decoded, or after too many errors, nothing more is read. Requests that
        were read before are still answered.
        """
        if error.code == ErrorCode.REJECTED:  # the final answer to a valid request
            self._write_error(error)
            return
        if self.reading_ended:
            return  # the client has been sent the error that ended the reading
        self.front.protocol_errors += 1
        self.error_count += 1
        self.front.on_protocol_error(error.code, error.text)
        self._write_error(error)
        if error.code == ErrorCode.PARSE_ERROR or self.error_count >= MAX_PROTOCOL_ERRORS:
            self.reading_ended = True
            self.stream.pause()
            self.close_if_finished()

    # Writing

    def write(self, data: bytes) -> None:
        """Sends an encoded message."""
        self.last_activity = self.front.loop.now()
        self.stream.write(data)
        if self.stream.bytes_unsent:
            self.front.memory.count_soon(self)

    def _write_error(self, error: ProtocolError) -> None:
        self.write(responses.encode_error(error.request_number, error.code, error.text, error.retry_after))

    def _on_all_sent(self) -> None:
        """Called when all written bytes are sent; resumes reading if unsent answers had paused it."""
        self.last_activity = self.front.loop.now()
        self.front.memory.count(self)
        self.update_reading()

    # The client's presence

    def cancel_request(self, reference: RequestReference | None) -> None:
        """Ends a request that the client has cancelled by its number or its id."""
        for number, request in self.open_requests.items():
            if reference in (number, request.request_id):
                del self.open_requests[number]
                self.front.abandon_request(request)
                return

    def owes_answer(self, now: int) -> bool:
        """Whether the client may still wait for the answer to a request on this connection."""
        return now <= self.answers_owed_until

    # Limits

    def check_progress(self, now: int) -> None:
        """Ends the connection if its client receives no answers or sends too slowly; parks it if quiet.

        The front calls it about every 100 ms.
        """
        if (
            self.stream.bytes_unsent
            and now - self.last_activity > PROGRESS_TIMEOUT
            and not self.owes_answer(now)
        ):
            self.front.unresponsive_clients += 1
            self.abort()
        elif self.reading_ended or self.closing or self.intake.unhandled or self.is_paused(now):
            return
        elif self.paused_until:
            self.paused_until, self.message_started_at = 0, now
            self.update_reading()
        elif self._message_overdue(now):
            self.stream.read_now()  # the rest may have arrived since the loop last polled
            if self.stream.open and not self.reading_ended and self._message_overdue(now):
                text = "the message did not come in whole in time"
                self.report_error(ProtocolError(ErrorCode.PARSE_ERROR, text))
        elif self.front.stopping:
            self.close_if_finished()  # an earlier call saw unread bytes, or could not tell if there were any
        elif self._is_quiet(now):
            self.front.park(self, self.front.connections.admission.idle_deadline(now, IDLE_TIMEOUT))

    def _message_overdue(self, now: int) -> bool:
        """Whether the incomplete message takes too long to arrive."""
        return self.intake.reader.mid_message and now - self.message_started_at > PROGRESS_TIMEOUT

    def _is_quiet(self, now: int) -> bool:
        """Whether the connection has had no open request, incomplete message or unsent bytes for a while."""
        busy = self.open_requests or self.stream.bytes_unsent or self.intake.reader.mid_message
        return not (busy or self.intake.unhandled) and now - self.last_activity > QUIET_TIME

    def buffered_bytes(self) -> int:
        """Bytes of memory that unhandled messages, an incomplete one and unsent answers use."""
        return self.stream.bytes_unsent + self.intake.buffered_bytes()

    def free_memory(self) -> None:
        """Frees what the connection buffers; its open requests are still answered where its client reads.

        Its messages are handled at once, an incomplete one ends the reading, and a client that does not read
        its answers is disconnected.
        """
        self.handle_all_messages()
        if self.stream.open and self.intake.buffered_bytes():
            self.report_error(ProtocolError(ErrorCode.PARSE_ERROR, "no memory is left for this message"))
            self.intake.drop_all()
        if self.stream.open and self.stream.bytes_unsent:
            self.front.unresponsive_clients += 1
            self.abort()

    # Closing

    def close_if_finished(self) -> None:
        """Closes the connection after its last answer if its reading has ended or the gateway stops.

        At a stop, unread messages are read and answered first.
        """
        if self.open_requests or self.intake.unhandled or self.closing:
            return
        if (
            self.reading_ended
            or self.front.stopping
            and not self.intake.reader.mid_message
            and self.stream.is_quiet()
        ):
            self._close()

    def _close(self) -> None:
        """Closes once all written bytes are sent; the connection is counted until its descriptor is free."""
        self.closing = True
        self.stream.close(self._on_closed)

    def close_at_once(self) -> None:
        """Ends the connection without waiting for the answers that are still owed."""
        if self.closing:
            self.stream.finish_close()  # the kernel has all written bytes
        else:
            self.abort()

    def abort(self) -> None:
        """Resets the connection and ends its requests."""
        self.stream.abort()
        self._on_closed(None)

    def _on_closed(self, error: OSError | None) -> None:
        """Called when the socket is closed: ends the client's requests and removes the connection."""
        self.intake.drop_all()
        self.presence.end()
        abandoned, self.open_requests = self.open_requests, {}
        for request in abandoned.values():
            self.front.abandon_request(request)
        if self in self.front.active_connections:
            self.front.unregister(self)
