"""One run of a Raft group and the clients of its leases."""

from collections.abc import Iterator, Mapping
from contextlib import ExitStack, contextmanager
from types import ModuleType

from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.raft import RaftNode, committed, log
from gaproute.simulation.disk import SimulatedDisk
from gaproute.simulation.fault_schedule import MEMORY_LOSS, FaultSchedule
from gaproute.simulation.invariant_checks import InvariantChecks
from gaproute.simulation.options import SimulationOptions
from gaproute.simulation.process_slot import ProcessFactory, ProcessSlot
from gaproute.simulation.raft_group.configured_members import ConfiguredMembers
from gaproute.simulation.raft_group.group_checks import GroupInvariantsCheck, RecoveryCheck
from gaproute.simulation.raft_group.lease_checks import LeaseValidityCheck
from gaproute.simulation.raft_group.lease_load import POOLS, LeaseLoad
from gaproute.simulation.raft_group.message_checks import SentMessageChecks
from gaproute.simulation.raft_group.node_checks import NodeStateChecks
from gaproute.simulation.raft_group.setup import DEFAULT_SETUP, RaftGroupSetup, RunKind
from gaproute.simulation.random_load import RandomLoad
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation
from gaproute.simulation.violation import InvariantViolationError
from gaproute.units import MILLI

REQUEST_INTERVAL = 20 * MILLI
EXPENSIVE_CHECK_PERIOD = 20  # steps
# In a third of the runs elections collide: timeouts differ by a 64th of what they should.
NARROW_PARTS = (0, 0, 64)
# Snapshots and logs that are caught up with in parts are to happen in each run (the program: 1,024 and 64).
COMPACT_AFTER = 12  # entries
MAX_ENTRIES = 3  # in one message


class RaftGroupRun:
    """A group of nodes k1, k2, ... and clients h1, h2, ...; `simulation.run()` plays it.

    Where all nodes lose their disks they begin anew without what was agreed on; then only the checks apply
    that need no memory.
    """

    def __init__(self, schedule: FaultSchedule, setup: RaftGroupSetup = DEFAULT_SETUP) -> None:
        self.setup = setup
        random = SeededRandom(schedule.seed, "play")
        self.nodes = [f"k{number}" for number in range(1, setup.nodes + 2)]  # the last one is the spare
        self.clients = [f"h{number}" for number in range(1, setup.clients + 1)]
        self.members = ConfiguredMembers(self.nodes[:-1], self.nodes[-1])
        requests = LeaseLoad(setup, self.clients).requests()
        if self._members_change(schedule, random):
            requests.append((1, self.members.change))
        factories: dict[str, ProcessFactory] = dict.fromkeys(self.nodes, self._make_node)
        factories |= dict.fromkeys(self.clients, self._make_client)
        self.simulation = Simulation(
            schedule,
            factories,
            checks=self._checks(),
            workload=RandomLoad(requests, REQUEST_INTERVAL, SeededRandom(schedule.seed, "load")),
            options=SimulationOptions(
                drifts=self._drifts(random),
                leader=self.leader,
                narrow_part=random.choice(NARROW_PARTS),
            ),
        )

    def leader(self, slots: Mapping[str, ProcessSlot]) -> ProcessSlot | None:
        """The slot of the node that leads in the latest term, or None."""
        leading: dict[int, ProcessSlot] = {}
        for name in self.nodes:
            node = slots[name].process
            if isinstance(node, RaftNode) and node.is_leader:
                leading.setdefault(node.term, slots[name])
        return leading[max(leading)] if leading else None

    def _members_change(self, schedule: FaultSchedule, random: SeededRandom) -> bool:
        """In a third of the common runs; never where half of the nodes or more lose their memory.

        The last node with a memory must not leave the configuration: the others would begin anew.
        """
        if self.setup.kind != RunKind.COMMON or random.below(3):
            return False
        lost = {fault.targets[0] for fault in schedule.faults if fault.kind in MEMORY_LOSS}
        return 2 * len(lost) < self.setup.nodes

    def _drifts(self, random: SeededRandom) -> Mapping[str, int]:
        """Of each clock in millionths; tight: such that the group's expiry is as early as allowed."""
        most = self.setup.max_drift
        drifts = {name: random.choice((-most, 0, most)) for name in (*self.nodes, *self.clients)}
        if self.setup.kind == RunKind.TIGHT:
            return dict.fromkeys(self.nodes, most) | dict.fromkeys(self.clients, -most)
        return drifts

    def _checks(self) -> InvariantChecks:
        sent = SentMessageChecks(self.nodes)
        leases = LeaseValidityCheck(self.clients, POOLS, self.leader, sent.leaders)
        if self.setup.kind == RunKind.FORGOTTEN:
            return InvariantChecks(after_each_step=[leases])
        return InvariantChecks(
            after_each_step=[leases, NodeStateChecks(sent)],
            before_each_send=[sent],
            periodic=[GroupInvariantsCheck()],
            final=[RecoveryCheck(self.setup.nodes)],
            period=EXPENSIVE_CHECK_PERIOD,
        )

    def _make_node(self, name: str, disk: SimulatedDisk, random: SeededRandom, now: int) -> RaftNode:
        members = self.members.read_by(name)
        base = 1 + self.simulation.now // MILLI
        table = LeaseTable(initial_wait=True, max_duration=self.setup.lease_duration)
        return RaftNode(name, members, disk, random, now, table, fencing_base=base)

    def _make_client(self, name: str, disk: SimulatedDisk, random: SeededRandom, now: int) -> LeaseClient:
        return LeaseClient(name, self.members.read_by(name), random, now)


def play(
    schedule: FaultSchedule, setup: RaftGroupSetup = DEFAULT_SETUP
) -> tuple[Simulation, InvariantViolationError | None]:
    """Makes and plays a run; the violation that ended it, or None."""
    simulation = RaftGroupRun(schedule, setup).simulation
    with ExitStack() as limits:
        limits.enter_context(_replaced(committed, "COMPACTION_THRESHOLD_ENTRIES", COMPACT_AFTER))
        limits.enter_context(_replaced(log, "MAX_ENTRIES_PER_MESSAGE", MAX_ENTRIES))
        try:
            simulation.run()
        except InvariantViolationError as violation:
            return simulation, violation
    return simulation, None


@contextmanager
def _replaced(module: ModuleType, name: str, value: int) -> Iterator[None]:
    """A constant of a module has another value inside this block."""
    before = getattr(module, name)
    setattr(module, name, value)
    try:
        yield
    finally:
        setattr(module, name, before)
