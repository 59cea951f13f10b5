"""The parts of hollow gateways in a fleet of cells, in the order in which they are made."""

from gaproute.hollow.cells.hosts import CellHostsPart
from gaproute.hollow.cells.static_membership import StaticMembershipPart
from gaproute.hollow.cells.tables import CellTablePart, SharedCellTablePart
from gaproute.hollow.demand_gossip import CellDemandGossipPart
from gaproute.hollow.membership import MembershipPart

CELL_PARTS = {
    "membership": MembershipPart,
    "tables": CellTablePart,
    "hosts": CellHostsPart,
    "demand": CellDemandGossipPart,
}
TABLE_PARTS = {"membership": StaticMembershipPart, "tables": SharedCellTablePart}
