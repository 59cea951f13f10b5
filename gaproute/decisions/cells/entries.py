"""Chooses the entry gateway for a request to a cell whose hosts this gateway does not know.

Each gateway has its own order of a cell's entries, by rendezvous hashing of its name and the entry's. So the
gateways of a fleet use different entries, while one gateway mostly uses the same entry of a cell: it needs
few connections, and these stay in use. An entry that cannot be reached or is silent is avoided for a while;
an entry that does not know a cell is avoided for that cell.

Invariants: a request is sent to an entry at most once; it is forwarded at most `MAX_HOPS` times.
"""

from collections.abc import Collection
from dataclasses import dataclass, replace
from typing import NamedTuple, Self, TypeVar

from xxhash import xxh3_64_intdigest

from gaproute.decisions.cells.table import Cell, CellTable, EntryGateway
from gaproute.interface import Attempt, Reject
from gaproute.units import SECOND

# The gateway that accepted a request forwards it to an entry; an entry that does not know the cell forwards
# it once more
MAX_HOPS = 2
MAX_ENTRIES_USED_PER_CELL = 4  # the first entries in this gateway's order; one request tries at most two
# Stored backoffs and answer times per cell, above which those of entries outside the table are dropped
MAX_ENTRY_STATES_PER_CELL = 4
MIN_BACKOFF, MAX_BACKOFF = SECOND, 30 * SECOND  # time for which an entry is avoided
NEVER_ANSWERED = -1  # time of the last answer of an entry that has not answered yet

Key = TypeVar("Key")


def trim_entries(cell: Cell, own_name: str) -> Cell:
    """The row of a cell with only the entries that this gateway may use, and the gateway itself if it is one.

    This is the `trim` of a `TableHolder` in fleets whose gateways do not send the table to each other:
    entries are the largest part of a table, and their number grows with the number of gateways.
    """
    if len(cell.entries) <= MAX_ENTRIES_USED_PER_CELL:
        return cell
    own = [entry for entry in cell.entries if entry.name == own_name]
    return replace(cell, entries=tuple(own + _sort_entries(own_name, cell)[:MAX_ENTRIES_USED_PER_CELL]))


def _sort_entries(own_name: str, cell: Cell) -> list[EntryGateway]:
    """The cell's entries in this gateway's order, without this gateway itself."""
    return sorted(
        [entry for entry in cell.entries if entry.name != own_name],
        key=lambda entry: (-xxh3_64_intdigest(f"{own_name}\0{entry.name}".encode()), entry.name),
    )


class Forwarded(NamedTuple):
    """The data that a forwarded request carries in addition to the request itself."""

    cell: str
    hops: int  # number of times that the request has been forwarded


class ForwardAttempt(Attempt):
    """An attempt through an entry gateway. `host` is the name of the entry."""

    address: str
    forwarded: Forwarded

    def __new__(cls, entry: EntryGateway, until: int, forwarded: Forwarded) -> Self:
        """Makes an `Attempt` with the address of the entry and the data for it."""
        attempt = super().__new__(cls, entry.name, until)
        attempt.address, attempt.forwarded = entry.address, forwarded
        return attempt


class CellUnknown(Reject):
    """A rejection because this gateway cannot reach the cell. Nothing ran; another entry may know it."""


@dataclass(frozen=True, slots=True)
class EntryBackoff:
    """The end and the duration of the time for which an entry is avoided; ns."""

    retry_at: int
    duration: int


class _CachedOrder(NamedTuple):
    """A cell's entries in order, and the row of the cell from which the order was computed."""

    cell: Cell
    entries: tuple[EntryGateway, ...]


class EntrySelector:
    """Chooses the entries of cells for the gateway `own_name`."""

    def __init__(self, own_name: str) -> None:
        self.own_name = own_name
        self.backoffs: dict[str, EntryBackoff] = {}  # by entry
        self.unknown_cells: dict[tuple[str, str], EntryBackoff] = {}  # by (entry, cell that it does not know)
        self.last_answered: dict[str, int] = {}  # by entry, ns
        self.orders: dict[str, _CachedOrder] = {}  # by cell

    def adopt(self, table: CellTable) -> None:
        """Drops the state of entries and cells that are not in the newer table."""
        self.orders = {name: order for name, order in self.orders.items() if name in table.by_name}
        self.unknown_cells = {
            key: backoff for key, backoff in self.unknown_cells.items() if _is_entry(table, *key)
        }
        if len(self.backoffs) + len(self.last_answered) > MAX_ENTRY_STATES_PER_CELL * len(table.cells):
            named = {entry.name for cell in table.cells for entry in cell.entries}
            self.backoffs = {name: backoff for name, backoff in self.backoffs.items() if name in named}
            self.last_answered = {name: at for name, at in self.last_answered.items() if name in named}

    def ordered_entries(self, cell: Cell) -> tuple[EntryGateway, ...]:
        """The cell's entries in this gateway's order, without this gateway itself."""
        cached = self.orders.get(cell.name)
        if cached is None or cached.cell is not cell:
            cached = self.orders[cell.name] = _CachedOrder(cell, tuple(_sort_entries(self.own_name, cell)))
        return cached.entries

    def pick(self, now: int, cell: Cell, tried: Collection[str] = ()) -> EntryGateway | None:
        """The first usable entry that is not in `tried`, or None."""
        for entry in self.ordered_entries(cell):
            if entry.name not in tried and self._is_usable(now, entry.name, cell.name):
                return entry
        return None

    def has_no_usable_entry(self, now: int, cell: Cell) -> bool:
        """Whether all entries of the cell are avoided now."""
        return self.pick(now, cell) is None

    def record_failure(self, now: int, name: str) -> None:
        """Records that the entry could not be reached, broke the connection, or is silent."""
        _back_off(self.backoffs, name, now)

    def record_cell_unknown(self, now: int, name: str, cell: str) -> None:
        """Records that the entry answered that it does not know the cell."""
        self.record_answer(now, name)
        _back_off(self.unknown_cells, (name, cell), now)

    def record_overdue(self, now: int, name: str, sent_at: int) -> None:
        """Records a failure of the entry for an overdue request, unless it answered another request since."""
        if not self.has_answered_since(name, sent_at):
            self.record_failure(now, name)

    def record_answer(self, now: int, name: str, cell: str | None = None) -> None:
        """Records an answer of the entry; `cell`: a cell that the answer shows it to know."""
        self.last_answered[name] = now
        self.backoffs.pop(name, None)
        if cell is not None:
            self.unknown_cells.pop((name, cell), None)

    def has_answered_since(self, name: str, time: int) -> bool:
        """Whether the entry answered any request at or after that time."""
        return self.last_answered.get(name, NEVER_ANSWERED) >= time

    def _is_usable(self, now: int, name: str, cell: str) -> bool:
        """Whether the entry is avoided neither for all cells nor for this cell."""
        backoffs = self.backoffs.get(name), self.unknown_cells.get((name, cell))
        return all(backoff is None or now >= backoff.retry_at for backoff in backoffs)


def _back_off(backoffs: dict[Key, EntryBackoff], key: Key, now: int) -> None:
    """Starts a backoff of the entry that the key names; each is longer than the one before."""
    backoff = backoffs.get(key)
    if backoff is None:
        backoffs[key] = EntryBackoff(now + MIN_BACKOFF, MIN_BACKOFF)
    elif now >= backoff.retry_at:
        duration = min(2 * backoff.duration, MAX_BACKOFF)
        backoffs[key] = EntryBackoff(now + duration, duration)


def _is_entry(table: CellTable, name: str, cell: str) -> bool:
    """Whether the table names the gateway as an entry of the cell."""
    row = table.by_name.get(cell)
    return row is not None and any(entry.name == name for entry in row.entries)
