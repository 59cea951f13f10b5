"""The trainer of a campaign run: its weights move on when the rollouts of a step are delivered."""

from gaproute.simulation.campaigns.fleet import CampaignFleet
from gaproute.simulation.campaigns.gateway import SimulatedGateway
from gaproute.simulation.campaigns.record import CampaignProgress
from gaproute.simulation.simulation import Simulation


class Trainer:
    """Notifies one gateway of each new version; the others hear it from that one."""

    def __init__(self, fleet: CampaignFleet, progress: CampaignProgress) -> None:
        self.fleet, self.progress = fleet, progress

    def step(self, simulation: Simulation) -> None:
        """Moves on the campaigns whose step is complete; notifies the first gateway that runs."""
        for name, campaign in self.fleet.campaigns.items():
            if self.progress.delivered[name] >= campaign.rollouts_per_step * self.progress.versions[name]:
                self.progress.versions[name] += 1
                for gateway in self.fleet.gateways:
                    if self._notify(simulation, gateway, name):
                        break

    def move_on(self, simulation: Simulation) -> None:
        """Moves on all campaigns, complete or not; notifies the first gateway, if it runs."""
        for name in self.fleet.campaigns:
            self.progress.versions[name] += 1
            self._notify(simulation, self.fleet.gateways[0], name)

    def _notify(self, simulation: Simulation, gateway: str, campaign: str) -> bool:
        version = self.progress.versions[campaign]
        return simulation.ask(gateway, SimulatedGateway.set_version, campaign, version)
