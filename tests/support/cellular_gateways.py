"""Gateways of a fleet of cells for tests, and functions by their home cells."""

from cells_tables import cells, table
from helpers import TERMS, row

from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.location import GatewayLocation

IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT = 0, 1, 2
PLACE = GatewayLocation("gateway1", "region0", "zone0")


def fleet(count=26, own=("cell0",), **terms):
    """A gateway of zone 0 that knows some cells' hosts."""
    made = CellularGateway(7, TERMS._replace(**{"hedging_allowed": False, **terms}), 0, PLACE)
    made.adopt(0, table(cells(count)))
    for name in made.cells_to_follow():
        if name in own:
            made.update_hosts(0, [row(f"{name}-{host}") for host in "abc"], complete=True, cell=name)
    return made


def functions(made, wanted, number=1):
    """Functions whose first home is one of the cells wanted."""
    found = (f"f{place}" for place in range(100_000) if made.homes.first(f"f{place}") in wanted)
    return [next(found) for _ in range(number)]


def function_of(made, name):
    return functions(made, (name,))[0]
