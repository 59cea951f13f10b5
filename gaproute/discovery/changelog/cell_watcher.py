"""Follows the change log of one cell, which several sources publish, each with its own sequence numbers.

The protocol is that of a fleet's change log (`watcher`), at the path `/changes/FLEET/CELL`. The sources are
tried in turn, in a random order, so that gateways spread over them. The first complete list on a connection
is the current list; if an event is missing or unreadable, a complete list is requested. After a broken
connection the events after the last one are requested from the same source, or a complete list if the source
has ended.
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

# The first pause is at least half of this, and random, so that the gateways of a source that ends or returns
# reconnect spread over half a second.
FIRST_BACKOFF = SECOND
MAX_BACKOFF = 8 * SECOND  # longest pause while no source answers
MAX_CELL_EVENT_BYTES = 1 << 20  # 1 KiB per host for the largest number of hosts
# The source has ended; when it starts again, it may number its events anew.
SOURCE_ENDED_ERRORS = (ConnectionRefusedError, FileNotFoundError)


def cell_path(fleet: str, cell: str) -> bytes:
    """The URL path of a cell's change log."""
    return f"/changes/{quote(fleet, safe='')}/{quote(cell, safe='')}".encode()


def shuffled(sources: Iterable[str], chance: RandomSource) -> list[str]:
    """The sources in random order."""
    remaining, order = list(sources), []
    while remaining:
        order.append(remaining.pop(chance.below(len(remaining))))
    return order


class CellWatcher(ChangeLogWatcher):
    """Calls `on_event(event)` for each event in order; `on_lost(reason)` once when the sources begin to fail;
    `on_restored()` once a source has sent for longer than `SILENCE_TIMEOUT` after failing."""

    first_backoff, max_backoff = FIRST_BACKOFF, MAX_BACKOFF
    max_event_bytes = MAX_CELL_EVENT_BYTES

    def __init__(
        self,
        loop: Loop,
        sources: Iterable[str],
        path: bytes,
        on_event: Callable[[Event], object],
        on_lost: Callable[[str], object],
        on_restored: Callable[[], object],
        chance: RandomSource,
    ) -> None:
        """`sources`: the addresses of the sources; `path`: the result of `cell_path`."""
        self.sources, self.path = shuffled(sources, chance), path
        self.on_lost, self.on_restored = on_lost, on_restored
        self.source_index = 0  # index of the source in use
        self.has_complete_list = False  # whether the current source has sent a complete list
        self.failing = False
        super().__init__(loop, self.sources[0], 0, on_event, chance)

    def on_connected(self, number: int, sock: socket.socket | None, error: OSError | None) -> None:
        """As in `ChangeLogWatcher`; from a source that has ended, a complete list is requested."""
        if isinstance(error, SOURCE_ENDED_ERRORS):
            self._forget_position()
        super().on_connected(number, sock, error)

    def read_now(self) -> None:
        """Reads the data that is waiting in the socket."""
        if self.stream is not None:
            self.stream.read_now()

    def reconnect_later(self, reason: object) -> None:
        """Reconnects after the backoff, to the next source if there are several."""
        if not self.failing:
            self.failing = True
            self.loop.call_guarded(self.on_lost, f"{self.address_text}: {reason}")
        if len(self.sources) > 1:
            self.source_index = (self.source_index + 1) % len(self.sources)
            self.address_text = self.sources[self.source_index]
            self.address = parse_address(self.address_text)
            self._forget_position()
        super().reconnect_later(reason)

    def on_connection_proved(self) -> None:
        """Ends the failure state once the connection has outlived `SILENCE_TIMEOUT`."""
        super().on_connection_proved()
        if self.failing and self.last_message_at >= self.connecting_since + SILENCE_TIMEOUT:
            self.failing = False
            self.loop.call_guarded(self.on_restored)

    def follows_last_event(self, event: Event) -> bool:
        """Whether the event is a complete list or follows one without a gap."""
        return event.fleet.complete or self.has_complete_list and event.seq <= self.last_seq + 1

    def has_list(self) -> bool:
        """Whether the current source has sent a complete list."""
        return self.has_complete_list

    def request_missing_events(self) -> bool:
        """Reconnects and requests a complete list. Always returns True."""
        reason = f"missing or unreadable event after number {self.last_seq}"
        self._forget_position()
        self.reconnect_later(reason)
        return True

    def is_restart(self, event: Event) -> bool:
        """Whether the first event is a complete list, which is the current list whatever its number."""
        return event.fleet.complete

    def remember_list(self, event: Event) -> None:
        """Records that the source has sent a list; `is_restart` needs no digests here."""
        self.has_complete_list = True

    def _forget_position(self) -> None:
        self.last_seq, self.has_complete_list = 0, False
