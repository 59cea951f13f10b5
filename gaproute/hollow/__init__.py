"""Hollow gateways: the control parts of a gateway without clients and requests, many in one process.

`HollowGateway` wires parts (`ControlPart`) on a loop. `simulation` has a loop, a network and a fleet on a
simulated clock; `process` runs gateways on real sockets.
"""

from gaproute.hollow.environment import GatewayEnvironment
from gaproute.hollow.gateway import PARTS, HollowGateway
from gaproute.hollow.parts import ControlPart

__all__ = ["PARTS", "ControlPart", "GatewayEnvironment", "HollowGateway"]
