"""Server-sent events out of an HTTP answer; never touches a socket."""

import httptools
import msgspec

from gaproute.discovery.changelog.events import decode_event

MAX_EVENT_BYTES = 4 << 20  # bytes of one event: a host takes some 200


class ChangeLogError(Exception):
    """What came is no log: ask again."""


class EventReader:
    """Feed bytes of the answer; take the events that became whole, None for one that cannot be read. A
    comment is a sign of life alone.

    `completed` counts what came to its end: the head, a comment, an event. `unfinished_bytes` is the bytes
    since then, of what has not: an answer without an end must neither fill the memory nor pass for a sign of
    life.
    """

    def __init__(self, max_event_bytes=MAX_EVENT_BYTES):
        self.max_event_bytes = max_event_bytes  # bytes of one event
        self.parser = httptools.HttpResponseParser(self)
        self.partial_line, self.event_data = bytearray(), bytearray()
        self.completed = self.unfinished_bytes = 0
        self.events = []

    def on_headers_complete(self):
        if self.parser.get_status_code() != 200:
            raise ChangeLogError(f"status {self.parser.get_status_code()}")
        self.completed += 1

    def on_message_complete(self):
        raise ChangeLogError("the answer has ended")

    def on_body(self, body):
        self.partial_line += body
        if b"\n" not in body:  # a long line in many pieces is not looked through again with each
            return
        *lines, self.partial_line = self.partial_line.split(b"\n")
        for line in lines:
            line = line.removesuffix(b"\r")
            name, _, value = line.partition(b":")
            if not line:
                self.end_event()
            elif name == b"data":
                self.event_data += value + b"\n"
            elif not name and not self.event_data:
                self.completed += 1

    def end_event(self):
        data, self.event_data = self.event_data, bytearray()
        if data:
            try:
                self.events.append(decode_event(data))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
                self.events.append(None)
        self.completed += 1

    def feed(self, data):
        """Errors: ChangeLogError; what was whole before it stays in `events`."""
        before = self.completed
        self.unfinished_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as fault:
            cause = fault.__context__
            raise ChangeLogError(str(cause if isinstance(cause, ChangeLogError) else fault)) from None
        if self.completed != before:
            self.unfinished_bytes = 0
        if self.unfinished_bytes > self.max_event_bytes:
            raise ChangeLogError("an event is too long")
        events, self.events = self.events, []
        return events
