"""Server-sent events out of an HTTP answer."""

import httptools
import msgspec

from gaproute.discovery.changelog.events import Event, decode_event
from gaproute.errors import GaprouteError

MAX_EVENT_BYTES = 4 << 20  # a host takes some 200
OK_STATUS = 200


class ChangeLogError(GaprouteError):
    """What came is no change log, or its end: the log is to be requested again."""


class EventReader:
    """Takes bytes of the answer and gives the events that became whole, None for one that cannot be read. A
    comment only shows that the log is alive.

    `completed` counts what came to its end: the head, a comment, an event. `unfinished_bytes` is the bytes
    since then, of what has not: an answer without an end must neither fill the memory nor make the log seem
    alive.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self.max_event_bytes = max_event_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.partial_line, self.event_data = bytearray(), bytearray()
        self.completed_count = self.unfinished_bytes = 0
        self.events: list[Event | None] = []

    def feed(self, data: bytes) -> list[Event | None]:
        """The events that the bytes completed. Errors: ChangeLogError, with those before it in `events`."""
        completed_before = self.completed_count
        self.unfinished_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__  # what a callback raised
            raise ChangeLogError(str(cause if isinstance(cause, ChangeLogError) else error)) from None
        if self.completed_count != completed_before:
            self.unfinished_bytes = 0
        if self.unfinished_bytes > self.max_event_bytes:
            raise ChangeLogError("an event is too long")
        events, self.events = self.events, []
        return events

    # Callbacks of the parser

    def on_headers_complete(self) -> None:
        """The head has come. Errors: ChangeLogError."""
        status = self.parser.get_status_code()
        if status != OK_STATUS:
            raise ChangeLogError(f"status {status}")
        self.completed_count += 1

    def on_message_complete(self) -> None:
        """The answer, which should have no end, has ended. Errors: ChangeLogError."""
        raise ChangeLogError("the answer has ended")

    def on_body(self, body: bytes) -> None:
        """A piece of the answer's body, split anywhere."""
        self.partial_line += body
        if b"\n" not in body:  # a long line in many pieces is not looked through again with each
            return
        *lines, self.partial_line = self.partial_line.split(b"\n")
        for line in lines:
            self._process_line(line.removesuffix(b"\r"))

    def _process_line(self, line: bytearray) -> None:
        name, _, value = line.partition(b":")
        if not line:
            self._end_event()
        elif name == b"data":
            self.event_data += value + b"\n"
        elif not name and not self.event_data:  # a comment
            self.completed_count += 1

    def _end_event(self) -> None:
        data, self.event_data = self.event_data, bytearray()
        if data:
            try:
                self.events.append(decode_event(data))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
                self.events.append(None)
        self.completed_count += 1
