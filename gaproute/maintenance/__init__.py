"""Maintenance in steps: hosts are taken out one group after another, warm capacity never under a floor.

    round_spec.RoundSpec, MaintenanceHost; round_spec.mistakes(round, fleet, demand) -> [text]
    schedule.plan(...) -> Plan(steps, end, why)          whether it can be done at all, and how long it takes
    RoundController(round, me, holder, now, span).tick(now, FleetStatus) -> orders
    RoundController.ask(now, host, FleetStatus) -> out for a crew
    invariants.check_round(running, now, fleet) -> [text]

Decisions only: no clock, no chance, no sockets. Off: nothing in the program makes a RoundController yet.
"""

from gaproute.maintenance.controller import RoundController
from gaproute.maintenance.fleet_status import FleetStatus
from gaproute.maintenance.round_spec import MaintenanceHost, RoundSpec, mistakes

__all__ = ["MaintenanceHost", "RoundSpec", "RoundController", "FleetStatus", "mistakes"]
