"""Hollow gateways in a fleet of cells: the cell table, decisions by cells, gossip within the own cell.

`CellFleet` plays many on the simulated clock. A gateway of `CELL_PARTS` is played in full. One of
`TABLE_PARTS` only carries the cell table, with a fixed list of its cell's members; such gateways stand for
the part of a large fleet that memory and time do not allow to be played in full.
"""

from gaproute.hollow.cells.fleet import CellFleet
from gaproute.hollow.cells.part_sets import CELL_PARTS, TABLE_PARTS
from gaproute.hollow.cells.plan import CellPlan

__all__ = ["CELL_PARTS", "TABLE_PARTS", "CellFleet", "CellPlan"]
