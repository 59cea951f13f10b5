"""The ways into cells that a gateway does not know: which entry gateway a call is forwarded to.

The order of a cell's entries is this gateway's own (rendezvous hashing of its name and the entry's), so that
the gateways of a fleet spread over the entries, and one gateway keeps to one entry of each cell: few
connections, and they are in use. An entry that cannot be reached or is silent is passed over for a while; one
that does not know a cell is passed over for that cell.

Invariants: a task goes to an entry at most once; a call is forwarded `MAX_HOPS` times at most.
"""

from dataclasses import dataclass, replace
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from gaproute.decisions.cells.table import Cell
from gaproute.interface import Attempt, Reject

SECOND = 1_000_000_000

MAX_HOPS = 2  # from the gateway that took the call to an entry, and once more where that knows the cell not
MAX_ENTRIES_PER_CELL = 4  # of a cell, in this gateway's order: two are tried for one call
ENTRIES_KEPT_PER_CELL = 4  # entries remembered for each cell before those that the table lacks are sought out
MIN_BACKOFF, MAX_BACKOFF = SECOND, 30 * SECOND  # for which an entry is passed over


def trim_entries(cell: Cell, own_name: str) -> Cell:
    """The row with the entries that this gateway may come to use, and itself where it is one.

    For `TableHolder`, in a fleet whose gateways do not hand the table on to each other: most of a table is
    entries, and their number grows with the gateways.
    """
    if len(cell.entries) <= MAX_ENTRIES_PER_CELL:
        return cell
    own = [entry for entry in cell.entries if entry.name == own_name]
    return replace(cell, entries=tuple(own + _ordered(own_name, cell)[:MAX_ENTRIES_PER_CELL]))


def _ordered(own_name, cell):
    """The cell's entries in this gateway's order, without itself."""
    return sorted(
        [entry for entry in cell.entries if entry.name != own_name],
        key=lambda entry: (-xxh3_64_intdigest(f"{own_name}\0{entry.name}".encode()), entry.name),
    )


class Forwarded(NamedTuple):
    """What a forwarded task says beside its content."""

    cell: str
    hops: int  # times that it has been forwarded


class ForwardAttempt(Attempt):
    """A relay to an entry gateway. `host` is the entry's name."""

    def __new__(cls, entry, until, forwarded):
        """A wish as `Attempt`, with what the other gateway must be told."""
        wish = super().__new__(cls, entry.name, until)
        wish.address, wish.forwarded = entry.address, forwarded
        return wish


class CellUnknown(Reject):
    """A decline by a gateway that has no way into the cell: nothing ran, and another entry may know more."""


@dataclass(slots=True)
class EntryBackoff:
    """An entry that failed, or does not know a cell: passed over until then."""

    retry_at: int
    duration: int


class EntrySelector:
    """Which entry of a cell to use."""

    def __init__(self, own_name):
        self.own_name = own_name
        self.backoffs = {}  # entry: EntryBackoff
        self.unknown_cells = {}  # (entry, cell that it does not know): EntryBackoff
        self.last_answered = {}  # entry: when it last answered
        self.orders = {}  # cell: (its row, entries in order)

    def adopt(self, table):
        """Forget what the table has no more."""
        self.orders = {name: held for name, held in self.orders.items() if name in table.by_name}
        self.unknown_cells = {
            key: backoff for key, backoff in self.unknown_cells.items() if _named(table, *key)
        }
        if len(self.backoffs) + len(self.last_answered) > ENTRIES_KEPT_PER_CELL * len(table.cells):
            named = {entry.name for cell in table.cells for entry in cell.entries}
            self.backoffs = {name: backoff for name, backoff in self.backoffs.items() if name in named}
            self.last_answered = {name: at for name, at in self.last_answered.items() if name in named}

    def order(self, cell):
        """The cell's entries in this gateway's order, without itself."""
        row, order = self.orders.get(cell.name, (None, ()))
        if row is not cell:
            order = tuple(_ordered(self.own_name, cell))
            self.orders[cell.name] = cell, order
        return order

    def pick(self, now, cell, tried=()):
        """The entry to use, or None: all are in backoff or were tried."""
        for entry in self.order(cell):
            if entry.name not in tried and self._usable(now, entry.name, cell.name):
                return entry
        return None

    def none_available(self, now, cell):
        """Whether no entry of the cell can be used for now."""
        return self.pick(now, cell) is None

    def record_failure(self, now, name):
        """The entry could not be reached, broke off, or is silent."""
        _back_off(self.backoffs, name, now)

    def record_cell_unknown(self, now, name, cell):
        """The entry is well, but does not know the cell of that name."""
        self.record_answer(now, name)
        _back_off(self.unknown_cells, (name, cell), now)

    def record_overdue(self, now, name, sent):
        """A call sent then has no answer yet, or none came in time: proof if it answered no other since."""
        if self.last_answered.get(name, -1) < sent:
            self.record_failure(now, name)

    def record_answer(self, now, name, cell=None):
        """The entry is well; `cell`: one that it thereby showed to know."""
        self.last_answered[name] = now
        self.backoffs.pop(name, None)
        self.unknown_cells.pop((name, cell), None)

    def _usable(self, now, name, cell):
        """Whether nothing speaks against the entry as a way into the cell."""
        backoffs = self.backoffs.get(name), self.unknown_cells.get((name, cell))
        return all(backoff is None or now >= backoff.retry_at for backoff in backoffs)


def _back_off(backoffs, key, now):
    """Pass over what the key names, for longer each time."""
    backoff = backoffs.get(key)
    if backoff is None:
        backoffs[key] = EntryBackoff(now + MIN_BACKOFF, MIN_BACKOFF)
    elif now >= backoff.retry_at:
        span = min(2 * backoff.duration, MAX_BACKOFF)
        backoffs[key] = EntryBackoff(now + span, span)


def _named(table, name, cell):
    """Whether the table names the gateway as an entry of the cell."""
    row = table.by_name.get(cell)
    return row is not None and any(entry.name == name for entry in row.entries)
