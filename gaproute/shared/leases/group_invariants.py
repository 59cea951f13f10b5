"""The invariants of a Raft group whose state machine is `LeaseTable`, and of its clients."""

from collections.abc import Iterable, Sequence

from gaproute.shared.leases.client import LeaseClient
from gaproute.shared.leases.invariants import check_clients, check_table
from gaproute.shared.leases.table import LeaseTable
from gaproute.shared.raft import RaftNode
from gaproute.shared.raft.invariants import CheckHistory, check_nodes


class GroupHistory(CheckHistory):
    """What earlier checks saw. The caller passes the same object to all checks of a run."""

    def __init__(self) -> None:
        super().__init__()
        self.granted_leases: dict[int, tuple[str, str]] = {}  # by fencing token: (resource, holder)


def lease_table_of(node: RaftNode) -> LeaseTable:
    """The node's state machine. Errors: TypeError if it is not a `LeaseTable`."""
    if not isinstance(node.machine, LeaseTable):
        raise TypeError(
            f"the state machine of {node.name} is a {type(node.machine).__name__}, not a LeaseTable"
        )
    return node.machine


def check_group(
    nodes: Sequence[RaftNode], clients: Iterable[tuple[LeaseClient, int]], history: GroupHistory
) -> list[str]:
    """The violations at the running `nodes` and `clients`; each client comes with the time of its clock."""
    violations = check_nodes(nodes, history)
    for node in nodes:
        table = lease_table_of(node)
        violations += check_table(table) + _check_fencing_tokens(table, history)
    working = [node for node in nodes if not node.storage_failure]
    if working:
        latest = max(working, key=lambda node: node.last_applied)
        violations += check_clients(lease_table_of(latest), clients)
    return violations


def _check_fencing_tokens(table: LeaseTable, history: GroupHistory) -> list[str]:
    violations: list[str] = []
    for token, lease in table.leases.items():
        granted = lease.resource, lease.holder
        first_granted = history.granted_leases.setdefault(token, granted)
        if first_granted != granted:
            violations.append(f"a fencing token is given once: {token} to {first_granted} and {granted}")
    return violations
