"""Follows the log of one cell's hosts, which several sources publish, each in its own numbers.

The log is that of a whole fleet (`watcher`), at a path of its own: `/changes/FLEET/CELL`. Sources are tried
in turn, in random order, so that gateways spread over them. The first whole list of a connection is the
current one; where something is missing or cannot be read, a whole list is requested. From a source whose
connection broke the events that follow are requested, but a whole list where it had ended meanwhile.
"""

import socket
from collections.abc import Callable, Iterable
from urllib.parse import quote

from gaproute.discovery.changelog.events import Event
from gaproute.discovery.changelog.watcher import SILENCE_TIMEOUT, ChangeLogWatcher
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.shared.randomness import RandomSource
from gaproute.units import SECOND

# Half of it at least, so that a source that ends or comes back meets its gateways over half a second.
FIRST_BACKOFF = SECOND
MAX_BACKOFF = 8 * SECOND  # while no source answers
MAX_CELL_EVENT_BYTES = 1 << 20  # 1 KiB for each of the most hosts
SOURCE_ENDED = (ConnectionRefusedError, FileNotFoundError)  # it may begin again in other numbers


def cell_path(fleet: str, cell: str) -> bytes:
    """The path of a cell's log."""
    return f"/changes/{quote(fleet, safe='')}/{quote(cell, safe='')}".encode()


def shuffled(sources: Iterable[str], chance: RandomSource) -> list[str]:
    """The sources in random order."""
    left, order = list(sources), []
    while left:
        order.append(left.pop(chance.below(len(left))))
    return order


class CellWatcher(ChangeLogWatcher):
    """Calls `on_event(event)` for each event in order; `on_lost(reason)` once the sources fail, however often
    they are tried, and `on_found()` once one has been alive for longer than `SILENCE_TIMEOUT`."""

    first_backoff, max_backoff = FIRST_BACKOFF, MAX_BACKOFF
    max_event_bytes = MAX_CELL_EVENT_BYTES

    def __init__(
        self,
        loop: Loop,
        sources: Iterable[str],
        path: bytes,
        on_event: Callable[[Event], object],
        on_lost: Callable[[str], object],
        on_found: Callable[[], object],
        chance: RandomSource,
    ) -> None:
        """`sources`: their addresses; `path`: as `cell_path` gives it."""
        self.sources, self.path = shuffled(sources, chance), path
        self.on_lost, self.on_found = on_lost, on_found
        self.source_index = 0  # of the source in use
        self.has_base = False  # a whole list of this source has come
        self.failing = False
        super().__init__(loop, self.sources[0], 0, on_event, chance)

    def on_connected(self, number: int, sock: socket.socket | None, error: OSError | None) -> None:
        """As `ChangeLogWatcher.on_connected`; from a source that has ended a whole list is requested."""
        if isinstance(error, SOURCE_ENDED):
            self._forget()
        super().on_connected(number, sock, error)

    def read_now(self) -> None:
        """Read what waits of the log."""
        if self.stream is not None:
            self.stream.read_now()

    def reconnect_later(self, reason: object) -> None:
        """Connect once more after the backoff, to the next source where there are several."""
        if not self.failing:
            self.failing = True
            self.loop.call_guarded(self.on_lost, f"{self.address_text}: {reason}")
        if len(self.sources) > 1:
            self.source_index = (self.source_index + 1) % len(self.sources)
            self.address_text = self.sources[self.source_index]
            self.address = parse_address(self.address_text)
            self._forget()
        super().reconnect_later(reason)

    def connection_proved(self) -> None:
        """The connection has been alive for a while."""
        super().connection_proved()
        if self.failing and self.last_message_at >= self.connecting_since + SILENCE_TIMEOUT:
            self.failing = False
            self.loop.call_guarded(self.on_found)

    def follows_on(self, event: Event) -> bool:
        """Whether the event is a whole list, or one of those that follow it."""
        return event.fleet.complete or self.has_base and event.seq <= self.last_seq + 1

    def has_list(self) -> bool:
        """Whether a whole list has come of this source."""
        return self.has_base

    def request_missing(self) -> bool:
        """Something is missing: request a whole list."""
        reason = f"something is missing after {self.last_seq}"
        self._forget()
        self.reconnect_later(reason)
        return True

    def is_restart(self, event: Event) -> bool:
        """A whole list that comes first on a connection is the current one, whatever its number."""
        return event.fleet.complete

    def remember(self, event: Event) -> None:
        """Whole lists need not be recognized: `is_restart` accepts each."""
        self.has_base = True

    def _forget(self) -> None:
        self.last_seq, self.has_base = 0, False
