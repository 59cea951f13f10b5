"""The simulated network of a fleet of cells."""

from __future__ import annotations

from gaproute.hollow.cells.plan import REGIONS, ZONES, CellPlan
from gaproute.hollow.cells.pulls import SimulatedPullServer
from gaproute.hollow.simulation import SimulatedLoop, SimulatedNetwork
from gaproute.hollow.simulation.network import FAR, NEAR


class CellNetwork(SimulatedNetwork):
    """A gateway's region is that of its cell. `pull_servers`: who answers pulls of tables, by address."""

    def __init__(self, loop: SimulatedLoop, plan: CellPlan) -> None:
        super().__init__(loop)
        self._plan = plan
        self.pull_servers: dict[str, SimulatedPullServer] = {}

    def region(self, name: str) -> int:
        """The number of the gateway's region."""
        return self._plan.cell_of(name) % ZONES % REGIONS

    def delay_between(self, one: str, other: str) -> int:
        """Ns one way between two gateways, by name."""
        return NEAR if self.region(one) == self.region(other) else FAR

    def is_partitioned(self, one: str, other: str) -> bool:
        """Whether nothing gets from one gateway to the other and back."""
        return self.blocked is not None and (self.blocked(one, other) or self.blocked(other, one))
