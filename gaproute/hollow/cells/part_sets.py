"""The parts of hollow gateways in a fleet of cells, in the order in which they are made."""

from __future__ import annotations

from collections.abc import Mapping

from gaproute.hollow.cells.hosts import CellHostsPart
from gaproute.hollow.cells.static_membership import StaticMembershipPart
from gaproute.hollow.cells.tables import CellTablePart, SharedCellTablePart
from gaproute.hollow.demand_gossip import CellDemandGossipPart
from gaproute.hollow.membership import MembershipPart
from gaproute.hollow.parts import PartFactory

CELL_PARTS: Mapping[str, PartFactory] = {
    "membership": MembershipPart,
    "tables": CellTablePart,
    "hosts": CellHostsPart,
    "demand": CellDemandGossipPart,
}
TABLE_PARTS: Mapping[str, PartFactory] = {"membership": StaticMembershipPart, "tables": SharedCellTablePart}
