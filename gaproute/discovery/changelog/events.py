"""Server-sent events out of an HTTP answer, and host lists out of events; never touches a socket."""

import math
import time
import zlib
from typing import Any

import httptools
import msgspec

from gaproute.discovery.changelog.start_times import StartTimes
from gaproute.hosts.rows import Row
from gaproute.interface import ListedHost, State
from gaproute.loop.streams import address

EVENT = 4 << 20  # bytes of one event: a host takes some 200
MILLI = 1_000_000
STATES = {"Ready": State.ACTIVE, "Terminating": State.DRAINING, "Gone": State.GONE}


class Broken(Exception):
    """What came is no log: ask again."""


class Member(msgspec.Struct):
    id: str
    host_port: str
    phase: str
    locality: str | int = ""
    cell: int | str = 0
    size: float | None = 1.0
    up_since_ms: float | None = 0


class Name(msgspec.Struct):
    id: str


class Standing(msgspec.Struct):
    id: str
    phase: Any = None


class Fleet(msgspec.Struct):
    members: list[msgspec.Raw]  # each is read by itself: a wrong one must not spoil the others
    complete: bool = False
    revision: Any = None

    def mark(self):
        """The same for the same list, however it is written and in whatever order."""
        members = sorted(map(_plain, self.members))
        return zlib.crc32(b"\n".join([msgspec.json.encode([self.complete, self.revision]), *members]))


class Event(msgspec.Struct):
    seq: int
    fleet: Fleet


class Known(msgspec.Struct):
    seq: int = 0
    results: list = []


# a number may come as a string
_event = msgspec.json.Decoder(Event, strict=False).decode
_member = msgspec.json.Decoder(Member, strict=False).decode
_name = msgspec.json.Decoder(Name).decode
_standing = msgspec.json.Decoder(Standing).decode


def read_member(raw):
    """A member of a list. Errors: ValueError, RecursionError."""
    return _member(raw)


def member_standing(raw):
    """(name, phase) of a member that may not be readable otherwise. Errors: ValueError, RecursionError."""
    standing = _standing(raw)
    return standing.id, standing.phase


def _plain(raw):
    try:
        return msgspec.json.encode(_member(raw))
    except (ValueError, RecursionError):
        return bytes(raw)


class Reader:
    """Feed bytes of the answer; take the events that became whole, None for one that cannot be read. A
    comment is a sign of life alone.

    `whole` counts what came to its end: the head, a comment, an event. `size` is the bytes since then, of
    what has not: an answer without an end must neither fill the memory nor pass for a sign of life.
    """

    def __init__(self, longest=EVENT):
        self.longest = longest  # bytes of one event
        self.parser = httptools.HttpResponseParser(self)
        self.rest, self.data = bytearray(), bytearray()
        self.whole = self.size = 0
        self.events = []

    def on_headers_complete(self):
        if self.parser.get_status_code() != 200:
            raise Broken(f"status {self.parser.get_status_code()}")
        self.whole += 1

    def on_message_complete(self):
        raise Broken("the answer has ended")

    def on_body(self, body):
        self.rest += body
        if b"\n" not in body:  # a long line in many pieces is not looked through again with each
            return
        *lines, self.rest = self.rest.split(b"\n")
        for line in lines:
            line = line.removesuffix(b"\r")
            name, _, value = line.partition(b":")
            if not line:
                self.end()
            elif name == b"data":
                self.data += value + b"\n"
            elif not name and not self.data:
                self.whole += 1

    def end(self):
        data, self.data = self.data, bytearray()
        if data:
            try:
                self.events.append(_event(data))
            except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
                self.events.append(None)
        self.whole += 1

    def feed(self, data):
        """Errors: Broken; what was whole before it stays in `events`."""
        before = self.whole
        self.size += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as fault:
            cause = fault.__context__
            raise Broken(str(cause if isinstance(cause, Broken) else fault)) from None
        if self.whole != before:
            self.size = 0
        if self.size > self.longest:
            raise Broken("an event is too long")
        events, self.events = self.events, []
        return events


class Lister:
    """Members as rows. Zones and cells that are not numbers are numbered as they are first named.

    Start times come by the wall clock and leave by the loop's (`StartTimes`); each is converted once, so that
    a wall clock that is set does not look like a restart. A member that cannot be read leaves its host as it
    was: a whole list must not lose it. What is kept of a host goes with it.
    """

    def __init__(self, loop, zones, wall=time.time_ns):
        self.start_times = StartTimes(loop, wall)
        self.zones = {name: number for number, name in enumerate(zones)}
        self.cells, self.refused = {}, 0
        self.hosts = {}  # id: (its start as it was told, its row)

    def rows(self, fleet, absent_at=None):
        """`absent_at`: when the list was last known before this news, by the loop's clock; None: never."""
        read = [self.read(raw, absent_at) for raw in fleet.members]
        rows = [row for row in read if row is not None]
        if fleet.complete:
            self.hosts = {
                row.listed.host: self.hosts[row.listed.host] for row in rows if row.listed.host in self.hosts
            }
        return rows

    def read(self, raw, absent_at):
        try:
            return self.row(_member(raw), absent_at)
        except (ValueError, KeyError, RecursionError):  # msgspec's are a ValueError
            self.refused += 1
        try:
            return self.hosts[_name(raw).id][1]
        except (ValueError, KeyError, RecursionError):
            return None

    def row(self, member, absent_at):
        address(member.host_port)
        state = STATES[member.phase]
        zone = self.zones.setdefault(member.locality, len(self.zones))
        cell = (
            member.cell
            if isinstance(member.cell, int)
            else self.cells.setdefault(member.cell, len(self.cells))
        )
        size = member.size if 0 < (member.size or 0) < math.inf else 1.0
        told = int(member.up_since_ms) if 0 < (member.up_since_ms or 0) < math.inf else 0
        started = self.started(member.id, told, absent_at)
        row = Row(ListedHost(member.id, zone, cell, state, size, started), member.host_port)
        self.hosts[member.id] = told, row
        if state is State.GONE:
            del self.hosts[member.id]
        return row

    def started(self, name, told, absent_at):
        if told == 0:
            return None
        known = self.hosts.get(name)
        if known is not None and known[0] == told:
            return known[1].listed.started
        if known is not None and known[0] == 0:  # it was there before, its start is only told now
            absent_at = None
        return self.start_times.convert(told * MILLI, absent_at)


def known(told):
    """(number of the last event, events) of the start. Errors: msgspec.ValidationError."""
    told = msgspec.convert(told, Known, strict=False)
    results = [_event(msgspec.json.encode(result)) for result in told.results]
    return max([told.seq] + [event.seq for event in results]), results
