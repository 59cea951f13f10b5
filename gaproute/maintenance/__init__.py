"""Rolling maintenance: hosts are taken out of service group by group, with enough warm capacity left in
service.

A round of maintenance is described by a `RoundSpec` and carried out by a `RoundController`. The controller
is given the state of the fleet and returns orders to hosts; it reads no clock, draws no random numbers and
does no I/O. The gateway does not run rounds yet: only the simulation drives this package.
"""

from gaproute.maintenance.controller import RoundController
from gaproute.maintenance.fleet_status import FleetStatus
from gaproute.maintenance.round_spec import MaintenanceHost, RoundSpec
from gaproute.maintenance.spec_validation import find_mistakes

__all__ = ["FleetStatus", "MaintenanceHost", "RoundController", "RoundSpec", "find_mistakes"]
