"""The names of a group's members by its configuration, which changes while the group runs."""

from collections.abc import Sequence

from gaproute.shared.leases import LeaseClient
from gaproute.shared.raft import RaftNode
from gaproute.simulation.raft_group.group_checks import running_nodes
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation

CHANGE_ODDS = 6  # one in so many requests for a change begins one


class ConfiguredMembers:
    """`names` are the members configured now; `spare` is the node that may replace one of them.

    Every process reads the configuration at its start and after that when it is notified of a change.
    """

    def __init__(self, names: Sequence[str], spare: str) -> None:
        self.names, self.spare = list(names), spare
        self._known: dict[str, tuple[str, ...]] = {}  # by process: the names that it has read

    def read_by(self, process: str) -> list[str]:
        """The names, for a process that is started."""
        self._known[process] = tuple(self.names)
        return self.names

    def change(self, simulation: Simulation, random: SeededRandom) -> None:
        """Replaces one member by the spare node, once all processes have read the change before.

        Until then, one of those that have not is notified.
        """
        outdated = [process for process, names in self._known.items() if names != tuple(self.names)]
        if outdated:
            self._update(simulation, random.choice(outdated))
        elif self._may_change(simulation) and random.below(CHANGE_ODDS) == 0:
            removed = random.choice(self.names)
            self.names = sorted([name for name in self.names if name != removed] + [self.spare])
            self.spare = removed

    def _may_change(self, simulation: Simulation) -> bool:
        """The first member must run, and the group must have committed something."""
        return simulation.slots[self.names[0]].process is not None and any(
            node.commit_index > 1 for node in running_nodes(simulation)
        )

    def _update(self, simulation: Simulation, process: str) -> None:
        def set_members(member: RaftNode | LeaseClient, now: int) -> None:
            member.set_configured_members(now, self.names)

        if simulation.ask(process, set_members):
            self._known[process] = tuple(self.names)
