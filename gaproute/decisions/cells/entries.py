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
ENTRIES_HELD = 4  # of a cell, in this gateway's order: two are tried for one call
KEPT_PER_CELL = 4  # entries remembered for each cell before those that the table lacks are sought out
FIRST_DOUBT, LONGEST_DOUBT = SECOND, 30 * SECOND  # for which an entry is passed over


def trim(cell: Cell, own_name: str) -> Cell:
    """The row with the entries that this gateway may come to use, and itself where it is one.

    For `TableHolder`, in a fleet whose gateways do not hand the table on to each other: most of a table is
    entries, and their number grows with the gateways.
    """
    if len(cell.entries) <= ENTRIES_HELD:
        return cell
    own = [entry for entry in cell.entries if entry.name == own_name]
    return replace(cell, entries=tuple(own + _ordered(own_name, cell)[:ENTRIES_HELD]))


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


class Forward(Attempt):
    """A relay to an entry gateway. `host` is the entry's name."""

    def __new__(cls, entry, until, forwarded):
        """A wish as `Attempt`, with what the other gateway must be told."""
        wish = super().__new__(cls, entry.name, until)
        wish.address, wish.forwarded = entry.address, forwarded
        return wish


class CellUnknown(Reject):
    """A decline by a gateway that has no way into the cell: nothing ran, and another entry may know more."""


@dataclass(slots=True)
class Doubt:
    """An entry that failed, or does not know a cell: passed over until then."""

    until: int
    span: int


class Entries:
    """Which entry of a cell to use."""

    def __init__(self, own_name):
        self.own_name = own_name
        self.doubts = {}  # entry: Doubt
        self.lacking = {}  # (entry, cell that it does not know): Doubt
        self.heard = {}  # entry: when it last answered
        self.orders = {}  # cell: (its row, entries in order)

    def adopt(self, table):
        """Forget what the table has no more."""
        self.orders = {name: held for name, held in self.orders.items() if name in table.by_name}
        self.lacking = {key: doubt for key, doubt in self.lacking.items() if _named(table, *key)}
        if len(self.doubts) + len(self.heard) > KEPT_PER_CELL * len(table.cells):
            named = {entry.name for cell in table.cells for entry in cell.entries}
            self.doubts = {name: doubt for name, doubt in self.doubts.items() if name in named}
            self.heard = {name: at for name, at in self.heard.items() if name in named}

    def order(self, cell):
        """The cell's entries in this gateway's order, without itself."""
        row, order = self.orders.get(cell.name, (None, ()))
        if row is not cell:
            order = tuple(_ordered(self.own_name, cell))
            self.orders[cell.name] = cell, order
        return order

    def pick(self, now, cell, tried=()):
        """The entry to use, or None: all are in doubt or were tried."""
        for entry in self.order(cell):
            if entry.name not in tried and self._usable(now, entry.name, cell.name):
                return entry
        return None

    def all_in_doubt(self, now, cell):
        """Whether no entry of the cell can be used for now."""
        return self.pick(now, cell) is None

    def failed(self, now, name):
        """The entry could not be reached, broke off, or is silent."""
        _doubt(self.doubts, name, now)

    def unknowing(self, now, name, cell):
        """The entry is well, but does not know the cell of that name."""
        self.answered(now, name)
        _doubt(self.lacking, (name, cell), now)

    def silent(self, now, name, sent):
        """A call sent then has no answer yet, or none came in time: proof if it answered no other since."""
        if self.heard.get(name, -1) < sent:
            self.failed(now, name)

    def answered(self, now, name, cell=None):
        """The entry is well; `cell`: one that it thereby showed to know."""
        self.heard[name] = now
        self.doubts.pop(name, None)
        self.lacking.pop((name, cell), None)

    def _usable(self, now, name, cell):
        """Whether nothing speaks against the entry as a way into the cell."""
        doubts = self.doubts.get(name), self.lacking.get((name, cell))
        return all(doubt is None or now >= doubt.until for doubt in doubts)


def _doubt(doubts, key, now):
    """Pass over what the key names, for longer each time."""
    doubt = doubts.get(key)
    if doubt is None:
        doubts[key] = Doubt(now + FIRST_DOUBT, FIRST_DOUBT)
    elif now >= doubt.until:
        span = min(2 * doubt.span, LONGEST_DOUBT)
        doubts[key] = Doubt(now + span, span)


def _named(table, name, cell):
    """Whether the table names the gateway as an entry of the cell."""
    row = table.by_name.get(cell)
    return row is not None and any(entry.name == name for entry in row.entries)
