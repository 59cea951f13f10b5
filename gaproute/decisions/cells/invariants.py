"""The invariants of a `CellularGateway`: each check yields its violations as text."""

from collections.abc import Iterable, Iterator

from gaproute.decisions.cells.bounds import MAX_CELLS
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.demand import MAX_FUNCTIONS
from gaproute.decisions.cells.entries import MAX_HOPS, ForwardAttempt
from gaproute.decisions.cells.homes import MAX_CACHED_ORDERS, HomeCells
from gaproute.decisions.cells.table import CellTable
from gaproute.interface import Attempt


def view_bounded(gateway: CellularGateway) -> Iterator[str]:
    """The number of hosts in view and the state stored of cells and functions are bounded."""
    view = gateway.view
    assert view is not None
    assert gateway.homes is not None
    if view.host_count() > view.max_hosts and len(view.cell_names()) > 1:
        yield f"{view.host_count()} hosts are in view, but at most {view.max_hosts} are allowed"
    for name in gateway.local.gateways.keys() - set(view.cell_names()):
        yield f"the hosts of cell {name} are stored, but the cell is not in view"
    for what, count, bound in (
        ("stored functions", len(gateway.demand.functions), MAX_FUNCTIONS),
        ("cached orders", gateway.homes.cached_order_count(), MAX_CACHED_ORDERS),
        ("cell loads", len(gateway.loads.cells), MAX_CELLS),
        ("cell records", len(gateway.health.records), MAX_CELLS),
        ("entry orders", len(gateway.entries.orders), MAX_CELLS),
    ):
        if count > bound:
            yield f"{count} {what}, but at most {bound} are allowed"


def homes_agree(gateway: CellularGateway, functions: Iterable[str]) -> Iterator[str]:
    """The homes of a function are those that any gateway computes from the same table."""
    assert gateway.location is not None
    assert gateway.homes is not None
    assert gateway.table is not None
    computed = HomeCells(gateway.table)
    for function in functions:
        for region in (None, gateway.location.region):
            if gateway.homes.order(function, 2, region)[:2] != computed.order(function, 2, region)[:2]:
                yield f"the homes of {function!r} differ from those that the table gives"


def one_cell_at_a_time(gateway: CellularGateway) -> Iterator[str]:
    """No request has attempts in flight in two cells."""
    cells: dict[str, str] = {}
    for (request, _), attempt in gateway.recorder.attempts.items():
        if cells.setdefault(request, attempt.cell) != attempt.cell:
            yield f"request {request} has attempts in flight in cells {cells[request]} and {attempt.cell}"


def sent_to_known(gateway: CellularGateway, attempt: Attempt) -> Iterator[str]:
    """An attempt goes to a cell that is in the table and has an active host, or to one of its entries."""
    if isinstance(attempt, ForwardAttempt):
        cell = gateway.table.by_name.get(attempt.forwarded.cell) if gateway.table is not None else None
        if cell is None:
            yield f"a request was forwarded to cell {attempt.forwarded.cell}, which is not in the table"
        elif attempt.host not in {entry.name for entry in cell.entries}:
            yield f"a request was forwarded to {attempt.host}, which is not an entry of cell {cell.name}"
    elif (owner := gateway.local.gateway_of_host(attempt.host)) is None:
        yield f"an attempt was sent to host {attempt.host}, which is in no known cell"
    elif not owner.hosts_by_id[attempt.host].active:
        yield f"an attempt was sent to host {attempt.host}, which is not active"


def hops_bounded(attempt: Attempt) -> Iterator[str]:
    """A request is forwarded at most `MAX_HOPS` times."""
    if isinstance(attempt, ForwardAttempt) and not 1 <= attempt.forwarded.hops <= MAX_HOPS:
        yield f"a request was forwarded {attempt.forwarded.hops} times, more often than allowed"


def version_grows(before: CellTable | None, after: CellTable) -> Iterator[str]:
    """The version of a gateway's table never decreases."""
    if before is not None and after.version < before.version:
        yield f"table version {after.version} replaced the newer version {before.version}"


def find_violations(gateway: CellularGateway, functions: Iterable[str] = ()) -> list[str]:
    """The violations of the invariants of a gateway with several cells, as text."""
    return [
        *view_bounded(gateway),
        *homes_agree(gateway, functions),
        *one_cell_at_a_time(gateway),
    ]
