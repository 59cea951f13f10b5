"""One run of rollout campaigns beside production: gateways, a Raft group, and hosts with true lanes."""

from gaproute.shared.leases import LeaseTable
from gaproute.shared.raft import RaftNode
from gaproute.simulation.campaigns.cases import Case
from gaproute.simulation.campaigns.checks import CampaignChecks
from gaproute.simulation.campaigns.fleet import RAFT_NODES, CampaignFleet
from gaproute.simulation.campaigns.gateway import SimulatedGateway
from gaproute.simulation.campaigns.host import SimulatedHost
from gaproute.simulation.campaigns.record import CampaignProgress, ProductionRecord, RolloutRecord
from gaproute.simulation.campaigns.scene import Numbers, Scene
from gaproute.simulation.campaigns.script import CampaignScript, ProductionLoad
from gaproute.simulation.campaigns.trainer import Trainer
from gaproute.simulation.disk import SimulatedDisk
from gaproute.simulation.fault_schedule import FaultSchedule
from gaproute.simulation.process_slot import ProcessFactory
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation
from gaproute.simulation.violation import InvariantViolationError
from gaproute.units import MILLI, SECOND

DEFAULT_END = 18 * SECOND  # of faults and of production


class CampaignRun:
    """A run of this seed and case; `simulation.run()` plays it, up to `end` ns.

    `without_campaigns`: the same production with no campaigns beside it.
    """

    def __init__(
        self, seed: int, case: Case, *, end: int = DEFAULT_END, without_campaigns: bool = False
    ) -> None:
        random = SeededRandom(seed, "campaigns")
        fleet = CampaignFleet(case.size, without_campaigns=without_campaigns)
        self.scene = scene = self._make_scene(seed, case, fleet)
        load = ProductionLoad(random, len(fleet.hosts), end)
        trainer = Trainer(fleet, scene.progress)
        self.simulation = Simulation(
            FaultSchedule(seed, end, case.faults(fleet, random, end)),
            self._factories(),
            checks=CampaignChecks(scene).invariant_checks(),
            workload=CampaignScript(scene, load, trainer, case.acts),
        )

    def figures(self) -> dict[str, object]:
        """What was used, how production fared (waits and answers in ms), and what was delivered."""
        scene, rollouts = self.scene, self.scene.rollouts
        gateways = [slot.process for slot in self.simulation.running]
        ends = [
            each.rollouts.groups.outcome_counts for each in gateways if isinstance(each, SimulatedGateway)
        ]
        return {
            "used": rollouts.used / max(1, rollouts.spare),
            "by": dict(rollouts.lanes_by_campaign),
            "done": dict(scene.progress.delivered),
            "versions": dict(scene.progress.versions),
            **scene.production.figures(),
            "stop": rollouts.last_sent_late / MILLI,
            "scrapped": sum(sum(each.values()) - each["delivered"] for each in ends),
        }

    def _make_scene(self, seed: int, case: Case, fleet: CampaignFleet) -> Scene:
        progress = CampaignProgress(fleet.campaigns)
        return Scene(
            fleet=fleet,
            behaviour=case.behaviour,
            progress=progress,
            production=ProductionRecord(self._true_time),
            rollouts=RolloutRecord(fleet.campaigns, progress),
            numbers=Numbers(),
            production_random=SeededRandom(seed, "production"),
            true_time=self._true_time,
            running_hosts=self._running_hosts,
        )

    def _true_time(self) -> int:
        return self.simulation.now

    def _running_hosts(self) -> list[str]:
        slots = self.simulation.slots
        hosts = list(self.scene.fleet.hosts)
        return [name for name in hosts if slots[name].process is not None] or hosts

    def _factories(self) -> dict[str, ProcessFactory]:
        factories: dict[str, ProcessFactory] = dict.fromkeys(RAFT_NODES, self._make_node)
        factories |= dict.fromkeys(self.scene.fleet.gateways, self._make_gateway)
        return factories | dict.fromkeys(self.scene.fleet.hosts, self._make_host)

    def _make_node(self, name: str, disk: SimulatedDisk, random: SeededRandom, now: int) -> RaftNode:
        base = 1 + self.simulation.now // MILLI
        return RaftNode(
            name, RAFT_NODES, disk, random, now, LeaseTable(initial_wait=False), fencing_base=base
        )

    def _make_gateway(
        self, name: str, disk: SimulatedDisk, random: SeededRandom, now: int
    ) -> SimulatedGateway:
        return SimulatedGateway(self.scene, name, random, now)

    def _make_host(self, name: str, disk: SimulatedDisk, random: SeededRandom, now: int) -> SimulatedHost:
        restarted = self.simulation.slots[name].incarnation > 1
        return SimulatedHost(self.scene, name, now, restarted=restarted)


def play(
    seed: int, case: Case, *, end: int = DEFAULT_END, without_campaigns: bool = False
) -> tuple[CampaignRun, InvariantViolationError | None]:
    """Makes and plays a run; the violation that ended it, or None."""
    run = CampaignRun(seed, case, end=end, without_campaigns=without_campaigns)
    try:
        run.simulation.run()
    except InvariantViolationError as violation:
        return run, violation
    return run, None
