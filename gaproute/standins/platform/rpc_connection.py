"""A client's connection to a gateway of the platform: JSON-RPC requests out, answers in, by their numbers."""

from __future__ import annotations

import socket
from collections.abc import Callable
from enum import Enum, auto

from gaproute.loop import Loop, Stream, connect
from gaproute.loop.addresses import Address
from gaproute.standins.json_objects import JsonObject
from gaproute.standins.platform.answer_reader import AnswerReader, MalformedAnswerError, encode_message
from gaproute.units import MILLI

CONNECT_TIMEOUT = 250 * MILLI  # loopback: what takes longer is a gateway that does not accept
MAX_WITHDRAWN = 256  # withdrawn numbers that are remembered: an answer to one of them was asked for
# For so long a request may cross the close of its connection: the platform's figure.
CROSSING_TIME = 50 * MILLI


class CallLoss(Enum):
    """How far a call had got whose connection ended before its answer."""

    REFUSED = auto()  # no connection
    UNSENT = auto()  # none of its bytes left
    # The only one, sent just before the end of a connection that had been answered on, or just before a
    # reset: nobody read it.
    CROSSED = auto()
    BROKEN = auto()  # it may have been read


class PendingCall:
    """A request on its way. `on_answer(message)` or `on_lost(loss)` is called once."""

    __slots__ = ("message", "on_answer", "on_lost", "sent_from", "sent_at")

    def __init__(
        self,
        message: JsonObject,
        on_answer: Callable[[JsonObject], object],
        on_lost: Callable[[CallLoss], object],
    ) -> None:
        self.message, self.on_answer, self.on_lost = message, on_answer, on_lost
        self.sent_from: int | None = None  # bytes written to the connection before it; None: it still waits
        self.sent_at = 0  # ns


class RpcConnection:
    """One connection, opened at once; calls made before it stands are sent then."""

    def __init__(
        self,
        loop: Loop,
        where: Address,
        on_unmatched: Callable[[str], object],
        on_closed: Callable[[RpcConnection], object],
    ) -> None:
        """`on_unmatched(text)`: something came that nobody asked for; `on_closed(connection)`: it has ended,
        not by `close`."""
        self.loop, self.on_unmatched, self.on_closed = loop, on_unmatched, on_closed
        self.pending: dict[int, PendingCall] = {}  # by number
        self.used_at = loop.now()
        self.answered = False  # whether any answer has come
        self.ended = False
        self._withdrawn: dict[int, None] = {}  # numbers, the oldest first
        self._call_count = 0
        self._stream: Stream | None = None
        self._reader = AnswerReader()
        self._give_up = connect(loop, where, CONNECT_TIMEOUT, self._connected)

    def _connected(self, sock: socket.socket | None, error: OSError | None) -> None:
        if sock is None:
            self._end(CallLoss.REFUSED)
            return
        self._stream = Stream(self.loop, sock, self._receive, self._stream_ended)
        for number, call in list(self.pending.items()):
            self._write(self._stream, number, call)

    # Calls

    def call(
        self,
        message: JsonObject,
        on_answer: Callable[[JsonObject], object],
        on_lost: Callable[[CallLoss], object],
    ) -> int:
        """Sends `message` under a number of its own, which is returned."""
        self._call_count += 1
        call = self.pending[self._call_count] = PendingCall(message, on_answer, on_lost)
        if self._stream is not None:
            self._write(self._stream, self._call_count, call)
        return self._call_count

    def _write(self, stream: Stream, number: int, call: PendingCall) -> None:
        call.sent_from = stream.bytes_sent + stream.bytes_unsent
        call.sent_at = self.used_at = self.loop.now()
        stream.write(encode_message({"jsonrpc": "2.0", "id": number} | call.message))

    def withdraw(self, number: int) -> None:
        """The client no longer waits for the answer, and says so."""
        if self.pending.pop(number, None) is None:
            return
        self._withdrawn[number] = None
        if len(self._withdrawn) > MAX_WITHDRAWN:
            del self._withdrawn[next(iter(self._withdrawn))]
        if self._stream is not None:
            abort = {"jsonrpc": "2.0", "method": "abort", "params": {"id": number}}
            self._stream.write(encode_message(abort))

    # Answers

    def _receive(self, data: bytes) -> None:
        self.used_at = self.loop.now()
        try:
            messages = self._reader.feed(data)
        except MalformedAnswerError as error:
            self.on_unmatched(f"what came is no message: {error}")
            self.close()
            self._end(CallLoss.BROKEN)
            return
        for message in messages:
            self._take_answer(message)

    def _take_answer(self, message: object) -> None:
        self.answered = True
        number = message.get("id") if isinstance(message, dict) else None
        if not isinstance(message, dict) or not isinstance(number, int):
            self.on_unmatched(f"an answer under {number!r}")
            return
        call = self.pending.pop(number, None)
        if call is not None:
            call.on_answer(message)
        elif number in self._withdrawn:
            del self._withdrawn[number]
        else:
            self.on_unmatched(f"an answer under {number!r}")

    # Ends

    def _stream_ended(self, error: OSError | None) -> None:
        """The other side has closed or reset it."""
        reset = isinstance(error, (ConnectionResetError, BrokenPipeError))
        self._end(CallLoss.BROKEN, reset=reset)

    def _end(self, loss: CallLoss, *, reset: bool = False) -> None:
        """The connection is over; what is pending on it learns how far it got."""
        if self.ended:
            return
        self.ended = True
        pending, self.pending = self.pending, {}
        self.on_closed(self)
        for call in pending.values():
            if loss is CallLoss.BROKEN:
                call.on_lost(self._loss_of(call, alone=len(pending) == 1, reset=reset))
            else:
                call.on_lost(loss)

    def _loss_of(self, call: PendingCall, *, alone: bool, reset: bool) -> CallLoss:
        """How far a call got on the connection, which was broken."""
        if call.sent_from is None or self._stream is None or self._stream.bytes_sent <= call.sent_from:
            return CallLoss.UNSENT
        recent = self.loop.now() - call.sent_at <= CROSSING_TIME
        if alone and recent and (self.answered or reset):
            return CallLoss.CROSSED
        return CallLoss.BROKEN

    def close(self) -> None:
        """Closes from this side."""
        if self._stream is not None:
            self._stream.close()
        else:
            self._give_up()

    def discard(self) -> None:
        """Closes from this side; nothing is called any more."""
        self.ended = True
        self.close()

    def is_usable(self) -> bool:
        """Whether the connection, which is idle, can be used once more."""
        return self._stream is None or (self._stream.open and self._stream.is_quiet())
