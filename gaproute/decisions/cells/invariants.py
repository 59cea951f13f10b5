"""What must always hold of a cellular gateway: named checks that return breaches as text."""

from gaproute.decisions.cells.bounds import MAX_CELLS
from gaproute.decisions.cells.demand import MAX_FUNCTIONS
from gaproute.decisions.cells.entries import MAX_HOPS, ForwardAttempt
from gaproute.decisions.cells.homes import MAX_ORDERS, HomeCells


def view_bounded(gateway):
    """The hosts of the cells in view, and all that is remembered of cells and functions, are bounded."""
    view = gateway.view
    if view.hosts() > view.max_hosts and len(view.names()) > 1:
        yield f"{view.hosts()} hosts are in view, {view.max_hosts} at most"
    for name in gateway.local.gateways.keys() - set(view.names()):
        yield f"the hosts of {name} are held, which is not in view"
    for what, held, most in (
        ("functions remembered", gateway.demand.functions, MAX_FUNCTIONS),
        ("orders held", gateway.homes._orders, MAX_ORDERS),
        ("cells' loads", gateway.loads.cells, MAX_CELLS),
        ("cells' records", gateway.health.records, MAX_CELLS),
        ("entry orders", gateway.entries.orders, MAX_CELLS),
    ):
        if len(held) > most:
            yield f"{len(held)} {what}, {most} at most"


def homes_agree(gateway, functions):
    """The homes are those that any gateway computes afresh from the same table."""
    fresh = HomeCells(gateway.table)
    for function in functions:
        for region in (None, gateway.place.region):
            if gateway.homes.order(function, 2, region)[:2] != fresh.order(function, 2, region)[:2]:
                yield f"the homes of {function!r} differ from those by the table"


def one_cell_at_a_time(gateway):
    """No task has relays out in two cells."""
    cells = {}
    for (task, _), attempt in gateway.attempts.items():
        if cells.setdefault(task, attempt.cell) != attempt.cell:
            yield f"task {task} is out in {cells[task]} and in {attempt.cell}"


def sent_to_known(gateway, wish):
    """A relay goes to a cell that is in the table and has an active host, or to one of its entries."""
    if isinstance(wish, ForwardAttempt):
        cell = gateway.table.by_name.get(wish.forwarded.cell)
        if cell is None:
            yield f"forwarded to {wish.forwarded.cell}, which is not in the table"
        elif wish.host not in {entry.name for entry in cell.entries}:
            yield f"forwarded to {wish.host}, which is no entry of {cell.name}"
    elif (owner := gateway.local.of_worker(wish.host)) is None:
        yield f"sent to {wish.host}, which is in no cell known"
    elif not owner.workers[wish.host].active:
        yield f"sent to {wish.host}, which is not active"


def hops_bounded(wish):
    """A forwarded task says that it was forwarded at most `MAX_HOPS` times."""
    if isinstance(wish, ForwardAttempt) and not 1 <= wish.forwarded.hops <= MAX_HOPS:
        yield f"forwarded {wish.forwarded.hops} times"


def version_grows(before, after):
    """Of two tables held one after the other: the version never falls."""
    if before is not None and after.version < before.version:
        yield f"version {after.version} came after {before.version}"


def check(gateway, functions=()):
    """Breaches of a gateway with several cells, as text; none where all is well."""
    return [
        *view_bounded(gateway),
        *homes_agree(gateway, functions),
        *one_cell_at_a_time(gateway),
    ]
