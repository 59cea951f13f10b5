"""Hollow gateways that go by cells: the table's carrier, the decisions by cells, gossip within the own cell.

`CellFleet` plays many on the simulated clock. `CELL_PARTS` are the parts of a gateway that is played in full;
one of `TABLE_PARTS` has the table's carrier alone, on a fixed list of its cell's members, and stands for the
rest of a fleet that memory or time do not allow to be played in full.
"""

from gaproute.hollow.cells.fleet import CellFleet
from gaproute.hollow.cells.part_sets import CELL_PARTS, TABLE_PARTS
from gaproute.hollow.cells.plan import CellPlan

__all__ = ["CELL_PARTS", "TABLE_PARTS", "CellFleet", "CellPlan"]
