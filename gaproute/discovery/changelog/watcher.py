"""Follows the change log over one connection, opened again from the last number whenever it breaks or falls
silent."""

import socket
from collections.abc import Callable, Iterable
from functools import partial

from gaproute.discovery.changelog.events import Event
from gaproute.discovery.changelog.sse import MAX_EVENT_BYTES, ChangeLogError, EventReader
from gaproute.loop import Loop, Stream, connect
from gaproute.loop.addresses import parse_address
from gaproute.loop.timers import Timer
from gaproute.shared.randomness import RandomSource
from gaproute.units import MILLI, SECOND

SILENCE_TIMEOUT = 2 * SECOND  # two of its comments missing; an event counts as delivered 4 s after it
MIN_BYTES_PER_SECOND = 64 << 10  # of what has not ended: 1,024 hosts come over 50 kB/s
CONNECT_TIMEOUT = 500 * MILLI  # many round trips, and several attempts within the time above
FIRST_BACKOFF = 20 * MILLI  # doubled with each connection that brought nothing
MAX_BACKOFF = 500 * MILLI  # short beside the 4 s after which an event counts as delivered
JITTER_STEPS = 1024
HEAD_ONLY = 1  # what is complete of an answer that has its head alone: nothing of the list
MAX_DIGESTS = 1024  # whole lists that are known again, by some bytes each: usually there is one


class ChangeLogWatcher:
    """Calls `on_event(event)` for each new event, in order; `known`: the events up to `last_seq`.

    `restarts` counts how often the log restarted with lower numbers: its events would be skipped for ever as
    duplicates. An event written twice must not be taken for that: only a whole list is, first on a
    connection, that differs from the one known under its number. A log that restarts with less goes
    unnoticed.

    `current_at`: when the list was last known to be up to date, by an event or a comment; None before the
    first whole list. During `on_event` it is still the time before that event.
    """

    path = b"/changes"
    first_backoff, max_backoff = FIRST_BACKOFF, MAX_BACKOFF  # ns between connections
    max_event_bytes = MAX_EVENT_BYTES

    def __init__(
        self,
        loop: Loop,
        address_text: str,
        last_seq: int,
        on_event: Callable[[Event], object],
        chance: RandomSource,
        known: Iterable[Event] = (),
    ) -> None:
        self.loop, self.on_event, self.last_seq, self.chance = loop, on_event, last_seq, chance
        self.address_text = ""
        self.stream: Stream | None = None
        self.cancel_connect: Callable[[], object] | None = None
        self.timer: Timer | None = None
        self.reader: EventReader | None = None
        self.backoff, self.connection_count = self.first_backoff, 0
        self.gap_after: int | None = None  # number after which missing events were requested
        self.digests: dict[int, int] = {}  # of whole lists, by number
        self.awaits_first_event, self.restarts = False, 0
        self.last_error = ""  # why the connection before this one ended
        for event in known:
            self.remember(event)
        self.current_at: int | None = loop.now() if self.digests else None
        self.last_message_at = self.connecting_since = loop.now()
        self.last_progress_at = self.last_message_at  # the later of the two
        self.set_address(address_text)

    def set_address(self, address_text: str) -> None:
        """From now on the log is at that address; its numbers go on. Errors: ValueError."""
        if address_text != self.address_text:
            self.address_text, self.address = address_text, parse_address(address_text)
            self.backoff = self.first_backoff
            self.connect()

    def connect(self) -> None:
        """Open a connection, in place of the present one, and request what follows the last number."""
        self.disconnect()
        self.connection_count += 1
        self.connecting_since = self.last_progress_at = self.loop.now()
        self.timer = self.loop.call_later(SILENCE_TIMEOUT, self.check_silence)
        connected = partial(self.on_connected, self.connection_count)
        self.cancel_connect = connect(self.loop, self.address, CONNECT_TIMEOUT, connected)

    def on_connected(self, number: int, sock: socket.socket | None, error: OSError | None) -> None:
        """The connection of that number has come up, or failed."""
        if number != self.connection_count or self.cancel_connect is None:
            return  # it was given up meanwhile
        self.cancel_connect = None
        if sock is None:
            self.reconnect_later(error)
            return
        self.reader, self.awaits_first_event = EventReader(self.max_event_bytes), True
        self.stream = Stream(self.loop, sock, self.on_bytes, self._on_end)
        self.stream.write(
            b"GET %b HTTP/1.1\r\nHost: %b\r\nAccept: text/event-stream\r\n"
            b"Last-Event-ID: %d\r\n\r\n" % (self.path, self.address_text.encode(), self.last_seq)
        )

    def _on_end(self, error: OSError | None) -> None:
        self.reconnect_later(error or "closed")

    def on_bytes(self, data: bytes) -> None:
        """Take what came of the log."""
        reader = self.reader
        if reader is None:
            return
        completed_before = reader.completed
        try:
            events = reader.feed(data)
        except ChangeLogError as error:
            events = reader.events
            self.reconnect_later(error)
        if reader.completed != completed_before:
            self.last_message_at = self.last_progress_at = self.loop.now()
            if self.last_message_at >= self.connecting_since + MAX_BACKOFF:
                self.connection_proved()
        for event in events:
            if not self._take(event):
                return
        if reader.completed > max(completed_before, HEAD_ONLY) and self.has_list():
            self.current_at = self.loop.now()

    def _take(self, event: Event | None) -> bool:
        """Pass the event on if it is new; False where what is missing before it is requested first."""
        first, self.awaits_first_event = self.awaits_first_event, False
        if event is None or not self.follows_on(event):
            if self.request_missing():
                return False
            if event is None:
                return True
        elif event.seq <= self.last_seq:
            if not (first and self.is_restart(event)):
                return True  # a duplicate
            self.restarts += 1
        self.last_seq, self.backoff = event.seq, self.first_backoff
        self.remember(event)
        self.loop.call_guarded(self.on_event, event)
        return True

    # What a log of several sources does otherwise

    def has_list(self) -> bool:
        """Whether a whole list has come, on which what comes now builds."""
        return bool(self.digests)

    def connection_proved(self) -> None:
        """The connection has been alive for a while; a head alone would say nothing."""
        self.backoff = self.first_backoff

    def follows_on(self, event: Event) -> bool:
        """Whether nothing is missing before the event."""
        return event.fleet.complete or event.seq <= self.last_seq + 1

    def request_missing(self) -> bool:
        """Request a missing or unreadable event once, then do without. Whether it is requested."""
        if self.gap_after == self.last_seq:
            return False
        self.gap_after = self.last_seq
        self.reconnect_later(f"something is missing after {self.last_seq}")
        return True

    def is_restart(self, event: Event) -> bool:
        """Whether the log has restarted with this event, the first on a connection and of a known number."""
        return event.fleet.complete and self.digests.get(event.seq) != event.fleet.digest()

    def remember(self, event: Event) -> None:
        """Remember a whole list, to recognize it when it is written again."""
        if event.fleet.complete:
            self.digests[event.seq] = event.fleet.digest()
            if len(self.digests) > MAX_DIGESTS:
                del self.digests[min(self.digests)]

    # Ends of connections

    def check_silence(self) -> None:
        """Reconnect where nothing was completed for too long.

        Bytes alone do not count: a trickle without an end would keep the connection for ever.
        """
        unfinished = (
            self.reader.unfinished_bytes if self.stream is not None and self.reader is not None else 0
        )
        allowed = SILENCE_TIMEOUT + unfinished * SECOND // MIN_BYTES_PER_SECOND
        left = self.last_progress_at + allowed - self.loop.now()
        if left <= 0:
            self.reconnect_later("silent")
        else:
            self.timer = self.loop.call_later(left, self.check_silence)

    def reconnect_later(self, reason: object) -> None:
        """Connect once more after the backoff, with jitter so that gateways do not all connect at once."""
        self.disconnect()
        self.last_error = str(reason)
        jitter = self.backoff * self.chance.below(JITTER_STEPS) // (2 * JITTER_STEPS)
        wait = self.backoff // 2 + jitter
        self.backoff = min(2 * self.backoff, self.max_backoff)
        self.timer = self.loop.call_later(wait, self.connect)

    def disconnect(self) -> None:
        """End the connection, and any attempt at one."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.cancel_connect is not None:
            self.cancel_connect()
            self.cancel_connect = None
        if self.stream is not None:
            self.stream.abort()
            self.stream = None

    close = disconnect
