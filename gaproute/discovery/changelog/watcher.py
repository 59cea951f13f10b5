"""Follows the log: one connection, asked again from the last number whenever it breaks or falls silent."""

from functools import partial

from gaproute.discovery.changelog.sse import MAX_EVENT_BYTES, ChangeLogError, EventReader
from gaproute.loop import Stream, connect
from gaproute.loop.streams import address as parse_address

MILLI, SECOND = 1_000_000, 1_000_000_000
SILENCE_TIMEOUT = 2 * SECOND  # two of its comments missing: what it has to tell counts as told after 4 s
MIN_BYTES_PER_SECOND = (
    64 << 10
)  # bytes a second at least, of what has not ended: 1,024 hosts come over 50 kB/s
CONNECT_TIMEOUT = 500 * MILLI  # for a connection: many round trips, and several tries within that time
FIRST_BACKOFF = 20 * MILLI  # before it is asked again; doubled with each try that told nothing
MAX_BACKOFF = 500 * MILLI  # between tries: told or not, its news counts as told soon after
HEAD_ONLY = 1  # what became whole of an answer that has its head alone: no word of the list yet
MAX_DIGESTS = 1024  # whole lists that are known again, by some bytes each: usually there is one


class ChangeLogWatcher:
    """`on_event(event)` for each new event, in order. `known`: the events up to `last_seq`.

    `restarts` counts how often the log began anew: what it told would be passed over for ever as had before.
    An event written twice must not pass for that: only a whole list does, first on a connection, that is not
    the one had under its number. A log that begins anew with less is not noticed.

    `current_at`: when the list was last known to be as it was told, by an event or a comment; None before the
    first whole list. While an event is told it is still the time before that.
    """

    path = b"/changes"
    first_backoff, max_backoff = FIRST_BACKOFF, MAX_BACKOFF  # ns between tries
    max_event_bytes = MAX_EVENT_BYTES  # bytes

    def __init__(self, loop, address_text, last_seq, on_event, chance, known=()):
        self.loop, self.on_event, self.last_seq, self.chance = loop, on_event, last_seq, chance
        self.address = self.address_text = None
        self.stream = self.connecting = self.timer = self.reader = None
        self.backoff, self.connection_count, self.gap_after = self.first_backoff, 0, None
        self.digests, self.awaits_first_event, self.restarts = {}, False, 0
        self.last_error = ""  # why it was asked again, the last time
        for event in known:
            self.remember(event)
        self.current_at = loop.now() if self.digests else None
        # the last that came whole; when it was asked; the later of the two
        self.last_message_at = self.connecting_since = self.last_progress_at = loop.now()
        self.set_address(address_text)

    def set_address(self, address_text):
        """From now on the log is at that address; its numbers go on."""
        if address_text != self.address_text:
            self.address_text, self.address = address_text, parse_address(address_text)
            self.backoff = self.first_backoff
            self.connect()

    def connect(self):
        self.disconnect()
        self.connection_count += 1
        self.connecting_since = self.last_progress_at = self.loop.now()
        self.timer = self.loop.after(SILENCE_TIMEOUT, self.check_silence)
        self.connecting = connect(
            self.loop, self.address, CONNECT_TIMEOUT, partial(self.on_connected, self.connection_count)
        )

    def on_connected(self, number, sock, error):
        if number != self.connection_count or self.connecting is None:
            return  # of a dial that was given up meanwhile
        self.connecting = None
        if error is not None:
            self.reconnect_later(error)
            return
        self.reader, self.awaits_first_event = EventReader(self.max_event_bytes), True
        self.stream = Stream(
            self.loop, sock, self.on_bytes, lambda error: self.reconnect_later(error or "closed")
        )
        self.stream.write(
            b"GET %b HTTP/1.1\r\nHost: %b\r\nAccept: text/event-stream\r\n"
            b"Last-Event-ID: %d\r\n\r\n" % (self.path, self.address_text.encode(), self.last_seq)
        )

    def on_bytes(self, data):
        reader, before = self.reader, self.reader.completed
        try:
            events = reader.feed(data)
        except ChangeLogError as fault:
            events = reader.events
            self.reconnect_later(fault)
        if reader.completed != before:
            self.last_message_at = self.last_progress_at = self.loop.now()
            if self.last_message_at >= self.connecting_since + MAX_BACKOFF:
                self.connection_proved()
        for event in events:
            first, self.awaits_first_event = self.awaits_first_event, False
            if event is None or not self.follows_on(event):
                if self.request_missing():
                    return
                if event is None:
                    continue
            elif event.seq <= self.last_seq:
                if not (first and self.is_restart(event)):
                    continue  # written twice
                self.restarts += 1
            self.last_seq, self.backoff = event.seq, self.first_backoff
            self.remember(event)
            self.loop.guard(self.on_event, event)
        if reader.completed > max(before, HEAD_ONLY) and self.has_list():
            self.current_at = self.loop.now()

    def has_list(self):
        """Whether a whole list has come, on which what comes now builds."""
        return bool(self.digests)

    def connection_proved(self):
        """The connection has been alive for a while; a head alone would tell nothing."""
        self.backoff = self.first_backoff

    def follows_on(self, event):
        """Whether nothing is missing before the event."""
        return event.fleet.complete or event.seq <= self.last_seq + 1

    def request_missing(self):
        """An event is missing, or cannot be read: asked for once, then done without. Whether it is asked."""
        if self.gap_after == self.last_seq:
            return False
        self.gap_after = self.last_seq
        self.reconnect_later(f"something is missing after {self.last_seq}")
        return True

    def is_restart(self, event):
        """Whether the log has begun anew with this event, the first on a connection and of a number had."""
        return event.fleet.complete and self.digests.get(event.seq) != event.fleet.digest()

    def remember(self, event):
        if event.fleet.complete:
            self.digests[event.seq] = event.fleet.digest()
            if len(self.digests) > MAX_DIGESTS:
                del self.digests[min(self.digests)]

    def check_silence(self):
        """Bytes alone are no sign of life: a trickle without an end would keep the connection for ever."""
        slow = self.reader.unfinished_bytes * SECOND // MIN_BYTES_PER_SECOND if self.stream is not None else 0
        left = self.last_progress_at + SILENCE_TIMEOUT + slow - self.loop.now()
        if left <= 0:
            self.reconnect_later("silent")
        else:
            self.timer = self.loop.after(left, self.check_silence)

    def reconnect_later(self, why):
        """Asks once more in a moment, spread by chance so that gateways do not all ask at once."""
        self.disconnect()
        self.last_error = str(why)
        wait = self.backoff // 2 + self.backoff * self.chance.below(1024) // 2048
        self.backoff = min(2 * self.backoff, self.max_backoff)
        self.timer = self.loop.after(wait, self.connect)

    def disconnect(self):
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.connecting is not None:
            self.connecting()
            self.connecting = None
        if self.stream is not None:
            self.stream.abort()
            self.stream = None

    close = disconnect
