"""A stand-in source of cells' host lists: one address that serves the change log of each cell.

It keeps to what a source must do: numbers go on when it starts anew (they begin with a number handed in),
and who asks for a number that it does not have is told the whole list. `SourceFault` makes it do otherwise.
"""

from collections import Counter
from enum import Enum
from urllib.parse import unquote

import msgspec

from gaproute.loop import Listener, Stream
from gaproute.loop.addresses import address
from gaproute.standins.platform.host_list import VersionedHostList

SECOND = 1_000_000_000
COMMENT = SECOND // 2  # between signs of life: half of what a follower counts on
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
REQUEST = 4096  # bytes of a request


class SourceFault(Enum):
    """What a source does in place of what it should."""

    SILENT = "silent"  # connections are accepted and nothing is said
    TORN = "torn"  # the next event is cut in its middle, and the connection with it


class CellLog:
    """The log of one cell: its events as bytes, and the list as it stands."""

    def __init__(self, begin):
        self.listing, self.begin = VersionedHostList(), begin
        self.listing.seq = begin
        self.events = []  # those after `begin`

    def change(self, members):
        """The bytes of the next event."""
        told = self.listing.change(*members)
        told["fleet"]["complete"] = not self.events
        self.events.append(_event(told))
        return self.events[-1]

    def since(self, last):
        """What is told to who has the events up to `last`: those after it, or the list as it stands."""
        if not self.events:
            return b""
        if self.begin < last <= self.listing.seq:
            return b"".join(self.events[last - self.begin :])
        return _event(self.listing.snapshot()["results"][0])


def _event(told):
    return b"id: %d\ndata: %b\n\n" % (told["seq"], msgspec.json.encode(told))


class CellSource:
    """Serves the logs of the fleet's cells. `begin`: the number before the first of each log; `comment`: ns
    between signs of life."""

    def __init__(self, loop, fleet, where="127.0.0.1:0", begin=0, comment=COMMENT):
        self.loop, self.fleet, self.begin, self.comment = loop, fleet, begin, comment
        self.logs, self.streams = {}, {}  # by cell; {stream: its cell}
        self.poll_counts = Counter()  # cell: how often
        self.polls = []  # (cell, number) of each request, in order
        self.fault, self.delay = None, 0
        self.listener = Listener(loop, address(where), self._accept)
        self.address = self.listener.address
        self.timer = loop.after(comment, self._comment)

    def publish(self, cell, *members):
        """The cell's first list, or the next change of it."""
        log = self.logs.get(cell)
        if log is None:
            log = self.logs[cell] = CellLog(self.begin)
        self._send(cell, log.change(members))

    def send(self, cell, data):
        """Bytes as they are to all that follow the cell; they are no part of its log."""
        for stream, followed in list(self.streams.items()):
            if followed == cell:
                stream.write(data)

    def delay_events(self, delay):
        """From now on each event comes so many ns later."""
        self.delay = delay

    def follower_count(self, cell):
        """How many follow the cell."""
        return sum(followed == cell for followed in self.streams.values())

    def _send(self, cell, event):
        if self.fault is SourceFault.TORN:
            self.fault = None
            self.send(cell, event[: len(event) // 2])
            self.cut()
        elif self.fault is not SourceFault.SILENT and self.delay:
            self.loop.after(self.delay, self.send, cell, event)
        elif self.fault is not SourceFault.SILENT:
            self.send(cell, event)

    def _accept(self, sock):
        buffer = bytearray()

        def bytes_came(data):
            buffer.extend(data)
            if b"\r\n\r\n" in buffer:
                self._answer(stream, bytes(buffer))
                buffer.clear()
            elif len(buffer) > REQUEST:
                stream.abort()

        stream = Stream(self.loop, sock, bytes_came, lambda error: self.streams.pop(stream, None))
        self.streams[stream] = None

    def _answer(self, stream, request):
        _, path, _ = request.split(b" ", 2)
        _, changes, fleet, cell = map(unquote, path.decode().split("/"))
        last = int(request.lower().partition(b"last-event-id:")[2].partition(b"\r\n")[0])
        self.poll_counts[cell] += 1
        self.polls.append((cell, last))
        if self.fault is SourceFault.SILENT:
            return
        if (changes, fleet) != ("changes", self.fleet) or cell not in self.logs:
            stream.write(NOT_FOUND)
            return
        self.streams[stream] = cell
        stream.write(HEAD)
        told = self.logs[cell].since(last)
        if self.delay:
            self.loop.after(self.delay, stream.write, told)
        else:
            stream.write(told)

    def _comment(self):
        self.timer = self.loop.after(self.comment, self._comment)
        if self.fault is not SourceFault.SILENT:
            for stream, cell in self.streams.items():
                if cell is not None:
                    stream.write(b":\n\n")

    def cut(self):
        """Ends all connections."""
        for stream in list(self.streams):
            stream.abort()
        self.streams.clear()

    def close(self):
        """As when its process is killed."""
        self.timer.cancel()
        self.listener.close()
        self.cut()
