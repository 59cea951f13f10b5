"""Hollow gateways on a simulated clock and network, in one process: `SimulatedFleet`."""

from gaproute.hollow.simulation.fleet import GatewayRow, SimulatedFleet
from gaproute.hollow.simulation.loop import GatewayLoop, SimulatedLoop
from gaproute.hollow.simulation.network import SimulatedNetwork

__all__ = ["GatewayLoop", "GatewayRow", "SimulatedFleet", "SimulatedLoop", "SimulatedNetwork"]
