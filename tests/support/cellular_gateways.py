"""Cellular gateways for tests, and names of functions by their home cells."""

import cells_tables
from helpers import ROUTING_SETTINGS, row

from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.location import GatewayLocation

IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT = 0, 1, 2
LOCATION = GatewayLocation("gateway1", "region0", "zone0")


def make_gateway(count=26, known=("cell0",), **routing_settings):
    """A gateway in zone 0 of a fleet of `count` cells, with host lists of the `known` cells in its view."""
    gateway = CellularGateway(
        7, ROUTING_SETTINGS._replace(**{"hedging_allowed": False, **routing_settings}), 0, LOCATION
    )
    gateway.adopt(0, cells_tables.table(cells_tables.cells(count)))
    for name in gateway.cells_to_follow():
        if name in known:
            gateway.update_hosts(0, [row(f"{name}-{host}") for host in "abc"], complete=True, cell=name)
    return gateway


def functions_with_home(gateway, cells, count=1):
    """Names of functions whose first home is one of the cells."""
    found = (f"f{place}" for place in range(100_000) if gateway.homes.first(f"f{place}") in cells)
    return [next(found) for _ in range(count)]


def function_with_home(gateway, name):
    return functions_with_home(gateway, (name,))[0]
