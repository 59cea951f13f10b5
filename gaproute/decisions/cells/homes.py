"""The home cells of a function: the first of an order that each gateway computes from the cell table alone.

Invariants: gateways with equal tables compute equal orders, whichever tables they had before; the second home
lies in another zone than the first if the table has another zone; an order has each cell once.
"""

from collections.abc import Iterable
from typing import NamedTuple

from gaproute.decisions.cells.ring import HashRing
from gaproute.decisions.cells.table import Cell, CellTable
from gaproute.decisions.cells.version import Version

MAX_CACHED_ORDERS = 8_192  # computing an order takes far less than a millisecond
MIN_ORDER_LENGTH = 4  # cells in a cached order, one for each usual reason to use the next cell


class _CachedOrder(NamedTuple):
    """An order, and the version of the table from which it was computed; None: not computed yet."""

    version: Version | None
    cells: tuple[str, ...]


_NO_ORDER = _CachedOrder(None, ())


class HomeCells:
    """Computes orders by one table, over the whole fleet or within one region.

    The `max_orders` most recently used orders are cached. `regions`: regions whose rings are made at once;
    the ring of any other region is made at its first use.
    """

    def __init__(
        self, table: CellTable, max_orders: int = MAX_CACHED_ORDERS, regions: Iterable[str] = ()
    ) -> None:
        self.table = table
        self.max_orders = max_orders
        # By (function, region), the most recently used last
        self._orders: dict[tuple[str, str | None], _CachedOrder] = {}
        self._rings: dict[str | None, HashRing] = {None: HashRing(table.cells)}  # None: the whole fleet
        for region in regions:
            self._ring(region)

    def adopt(self, table: CellTable) -> None:
        """Replaces the table by a newer one.

        The cost depends on the number of changed cells. Cached orders are computed again when they are used.
        """
        before, after = self.table.by_name, table.by_name
        names = {name for name, cell in after.items() if before.get(name) is not cell}
        names |= before.keys() - after.keys()
        names = {name for name in names if not _leads_to_same_orders(before.get(name), after.get(name))}
        for region, ring in self._rings.items():
            inside = {
                name: after[name] for name in names & after.keys() if _is_in_region(after[name], region)
            }
            ring.update_cells(inside, names)
        self.table = table

    def order(self, function: str, count: int, region: str | None = None) -> tuple[str, ...]:
        """At least the first `count` cells of the function's order, or all if there are fewer."""
        key = function, region
        version, order = self._orders.pop(key, _NO_ORDER)
        ring = self._ring(region)
        if version != self.table.version or len(order) < min(count, len(ring.cells)):
            order = _compute_order(ring, function, max(count, MIN_ORDER_LENGTH))
        self._orders[key] = _CachedOrder(self.table.version, order)
        if len(self._orders) > self.max_orders:
            del self._orders[next(iter(self._orders))]
        return order

    def first(self, function: str, region: str | None = None) -> str | None:
        """The function's first home; None if the region has no cells."""
        order = self.order(function, 1, region)
        return order[0] if order else None

    def cached_order_count(self) -> int:
        """The number of cached orders."""
        return len(self._orders)

    def _ring(self, region: str | None) -> HashRing:
        if region not in self._rings:
            self._rings[region] = HashRing(cell for cell in self.table.cells if _is_in_region(cell, region))
        return self._rings[region]


def moved_share(before: HomeCells, after: HomeCells, functions: Iterable[str]) -> float:
    """The share of the functions whose first home differs between the two."""
    functions = list(functions)
    return sum(before.first(name) != after.first(name) for name in functions) / max(1, len(functions))


def _compute_order(ring: HashRing, function: str, count: int) -> tuple[str, ...]:
    """The ring's order, changed so that the second cell is the first one that lies in another zone."""
    if not ring.cells:
        return ()
    several_zones = len(ring.zones) > 1
    order: list[str] = []
    deferred: list[str] = []
    for name in ring.order(function):
        first_zone = ring.cells[order[0]].zone if order else None
        if several_zones and len(order) == 1 and ring.cells[name].zone == first_zone:
            deferred.append(name)
            continue
        order.append(name)
        if deferred:
            order += deferred
            deferred = []
        if len(order) >= count:
            break
    return tuple(order[:count])


def _is_in_region(cell: Cell, region: str | None) -> bool:
    return region is None or cell.region == region


def _leads_to_same_orders(before: Cell | None, after: Cell | None) -> bool:
    """Whether two rows of a cell lead to the same orders."""
    if before is None or after is None:
        return before is after
    return (before.points, before.zone, before.region) == (after.points, after.zone, after.region)
