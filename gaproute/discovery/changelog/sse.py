"""Reads the events of the change log from an HTTP response of server-sent events."""

import httptools
import msgspec

from gaproute.discovery.changelog.events import Event, decode_event
from gaproute.errors import GaprouteError

MAX_EVENT_BYTES = 4 << 20  # a host takes about 200 bytes
OK_STATUS = 200


class ChangeLogError(GaprouteError):
    """The response is no change log or has ended; the change log must be requested again."""


class EventReader:
    """Reads the response in pieces and returns completed events; None stands for an event that is invalid. A
    comment only shows that the connection is alive.

    `completed_count`: the completed elements, which are the head, comments and events. `unfinished_bytes`:
    the bytes received since the last completed element. Both guard against an element without an end, which
    must neither fill the memory nor make the change log seem alive.
    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self.max_event_bytes = max_event_bytes
        self.parser = httptools.HttpResponseParser(self)
        self.partial_line, self.event_data = bytearray(), bytearray()
        self.completed_count = self.unfinished_bytes = 0
        self.events: list[Event | None] = []

    def feed(self, data: bytes) -> list[Event | None]:
        """Returns the events that `data` completes.

        Errors: ChangeLogError; `events` then holds the events that were completed before the error.
        """
        completed_before = self.completed_count
        self.unfinished_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            cause = error.__context__  # the error that a parser callback raised
            raise ChangeLogError(str(cause if isinstance(cause, ChangeLogError) else error)) from None
        if self.completed_count != completed_before:
            self.unfinished_bytes = 0
        if self.unfinished_bytes > self.max_event_bytes:
            raise ChangeLogError(
                f"an event is too long: {self.unfinished_bytes} bytes, allowed: {self.max_event_bytes}"
            )
        events, self.events = self.events, []
        return events

    # Callbacks of the parser

    def on_headers_complete(self) -> None:
        """Checks the status once the head is complete. Errors: ChangeLogError."""
        status = self.parser.get_status_code()
        if status != OK_STATUS:
            raise ChangeLogError(f"the change log answered with HTTP status {status}")
        self.completed_count += 1

    def on_message_complete(self) -> None:
        """Rejects the end of the response, which should have no end. Errors: ChangeLogError."""
        raise ChangeLogError("the answer has ended")

    def on_body(self, body: bytes) -> None:
        """Processes a piece of the body, which may be split anywhere."""
        self.partial_line += body
        if b"\n" not in body:  # keeps the cost of a long line that arrives in many pieces linear
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
