"""Rolling maintenance: hosts are taken out of service group by group, while enough warm capacity stays in
service.

A `RoundSpec` describes a maintenance round, and a `RoundController` carries it out. The controller receives
the state of the fleet and returns orders to hosts; it reads no clock, draws no random numbers and does no
I/O. The gateway does not run maintenance rounds yet: only the simulation drives this package.
"""

from gaproute.maintenance.controller import RoundController
from gaproute.maintenance.fleet_status import FleetStatus
from gaproute.maintenance.round_spec import MaintenanceHost, RoundSpec
from gaproute.maintenance.spec_validation import find_mistakes

__all__ = ["FleetStatus", "MaintenanceHost", "RoundController", "RoundSpec", "find_mistakes"]
