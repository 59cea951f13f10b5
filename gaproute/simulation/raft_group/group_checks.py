"""What must hold of a whole Raft group with its clients, at any time and after all faults are over."""

from collections.abc import Iterator

from gaproute.shared.leases import LeaseClient
from gaproute.shared.leases.group_invariants import GroupHistory, check_group
from gaproute.shared.raft import RaftNode
from gaproute.simulation.fault_schedule import MEMORY_LOSS
from gaproute.simulation.raft_group import check_names as names
from gaproute.simulation.simulation import Simulation


def running_nodes(simulation: Simulation) -> list[RaftNode]:
    """The Raft nodes that run, in the order of their slots."""
    return [slot.process for slot in simulation.slot_list if isinstance(slot.process, RaftNode)]


class GroupInvariantsCheck:
    """A periodic check: the invariants that the group's own packages define over all nodes and clients."""

    def __init__(self) -> None:
        self._history = GroupHistory()

    def __call__(self, simulation: Simulation) -> list[str]:
        """Looks at all nodes and clients that run."""
        clients = [
            (slot.process, slot.clock.own_time(simulation.now))
            for slot in simulation.slot_list
            if isinstance(slot.process, LeaseClient)
        ]
        return check_group(running_nodes(simulation), clients, self._history)


class RecoveryCheck:
    """A final check: some time after the last fault somebody leads, and what it logged is committed.

    Not required where so many disks were lost that nobody can know what was agreed on.
    """

    def __init__(self, members: int) -> None:
        self.members = members  # how many the group has, by its configuration

    def __call__(self, simulation: Simulation) -> Iterator[str]:
        """Looks for a leader."""
        schedule = simulation.schedule
        lost = {fault.targets[0] for fault in schedule.faults if fault.kind in MEMORY_LOSS}
        if 2 * len(lost) >= self.members or not schedule.settle:
            return
        nodes = running_nodes(simulation)
        states = [node.leader_state for node in nodes if node.leader_state is not None]
        committed = max((node.commit_index for node in nodes if node.is_leader), default=0)
        if not states:
            seen = [(node.role.value, node.term, node.storage_failure) for node in nodes]
            yield f"{names.LEADER_AFTER_FAULTS}: none, {seen}"
        elif committed < max(state.first_index_of_term for state in states):
            yield f"{names.LEADER_AFTER_FAULTS}: nothing is committed"
