"""Hollow gateways on a simulated clock and network, in one process: `Fleet`."""

from gaproute.hollow.simulation.fleet import Fleet, GatewayRow
from gaproute.hollow.simulation.loop import GatewayLoop, SimulatedLoop
from gaproute.hollow.simulation.network import Network

__all__ = ["Fleet", "GatewayLoop", "GatewayRow", "Network", "SimulatedLoop"]
