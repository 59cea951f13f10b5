"""Hollow gateways: the product's own control parts without clients or attempts, many in one process.

`HollowGateway` wires parts (`parts.ControlPart`) on a loop; `simulation` has a loop, a network and a fleet for
runs on a simulated clock.
"""

from gaproute.hollow.gateway import PARTS, HollowGateway
from gaproute.hollow.parts import ControlPart, GatewayEnvironment

__all__ = ["PARTS", "HollowGateway", "ControlPart", "GatewayEnvironment"]
