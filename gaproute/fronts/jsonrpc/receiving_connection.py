"""The receiving half of a client's connection: from bytes to messages that are handled one by one."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from typing import Any

from gaproute.fronts.jsonrpc.cancellation import RequestReference, drop_cancelled_requests
from gaproute.fronts.jsonrpc.connection_owner import OpenRequest, RpcConnectionOwner
from gaproute.fronts.jsonrpc.errors import ErrorCode, ProtocolError
from gaproute.fronts.jsonrpc.message_intake import MAX_READS_IN_A_ROW, MAX_UNHANDLED_MESSAGES, MessageIntake
from gaproute.fronts.jsonrpc.presence import ClientPresence
from gaproute.fronts.jsonrpc.requests import request_number
from gaproute.loop import Stream
from gaproute.loop.unread import PendingInput

# Unsent bytes of answers from which on nothing more is read from a client: a few answers of the greatest
# size, or a thousand of the usual size.
MAX_UNSENT_BYTES = 64 * 1024


class ReceivingConnection(ABC):
    """Receives messages and has them handled. While messages are unhandled, nothing more is read.

    `reading_ended`: nothing more is read, and the connection closes once its open requests are answered.
    `closing`: all requests are answered, and the connection is being closed.
    """

    __slots__ = (
        "front",
        "stream",
        "intake",
        "open_requests",
        "message_started_at",
        "last_activity",
        "reading_ended",
        "closing",
        "client_closed",
        "presence",
        "messages_arrived_at",
        "read_completely",
        "reading_ahead",
        "counted_bytes",
        "paused_until",
    )

    def __init__(self, front: RpcConnectionOwner[Any], sock: socket.socket) -> None:
        self.front = front
        self.intake = MessageIntake()
        self.open_requests: dict[int, OpenRequest] = {}  # by the number that the client gave
        self.message_started_at = front.loop.now()  # when the incomplete message began, ns
        self.last_activity = self.message_started_at  # when bytes were last received, written or sent
        self.reading_ended, self.closing = False, False
        self.client_closed = False  # the client closed after the bytes that were read last
        self.presence = ClientPresence(self)
        self.messages_arrived_at = 0  # since when the messages read last may have been unread, ns
        self.read_completely = True  # whether nothing was left to be read when they were read
        self.reading_ahead = False
        self.counted_bytes = 0  # see `ClientMemory`
        self.paused_until = 0  # until then nothing is read, ns
        self.stream = Stream(front.loop, sock, self.receive, self._on_closed, detect_hangup_early=True)
        self.stream.on_writable = self._on_all_sent

    @abstractmethod
    def _on_all_sent(self) -> None:
        """Called when all written bytes are sent."""

    @abstractmethod
    def _on_closed(self, error: OSError | None) -> None:
        """Called when the socket is closed."""

    @abstractmethod
    def report_error(self, error: ProtocolError) -> None:
        """Sends an error to the client."""

    @abstractmethod
    def cancel_request(self, reference: RequestReference | None) -> None:
        """Ends a request that the client has cancelled by its number or its id."""

    @abstractmethod
    def buffered_bytes(self) -> int:
        """Bytes of memory that unhandled messages, an incomplete one and unsent answers use."""

    @abstractmethod
    def owes_answer(self, now: int) -> bool:
        """Whether the client may still wait for the answer to a request on this connection."""

    @abstractmethod
    def free_memory(self) -> None:
        """Frees what the connection buffers; its open requests are still answered where its client reads."""

    @abstractmethod
    def close_if_finished(self) -> None:
        """Closes the connection if nothing is left to be read, handled or answered."""

    @abstractmethod
    def abort(self) -> None:
        """Resets the connection and ends its requests."""

    # Reading

    def receive(self, data: bytes) -> None:
        """Takes received bytes and has the messages that they complete handled."""
        if self.reading_ended or self.closing or self.client_closed:
            return
        now = self.front.loop.now()
        if not self.intake.reader.mid_message:
            self.message_started_at = now
        self.last_activity = now
        messages = self.intake.take(data)
        if messages:
            self.message_started_at = now
        if self.reading_ahead:
            self.intake.hold(messages)
            return
        if messages or self.intake.last_read_full:
            pending = self.stream.pending()
            if pending.unread and not pending.hung_up:
                self.intake.hold(messages)
                pending = self._read_ahead(pending)
                messages = list(self.intake.unhandled)
                self.intake.drop_messages()
            if not self.stream.open or messages and not self._note_messages_read(now, pending):
                return
        self.intake.hold(drop_cancelled_requests(messages, self.open_requests, self.front.admission.open_ids))
        self.front.memory.count(self)
        if self.stream.open:
            self._handle_messages()

    def _read_ahead(self, pending: PendingInput) -> PendingInput:
        """Reads until nothing is left, within bounds: the client may have closed behind many bytes.

        A read that returns little does not show that nothing is left, as it lets the client's kernel send on.
        Returns what can be read afterwards.
        """
        self.reading_ahead = True
        for _ in range(MAX_READS_IN_A_ROW):
            if not pending.unread or pending.hung_up:
                break
            if len(self.intake.unhandled) > MAX_UNHANDLED_MESSAGES:
                break
            if not self.front.memory.allows_read_ahead(self):
                break
            self.stream.read_now()
            pending = self.stream.pending()
        self.reading_ahead = False
        return pending

    def _note_messages_read(self, now: int, pending: PendingInput) -> bool:
        """Records that complete messages were read; returns whether their client is still connected.

        If the client closed while they were unread, no request among them begins.
        """
        self.client_closed = pending.hung_up
        if self.client_closed:
            self.abort()
            return False
        self.messages_arrived_at = now - max(self.front.loop.read_delay, self.stream.unread_age())
        self.read_completely = not pending.unread
        self.presence.note_read(now, read_completely=self.read_completely)
        return True

    def _handle_messages(self) -> None:
        if not self.intake.unhandled:
            self._messages_handled()
        elif self.front.memory.is_short:
            self.handle_all_messages()
        elif not self.front.scheduler.schedule(self) and self.stream.open:
            self.stream.pause()

    def handle_all_messages(self) -> None:
        """Handles all messages at once."""
        while self.handle_next_message():
            pass

    def handle_next_message(self) -> bool:
        """Handles one message; returns whether more are left."""
        message = self.intake.next_message() if self.stream.open else None
        if message is not None:
            self._handle_message(message)
        if not self.stream.open:
            return False
        if self.intake.unhandled:
            return True
        self._messages_handled()
        return False

    def _messages_handled(self) -> None:
        """Reports an error behind the messages, and reads on or closes."""
        if self.intake.error is not None:
            self.report_error(self.intake.error)
        self.update_reading()
        self.front.memory.count(self)
        self.close_if_finished()

    def pause_reading(self, until: int) -> None:
        """Reads nothing more until that time (ns), once all messages read so far are handled."""
        self.paused_until = until

    def is_paused(self, now: int) -> bool:
        """Whether nothing is read for the moment, as the client sends more than it may."""
        return now < self.paused_until and not self.front.stopping

    def update_reading(self) -> None:
        """Pauses reading while messages are unhandled, many answers unsent or the client too fast."""
        if self.reading_ended or self.closing or not self.stream.open:
            return
        held_back = self.intake.unhandled or self.stream.bytes_unsent >= MAX_UNSENT_BYTES
        if held_back or self.is_paused(self.front.loop.now()):
            self.stream.pause()
        elif not self.stream.reading:
            self.stream.resume()

    def _handle_message(self, body: bytes) -> None:
        """Handles a message. An error is reported to the client and does not affect other messages."""
        try:
            self.front.handle_message(self, body)
        except ProtocolError as error:
            self.report_error(error)
        except Exception as error:  # noqa: BLE001 - no error may affect other messages
            self.front.loop.report_error(error)
            failed = ProtocolError(ErrorCode.FAILED, "an error in the gateway", request_number(body))
            self.report_error(failed)
