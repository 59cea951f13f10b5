"""The invariants of a whole Raft group with `LeaseTable` as its state machine, and of its clients."""

from collections.abc import Iterable, Sequence

from gaproute.shared.leases.client import LeaseClient
from gaproute.shared.leases.invariants import check_clients, check_table
from gaproute.shared.leases.table import LeaseTable
from gaproute.shared.raft import RaftNode
from gaproute.shared.raft.invariants import CheckHistory, check_nodes


class GroupHistory(CheckHistory):
    """The state of earlier checks, which the caller stores for a whole run."""

    def __init__(self) -> None:
        super().__init__()
        self.given: dict[int, tuple[str, str]] = {}  # by fencing token: (resource, holder)


def table_of(node: RaftNode) -> LeaseTable:
    """The node's state machine. Errors: TypeError if it is no `LeaseTable`."""
    if not isinstance(node.machine, LeaseTable):
        raise TypeError(f"the machine of {node.name} is a {type(node.machine).__name__}, not a LeaseTable")
    return node.machine


def check_group(
    nodes: Sequence[RaftNode], clients: Iterable[tuple[LeaseClient, int]], history: GroupHistory
) -> list[str]:
    """The violations at the nodes that are up. `clients`: each with the time of its own clock."""
    violations = check_nodes(nodes, history)
    for node in nodes:
        table = table_of(node)
        violations += check_table(table) + _check_tokens(table, history)
    working = [node for node in nodes if not node.storage_failure]
    if working:
        latest = max(working, key=lambda node: node.last_applied)
        violations += check_clients(table_of(latest), clients)
    return violations


def _check_tokens(table: LeaseTable, history: GroupHistory) -> list[str]:
    violations: list[str] = []
    for token, lease in table.leases.items():
        given = lease.resource, lease.holder
        first = history.given.setdefault(token, given)
        if first != given:
            violations.append(f"a fencing token is given once: {token} to {first} and {given}")
    return violations
