"""The writing half of a stream, which queues bytes that the kernel does not accept immediately."""

from __future__ import annotations

import socket
from abc import ABC, abstractmethod
from collections.abc import Callable

from gaproute.loop.descriptors import READ, WRITE
from gaproute.loop.faults import is_transient
from gaproute.loop.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.loop.unread import REMOTE_SHUTDOWN

WRITE_HIGH_WATER = 1 << 20  # queued bytes from which on `write` asks its caller to wait: it returns False

Data = bytes | bytearray | memoryview


class StreamWriter(ABC):
    """A connected socket and the bytes that wait to be written to it.

    `bytes_sent` counts the bytes that the kernel accepted: after a failure, the other side may have received
    up to as many. `on_writable()` is called when all queued bytes have been written.
    """

    __slots__ = (
        "loop",
        "sock",
        "fd",
        "open",
        "closing",
        "close_timer",
        "reading",
        "half_closed",
        "detect_hangup_early",
        "events",
        "on_writable",
        "outgoing",
        "bytes_unsent",
        "bytes_sent",
        "wants_writable",
    )

    def __init__(self, loop: Loop, sock: socket.socket, *, detect_hangup_early: bool) -> None:
        self.loop, self.sock, self.fd = loop, sock, sock.fileno()
        self.open = True
        self.closing = False  # whether `close` was called
        self.close_timer: Timer | None = None  # while the stream is being closed
        self.reading = True
        self.half_closed = False  # whether the end of what the other side sends was reported
        self.detect_hangup_early = detect_hangup_early
        # The events for which the loop watches the descriptor:
        self.events = READ | REMOTE_SHUTDOWN if detect_hangup_early else READ
        self.on_writable: Callable[[], object] | None = None
        self.outgoing: list[Data] = []
        self.bytes_unsent = self.bytes_sent = 0
        self.wants_writable = False  # `try_write` failed, and `on_writable` is to be called

    @abstractmethod
    def _handle_write_error(self, error: OSError) -> None:
        """Ends the stream after a failed write."""

    @abstractmethod
    def _shut_down_writing(self) -> None:
        """Continues a close once all queued bytes are written."""

    def write(self, data: Data) -> bool:
        """Writes bytes, and queues those that the kernel does not accept.

        Returns whether the caller may write more before the queue is empty.
        """
        if not self.open or self.closing:
            return False
        if self.outgoing:
            self.outgoing.append(data)
            self.bytes_unsent += len(data)
        else:
            sent = self._send(data)
            if sent is not None and sent < len(data):
                self.outgoing.append(memoryview(data)[sent:])
                self.bytes_unsent += len(data) - sent
                self._update_events()
        return self.bytes_unsent < WRITE_HIGH_WATER

    def try_write(self, data: Data) -> bool:
        """Writes like `write`, but queues nothing unless the kernel accepts the first byte.

        Returns False if the kernel accepts no byte; `on_writable` is called when the caller may try again.
        """
        if not self.open or self.closing:
            return False
        sent = 0 if self.outgoing else self._send(data)
        if sent and sent < len(data):
            self.outgoing.append(memoryview(data)[sent:])
            self.bytes_unsent += len(data) - sent
        self.wants_writable = sent == 0
        self._update_events()
        return bool(sent)

    def _send(self, data: Data) -> int | None:
        """Sends bytes; returns how many the kernel accepted, or None if the connection is broken."""
        try:
            sent = self.sock.send(data)
        except OSError as error:
            if is_transient(error):
                return 0
            self.loop.call_soon(self._handle_write_error, error)
            return None
        self.bytes_sent += sent
        return sent

    def _flush(self) -> None:
        while self.outgoing:
            sent = self._send(self.outgoing[0])
            if sent is None:
                return
            self.bytes_unsent -= sent
            if sent < len(self.outgoing[0]):
                self.outgoing[0] = memoryview(self.outgoing[0])[sent:]
                return
            self.outgoing.pop(0)
        if self.closing:
            self._shut_down_writing()
            return
        self.wants_writable = False
        self._update_events()
        if self.on_writable is not None:
            self.on_writable()

    def _update_events(self) -> None:
        """Has the loop watch for the events that the present state needs."""
        if self.reading:
            events = READ | REMOTE_SHUTDOWN if self.detect_hangup_early and not self.half_closed else READ
        else:
            events = 0 if self.half_closed else REMOTE_SHUTDOWN
        if self.outgoing or self.wants_writable:
            events |= WRITE
        if self.open and events != self.events:
            self.events = events
            self.loop.change_events(self.fd, events)
