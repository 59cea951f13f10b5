"""Follows the change log over one connection. A connection that breaks or falls silent is reopened, and the
events after the last sequence number are requested."""

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

SILENCE_TIMEOUT = 2 * SECOND  # two missed comments; an event counts as delivered 4 s after it is sent
# An unfinished event may take SILENCE_TIMEOUT plus the time that its bytes take at this rate, so that a list
# of 1,024 hosts arrives even at 50 kB/s.
MIN_BYTES_PER_SECOND = 64 << 10
CONNECT_TIMEOUT = 500 * MILLI  # many round trips, but several attempts fit in SILENCE_TIMEOUT
FIRST_BACKOFF = 20 * MILLI  # doubled after each connection without a new event
MAX_BACKOFF = 500 * MILLI  # short compared with the 4 s after which an event counts as delivered
JITTER_STEPS = 1024
COMPLETED_BY_HEAD = 1  # `completed_count` after the head of the response, before any list data
MAX_LIST_DIGESTS = 1024  # complete lists recognized when repeated, by a few bytes each; usually there is one


class ChangeLogWatcher:
    """Calls `on_event(event)` for each new event, in order; `known`: the events up to `last_seq`.

    `restart_count`: how often the change log restarted with lower sequence numbers. Without this detection
    all later events would be skipped as duplicates. A repeated event is no restart: only a complete list that
    comes first on a connection and differs from the known list of the same number counts as one. A change log
    that restarts without such a list is not detected.

    `current_at`: when an event or a comment last showed that the list is current; None before the first
    complete list. During `on_event` it still has the value from before the event.
    """

    path = b"/changes"
    first_backoff, max_backoff = FIRST_BACKOFF, MAX_BACKOFF  # pauses between connections, ns
    max_event_bytes = MAX_EVENT_BYTES

    def __init__(
        self,
        loop: Loop,
        address_text: str,
        last_seq: int,
        on_event: Callable[[Event], object],
        chance: RandomSource,
        known: Iterable[Event] = (),
        max_event_bytes: int | None = None,
    ) -> None:
        """`max_event_bytes`: of one event, in place of the limit of the class."""
        if max_event_bytes is not None:
            self.max_event_bytes = max_event_bytes
        self.loop, self.on_event, self.last_seq, self.chance = loop, on_event, last_seq, chance
        self.address_text = ""
        self.stream: Stream | None = None
        self.cancel_connect: Callable[[], object] | None = None
        self.timer: Timer | None = None
        self.reader: EventReader | None = None
        self.backoff, self.connection_count = self.first_backoff, 0
        self.gap_requested_after: int | None = None  # sequence number before the last requested gap
        self.list_digests: dict[int, int] = {}  # of complete lists, by sequence number
        self.awaits_first_event, self.restart_count = False, 0
        self.last_error = ""  # why the previous connection ended
        for event in known:
            self.remember_list(event)
        self.current_at: int | None = loop.now() if self.list_digests else None
        self.last_message_at = self.connecting_since = loop.now()
        self.last_progress_at = self.last_message_at  # the later of these two times
        self.set_address(address_text)

    def set_address(self, address_text: str) -> None:
        """Follows the log at this address, whose sequence numbers continue. Errors: ValueError."""
        if address_text != self.address_text:
            self.address_text, self.address = address_text, parse_address(address_text)
            self.backoff = self.first_backoff
            self.connect()

    def connect(self) -> None:
        """Replaces the connection and requests the events after the last sequence number."""
        self.disconnect()
        self.connection_count += 1
        self.connecting_since = self.last_progress_at = self.loop.now()
        self.timer = self.loop.call_later(SILENCE_TIMEOUT, self.check_silence)
        connected = partial(self.on_connected, self.connection_count)
        self.cancel_connect = connect(self.loop, self.address, CONNECT_TIMEOUT, connected)

    def on_connected(self, number: int, sock: socket.socket | None, error: OSError | None) -> None:
        """Sends the request once connection attempt `number` succeeds; schedules a retry if it fails."""
        if number != self.connection_count or self.cancel_connect is None:
            return  # this attempt was cancelled in the meantime
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
        """Processes received bytes."""
        reader = self.reader
        if reader is None:
            return
        completed_before = reader.completed_count
        try:
            events = reader.feed(data)
        except ChangeLogError as error:
            events = reader.events
            self.reconnect_later(error)
        if reader.completed_count != completed_before:
            self.last_message_at = self.last_progress_at = self.loop.now()
            if self.last_message_at >= self.connecting_since + MAX_BACKOFF:
                self.on_connection_proved()
        for event in events:
            if not self._process_event(event):
                return
        if reader.completed_count > max(completed_before, COMPLETED_BY_HEAD) and self.has_list():
            self.current_at = self.loop.now()

    def _process_event(self, event: Event | None) -> bool:
        """Passes on a new event (None: an unreadable one); returns False if missing events were requested."""
        first, self.awaits_first_event = self.awaits_first_event, False
        if event is None or not self.follows_last_event(event):
            if self.request_missing_events():
                return False
            if event is None:
                return True
        elif event.seq <= self.last_seq:
            if not (first and self.is_restart(event)):
                return True  # a duplicate
            self.restart_count += 1
        self.last_seq, self.backoff = event.seq, self.first_backoff
        self.remember_list(event)
        self.loop.call_guarded(self.on_event, event)
        return True

    # Methods that a watcher of several sources overrides

    def has_list(self) -> bool:
        """Whether a complete list is known, to which later events apply."""
        return bool(self.list_digests)

    def on_connection_proved(self) -> None:
        """Resets the backoff once a connection has lasted for a while; a head alone proves nothing."""
        self.backoff = self.first_backoff

    def follows_last_event(self, event: Event) -> bool:
        """Whether no event is missing before this one."""
        return event.fleet.complete or event.seq <= self.last_seq + 1

    def request_missing_events(self) -> bool:
        """Requests missing or unreadable events, but only once for each gap; returns whether it did."""
        if self.gap_requested_after == self.last_seq:
            return False
        self.gap_requested_after = self.last_seq
        self.reconnect_later(f"missing or unreadable event after number {self.last_seq}")
        return True

    def is_restart(self, event: Event) -> bool:
        """Whether this event, first on its connection and with a known number, shows a restart of the log."""
        return event.fleet.complete and self.list_digests.get(event.seq) != event.fleet.digest()

    def remember_list(self, event: Event) -> None:
        """Stores the digest of a complete list, to recognize the list when it is repeated."""
        if event.fleet.complete:
            self.list_digests[event.seq] = event.fleet.digest()
            if len(self.list_digests) > MAX_LIST_DIGESTS:
                del self.list_digests[min(self.list_digests)]

    # Ending connections

    def check_silence(self) -> None:
        """Reconnects if no element of the response was completed for too long.

        Received bytes alone do not count: a slow event without an end would keep the connection open forever.
        """
        unfinished = (
            self.reader.unfinished_bytes if self.stream is not None and self.reader is not None else 0
        )
        allowed = SILENCE_TIMEOUT + unfinished * SECOND // MIN_BYTES_PER_SECOND
        remaining = self.last_progress_at + allowed - self.loop.now()
        if remaining <= 0:
            self.reconnect_later("silent")
        else:
            self.timer = self.loop.call_later(remaining, self.check_silence)

    def reconnect_later(self, reason: object) -> None:
        """Reconnects after the backoff, with jitter so that gateways do not all connect at the same time."""
        self.disconnect()
        self.last_error = str(reason)
        jitter = self.backoff * self.chance.below(JITTER_STEPS) // (2 * JITTER_STEPS)
        wait = self.backoff // 2 + jitter
        self.backoff = min(2 * self.backoff, self.max_backoff)
        self.timer = self.loop.call_later(wait, self.connect)

    def disconnect(self) -> None:
        """Ends the connection and cancels a connection attempt or retry."""
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
