"""The parts of hollow gateways in a fleet of cells, in the order in which they are made."""

from gaproute.hollow.cells.fixed import FixedMembership
from gaproute.hollow.cells.hosts import CellHosts
from gaproute.hollow.cells.tables import SharedTables, Tables
from gaproute.hollow.demand import DemandInCells
from gaproute.hollow.membership import Membership

CELL_PARTS = {"membership": Membership, "tables": Tables, "hosts": CellHosts, "demand": DemandInCells}
TABLE_PARTS = {"membership": FixedMembership, "tables": SharedTables}
