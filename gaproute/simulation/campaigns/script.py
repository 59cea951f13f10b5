"""The workload of a campaign run: production's requests, the trainer, what the case does, samples."""

from gaproute.simulation.campaigns.cases import Act
from gaproute.simulation.campaigns.fleet import LANES
from gaproute.simulation.campaigns.gateway import SimulatedGateway
from gaproute.simulation.campaigns.host import SimulatedHost
from gaproute.simulation.campaigns.scene import MEAN_PRODUCTION_TIME, Scene
from gaproute.simulation.campaigns.trainer import Trainer
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation
from gaproute.units import MILLI, SECOND

USUAL_LOAD = 0.35  # of all lanes that production wants on an ordinary day
BURST_FACTORS = (1.5, 2.3)  # of the usual load, least and most
BURSTS = 3
BURST_SECONDS = (1, 3)  # least and most
SAMPLE_FROM = 5 * SECOND  # by then there are a leader, a plan, leases and the first loads
SAMPLE_INTERVAL = 10 * MILLI


class ProductionLoad:
    """How many requests a second production has. Bursts are drawn; they may overlap."""

    def __init__(self, random: SeededRandom, hosts: int, end: int) -> None:
        self._hosts = hosts
        # (begin, duration)
        self._bursts = sorted(
            (random.below(end), random.between(*BURST_SECONDS) * SECOND) for _ in range(BURSTS)
        )
        least, most = BURST_FACTORS
        self._burst_factor = least + (most - least) * random.below(1000) / 1000

    def interval(self, now: int) -> float:
        """ns between two requests on average."""
        in_burst = any(begin <= now < begin + lasts for begin, lasts in self._bursts)
        factor = self._burst_factor if in_burst else 1.0
        rate = USUAL_LOAD * factor * LANES * self._hosts * SECOND / MEAN_PRODUCTION_TIME
        return SECOND / max(1.0, rate)


class CampaignScript:
    """Does at each request of production also everything else that is due by then."""

    def __init__(self, scene: Scene, load: ProductionLoad, trainer: Trainer, acts: tuple[Act, ...]) -> None:
        self.scene, self.load, self.trainer = scene, load, trainer
        self._acts = list(acts)
        self._sample_at = SAMPLE_FROM

    def next_time(self, now: int) -> int:
        """The true time of the next request."""
        return now + 1 + int(self.scene.production_random.random() * 2 * self.load.interval(now))

    def run(self, simulation: Simulation) -> None:
        """Makes a request of production at a random gateway."""
        gateway = self.scene.production_random.choice(self.scene.fleet.gateways)
        simulation.ask(gateway, SimulatedGateway.produce)
        while self._sample_at <= simulation.now:
            self._sample_at += SAMPLE_INTERVAL
            self._sample(simulation)
        self.trainer.step(simulation)
        for act in [act for act in self._acts if simulation.now >= act.at]:
            self._acts.remove(act)
            act.act(self.trainer, simulation)

    def _sample(self, simulation: Simulation) -> None:
        """Looks at the use of the lanes that production and the floors leave."""
        fleet = self.scene.fleet
        for name in fleet.hosts:
            host = simulation.slots[name].process
            if isinstance(host, SimulatedHost):
                spare = max(0, fleet.lendable[name] - host.lanes.production)
                tasks = host.lanes.running.values()
                campaigns = [task.copy.campaign for task in tasks if task.copy is not None]
                self.scene.rollouts.record_use(spare, campaigns)
