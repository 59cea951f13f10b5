"""The state of the fleet at one moment, the input of a round controller."""

from collections.abc import Mapping

import msgspec

from gaproute.maintenance.host_report import HostReport, is_responsive
from gaproute.maintenance.round_spec import Fleet
from gaproute.shared.gossip.fleet_view import WarmSighting

Sightings = Mapping[str, Mapping[str, WarmSighting]]  # by function and host


class FleetStatus(msgspec.Struct, frozen=True):
    """What this gateway knows of the fleet at one moment.

    `fleet`: the listed hosts; `reports`: the last report of each host to this gateway.
    `sightings`: warm instances that this gateway saw or that others reported by gossip.
    `demand`: lanes in use at the peak, by function; `demand_age`: ns since demand was last reported.
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
        """The listed hosts that have answered no probe lately."""
        return [name for name in self.fleet if not is_responsive(self.reports.get(name), now)]
