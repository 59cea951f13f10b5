"""The state of the fleet at one moment, as a controller of maintenance is given it."""

from collections.abc import Mapping

import msgspec

from gaproute.maintenance.host_report import HostReport, is_responsive
from gaproute.maintenance.round_spec import Fleet
from gaproute.shared.gossip.fleet_view import WarmSighting

Sightings = Mapping[str, Mapping[str, WarmSighting]]  # by function and host


class FleetStatus(msgspec.Struct, frozen=True):
    """What is known of the fleet now.

    `fleet`: the hosts that are listed; `reports`: each host's last report to this gateway.
    `sightings`: warm instances seen by this gateway or reported by others, as gossip knows them.
    `demand`: by function, the lanes in use at its peak; `demand_age`: ns since demand was last reported.
    """

    fleet: Fleet
    reports: Mapping[str, HostReport]
    sightings: Sightings
    demand: Mapping[str, int]
    demand_age: int

    @property
    def zones(self) -> list[str]:
        """The names of the fleet's zones, sorted."""
        return sorted({host.zone for host in self.fleet.values()})

    def unresponsive_hosts(self, now: int) -> list[str]:
        """The listed hosts that have not answered lately."""
        return [name for name in self.fleet if not is_responsive(self.reports.get(name), now)]
