"""Draws the fault schedule of a Raft group's run from its seed."""

from collections.abc import Iterator

from gaproute.simulation.fault_schedule import FaultKind, FaultSchedule, ScheduledFault
from gaproute.simulation.raft_group.setup import ALLOWED_DRIFT, DEFAULT_SETUP, RaftGroupSetup, RunKind
from gaproute.simulation.random_faults import FaultOptions, draw_schedule
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.units import MILLI, SECOND

FAULT_TIME = 16 * SECOND  # a dozen elections
SETTLE_TIME = 12 * SECOND  # a disk that failed is tried again within 5 s
TIGHT_KINDS = (
    FaultKind.CRASH,
    FaultKind.CUT_ONE_WAY,
    FaultKind.CUT_BOTH_WAYS,
    FaultKind.PARTITION,
    FaultKind.PAUSE,
    FaultKind.DELAY_MESSAGES,
)


def draw_group_schedule(seed: int, setup: RaftGroupSetup = DEFAULT_SETUP) -> FaultSchedule:
    """The schedule of this seed for a group like this."""
    random = SeededRandom(seed, "disks")
    match setup.kind:
        case RunKind.FORGOTTEN:
            faults = tuple(_forgotten_faults(random, setup))
            return FaultSchedule(seed, 2 * FAULT_TIME + 4 * SECOND, faults)
        case RunKind.TIGHT:
            options = FaultOptions(
                kinds=TIGHT_KINDS,
                targets=range(setup.nodes + 1, setup.size),
                settle=SETTLE_TIME,
                target_leader=True,
            )
        case RunKind.COMMON:
            options = FaultOptions(
                disk_loss_targets=_disk_loss_targets(random, setup.nodes),
                max_drift=ALLOWED_DRIFT,
                settle=SETTLE_TIME,
                targets=[*range(setup.size), *range(setup.nodes)],  # nodes are hit more often
                target_leader=True,
            )
    return draw_schedule(seed, setup.size, FAULT_TIME, options)


def _disk_loss_targets(random: SeededRandom, nodes: int) -> list[int]:
    """Nobody in half of the runs, else a minority of the nodes or all but one."""
    losers = (0, 0, (nodes - 1) // 2, nodes - 1)[random.below(4)]
    first = random.below(nodes)
    return sorted((first + step) % nodes for step in range(losers))


def _forgotten_faults(random: SeededRandom, setup: RaftGroupSetup) -> Iterator[ScheduledFault]:
    """Once the first leases are held, a client is cut off and all nodes lose their disks."""
    at = 10 * SECOND + random.below(2 * SECOND)
    client = setup.nodes + 1 + random.below(setup.clients)
    yield ScheduledFault(FaultKind.PARTITION, at, FAULT_TIME, (client,))
    for node in range(setup.nodes + 1):
        lost_at = at + random.below(SECOND // 10)
        until = lost_at + 20 * MILLI + random.below(SECOND // 10)
        yield ScheduledFault(FaultKind.LOSE_DISK, lost_at, until, (node,))
