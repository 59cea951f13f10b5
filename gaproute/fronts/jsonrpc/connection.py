"""A client's connection that speaks JSON-RPC: messages in, responses out, when it parks and closes."""

from __future__ import annotations

import socket

from gaproute.fronts.jsonrpc import responses
from gaproute.fronts.jsonrpc.cancellation import RequestName, drop_cancelled
from gaproute.fronts.jsonrpc.connection_owner import OpenRequest, RpcConnectionOwner
from gaproute.fronts.jsonrpc.errors import ErrorCode, FramingError, ProtocolError
from gaproute.fronts.jsonrpc.framing import MessageReader
from gaproute.fronts.jsonrpc.presence import ClientPresence
from gaproute.fronts.jsonrpc.requests import request_number
from gaproute.loop import Stream

MILLI, SECOND = 1_000_000, 1_000_000_000
# Without a request until a connection is parked: only parked ones can give way to others, and hundreds come
# in a second where clients open one for each request.
QUIET_TIME = 100 * MILLI
PROGRESS_TIMEOUT = 2 * SECOND  # for a message to come in whole, or for a client to take an answer
IDLE_TIMEOUT = 30 * SECOND  # between requests: clients close theirs after 4 s
# Bytes that wait for a client to take them, above which nothing of it is read: a few answers of the greatest
# size, or a thousand of the usual.
MAX_UNTAKEN = 64 * 1024
MAX_PROTOCOL_ERRORS = 64  # of one connection, until it is closed: each takes work from the others


class ClientConnection:
    """A connection at work, from its first byte until it has been quiet for a while.

    `reading_ended`: nothing more of it is read, and it closes once its open requests are answered.
    `closing`: all are answered. `owes_until`: when the last of its requests needs no answer any more.
    """

    __slots__ = (
        "front",
        "stream",
        "reader",
        "address_id",
        "request_count",
        "open_requests",
        "message_started",
        "last_activity",
        "error_count",
        "reading_ended",
        "closing",
        "owes_until",
        "client_closed",
        "presence",
        "read_delay",
    )

    def __init__(
        self,
        front: RpcConnectionOwner[ClientConnection],
        sock: socket.socket,
        address_id: int,
        request_count: int,
    ) -> None:
        self.front, self.address_id, self.request_count = front, address_id, request_count
        self.reader = MessageReader()
        self.open_requests: dict[int, OpenRequest] = {}  # by the client's number
        self.message_started = front.loop.now()  # when the first byte of a message came that is not whole
        self.last_activity = self.message_started  # when bytes came, or were written or taken
        self.error_count, self.reading_ended, self.closing, self.owes_until = 0, False, False, 0
        self.client_closed = False  # the client had closed behind what was read last: its end is read next
        self.presence = ClientPresence(self)
        self.read_delay = 0  # how long what was read last may have lain unread, ns
        self.stream = Stream(front.loop, sock, self.receive, self._on_closed, hangup_first=True)
        self.stream.on_writable = self._on_taken

    # Reading

    def receive(self, data: bytes) -> None:
        """Takes received bytes and handles the messages that they complete."""
        if self.reading_ended or self.closing or self.client_closed:
            return
        now = self.front.loop.now()
        if not self.reader.mid_message:
            self.message_started = now
        self.last_activity = now
        error: FramingError | None = None
        try:
            bodies = self.reader.feed(data)
        except FramingError as framing_error:
            error, bodies = framing_error, framing_error.bodies
        if bodies and not self._note_read(now, len(data)):
            return
        for body in drop_cancelled(bodies, self.open_requests, self.front.open_request_ids):
            self._handle_message(body)
            if not self.stream.open:
                return
        if error is not None:
            self.report_error(error)
        elif self.stream.bytes_unsent >= MAX_UNTAKEN:
            self.stream.pause()
        self.close_if_finished()

    def _note_read(self, now: int, size: int) -> bool:
        """Whole messages have been read; whether their client is still there.

        It may have closed behind them while they waited at admission or lay unread: nothing begins then.
        """
        self.message_started = now
        self.client_closed = self.stream.hung_up()
        if self.client_closed:
            return False
        self.read_delay = max(self.front.loop.read_delay, self.stream.unread_age())
        self.presence.note_read(now, size)
        return True

    def _handle_message(self, body: bytes) -> None:
        """Handles one message; an error over it is answered under its number and harms no other."""
        try:
            self.front.handle_message(self, body)
        except ProtocolError as error:
            self.report_error(error)
        except Exception as error:  # noqa: BLE001 - whatever it is, other messages are served
            self.front.loop.failed(error)
            failed = ProtocolError(ErrorCode.FAILED, "an error in the gateway", request_number(body))
            self.report_error(failed)

    def report_error(self, error: ProtocolError) -> None:
        """Tells the client of an error. What cannot be read, or too many errors, end the reading; requests
        read before are owed their answers, also where they stand behind it in the same read."""
        if error.code == ErrorCode.REJECTED:  # an answer, and no error of the client's
            self._write_error(error)
            return
        if self.reading_ended:
            return  # it has been answered
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
        """Sends a message."""
        self.last_activity = self.front.loop.now()
        self.stream.write(data)

    def _write_error(self, error: ProtocolError) -> None:
        self.write(responses.encode_error(error.request_number, error.code, error.text))

    def _on_taken(self) -> None:
        """The client has taken all that was written."""
        self.last_activity = self.front.loop.now()
        if not self.stream.reading and not self.reading_ended and not self.closing:
            self.stream.resume()

    # The client's presence

    def cancel_request(self, name: RequestName | None) -> None:
        """The client no longer waits for a request, by its number or its id: no answer is owed."""
        for number, request in self.open_requests.items():
            if name in (number, request.request_id):
                del self.open_requests[number]
                self.front.client_left(request)
                return

    def owes_answer(self, now: int) -> bool:
        """Whether a request of it still needs an answer that can be taken in time."""
        return now <= self.owes_until

    # Limits

    def check_progress(self, now: int) -> None:
        """Ends a client that takes no answers or sends too slowly, and parks a quiet one; called now and
        then."""
        if (
            self.stream.bytes_unsent
            and now - self.last_activity > PROGRESS_TIMEOUT
            and not self.owes_answer(now)
        ):
            self.front.unresponsive += 1
            self.abort()
        elif self.reading_ended or self.closing:
            return
        elif self._message_overdue(now):
            self.stream.read_now()  # its rest may have come since the loop last looked
            if self.stream.open and not self.reading_ended and self._message_overdue(now):
                text = "the message did not come in whole in time"
                self.report_error(ProtocolError(ErrorCode.PARSE_ERROR, text))
        elif self.front.stopping:
            self.close_if_finished()  # where it could not be seen before whether something lies there
        elif self._is_quiet(now):
            self.front.park(self, self.front.connections.admission.idle_deadline(now, IDLE_TIMEOUT))

    def _message_overdue(self, now: int) -> bool:
        """Whether a message has been coming in for too long."""
        return self.reader.mid_message and now - self.message_started > PROGRESS_TIMEOUT

    def _is_quiet(self, now: int) -> bool:
        """Whether nothing is open on it, coming in or to be taken, and that for a while."""
        at_work = self.open_requests or self.stream.bytes_unsent or self.reader.mid_message
        return not at_work and now - self.last_activity > QUIET_TIME

    def buffered_bytes(self) -> int:
        """Bytes that it takes up: answers that were not taken, and a message that has come in part."""
        return self.stream.bytes_unsent + len(self.reader.buffer)

    # The end

    def close_if_finished(self) -> None:
        """Closes it after its last answer, where its reading has ended; at a stop any connection, and not
        before what lies there has been read and answered."""
        if self.open_requests or self.closing:
            return
        if (
            self.reading_ended
            or self.front.stopping
            and not self.reader.mid_message
            and self.stream.is_quiet()
        ):
            self._close()

    def _close(self) -> None:
        """Closes once what was written has been taken. Until its descriptor is given back it counts."""
        self.closing = True
        self.stream.close(self._on_closed)

    def close_at_once(self) -> None:
        """Ends the connection without waiting for answers still owed."""
        if self.closing:
            self.stream.finish_close()  # its last bytes are with the kernel
        else:
            self.abort()

    def abort(self) -> None:
        """Resets the connection; its requests end."""
        self.stream.abort()
        self._on_closed(None)

    def _on_closed(self, error: OSError | None) -> None:
        """The socket is closed: the requests of the client end, and the connection is forgotten."""
        abandoned, self.open_requests = self.open_requests, {}
        for request in abandoned.values():
            self.front.client_left(request)
        if self in self.front.active_connections:
            self.front.unregister(self)
