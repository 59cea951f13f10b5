"""Follows the log of one cell's hosts, which several sources tell, each in its own numbers.

The log is that of a whole fleet (`follow`), at a path of its own: `/changes/FLEET/CELL`. Sources are tried in
turn, in an order drawn by chance, so that gateways spread over them. The first whole list of a connection is
the list as it stands; what is missing or cannot be read is mended by asking for a whole list. A source whose
connection broke is asked for what follows, but for a whole list where it was not there at all meanwhile.
"""

from urllib.parse import quote

from gaproute.discovery.changelog.watcher import SECOND, SILENCE_TIMEOUT, ChangeLogWatcher
from gaproute.loop.streams import address as parse_address

FIRST_BACKOFF = (
    SECOND  # ns before it is asked again: half of it at least, so that a source that dies or comes
)
#                       back meets its gateways over half a second
MAX_BACKOFF = 8 * SECOND  # ns between tries while no source answers
SOURCE_ENDED = (
    ConnectionRefusedError,
    FileNotFoundError,
)  # the source has ended: it may begin in other numbers
MAX_CELL_EVENT_BYTES = 1 << 20  # bytes: 1 KiB for each of the most hosts


def cell_path(fleet, cell):
    """The path of a cell's log."""
    return f"/changes/{quote(fleet, safe='')}/{quote(cell, safe='')}".encode()


def shuffled(sources, chance):
    """The sources in an order drawn by chance."""
    left, order = list(sources), []
    while left:
        order.append(left.pop(chance.below(len(left))))
    return order


class CellWatcher(ChangeLogWatcher):
    """`on_event(event)` for each event in order. `on_lost(reason)` once the sources fail, however often they
    are tried; `on_found()` once one has been alive for longer than the bound on silence."""

    first_backoff, max_backoff = FIRST_BACKOFF, MAX_BACKOFF
    max_event_bytes = MAX_CELL_EVENT_BYTES

    def __init__(self, loop, sources, path, on_event, on_lost, on_found, chance):
        self.sources, self.path = shuffled(sources, chance), path
        self.on_lost, self.on_found = on_lost, on_found
        self.source_index = 0  # of the source asked, among the sources
        self.has_base = False  # a whole list of this source has come
        self.failing = False
        super().__init__(loop, self.sources[0], 0, on_event, chance)

    def on_connected(self, number, sock, error):
        if isinstance(error, SOURCE_ENDED):
            self._forget()
        super().on_connected(number, sock, error)

    def read_now(self):
        """Read what waits of the log."""
        if self.stream is not None:
            self.stream.look()

    def reconnect_later(self, why):
        """Asks once more in a moment, the next source where there are several."""
        if not self.failing:
            self.failing = True
            self.loop.guard(self.on_lost, f"{self.address_text}: {why}")
        if len(self.sources) > 1:
            self.source_index = (self.source_index + 1) % len(self.sources)
            self.address_text = self.sources[self.source_index]
            self.address = parse_address(self.address_text)
            self._forget()
        super().reconnect_later(why)

    def connection_proved(self):
        """The connection has been alive for a while."""
        super().connection_proved()
        if self.failing and self.last_message_at >= self.connecting_since + SILENCE_TIMEOUT:
            self.failing = False
            self.loop.guard(self.on_found)

    def follows_on(self, event):
        """Whether the event is a whole list, or one of those that follow it."""
        return event.fleet.complete or self.has_base and event.seq <= self.last_seq + 1

    def has_list(self):
        """Whether a whole list has come of this source."""
        return self.has_base

    def request_missing(self):
        """Something is missing: a whole list is asked for."""
        why = f"something is missing after {self.last_seq}"
        self._forget()
        self.reconnect_later(why)
        return True

    def is_restart(self, event):
        """A whole list that comes first on a connection is the list as it stands, whatever its number."""
        return event.fleet.complete

    def remember(self, event):
        """Whole lists need not be known again: `is_restart` takes each."""
        self.has_base = True

    def _forget(self):
        self.last_seq, self.has_base = 0, False
