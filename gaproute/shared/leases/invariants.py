"""The invariants of leases. Each check returns its violations as texts that begin with the check's name."""

from collections.abc import Iterable

from gaproute.shared.leases.client import LeaseClient
from gaproute.shared.leases.commands import MAX_LEASES_PER_CLIENT
from gaproute.shared.leases.requests import LeaseRequest
from gaproute.shared.leases.table import DEFAULT_POOL, MAX_LEASES, MAX_POOLS, LeaseTable

# Each lease may have an acquisition, a renewal and a release in a queue
MAX_QUEUED_COMMANDS = 3 * MAX_LEASES_PER_CLIENT


def check_table(table: LeaseTable) -> list[str]:
    """Checks the lease table of one member; expensive, as the check reads the whole table."""
    amounts: dict[str, int] = {}  # by resource
    violations: list[str] = []
    for token, lease in table.leases.items():
        amounts[lease.resource] = amounts.get(lease.resource, 0) + lease.amount
        if token > table.last_token or token != lease.fencing_token:
            violations.append(f"fencing token only grows: {token} is above {table.last_token}")
    if amounts != table.amounts_held:
        violations.append("amounts held are those of the leases")
    violations += _check_pool_sizes(table, amounts, "pool never overspent")
    if len(table.leases) > MAX_LEASES or len(table.pools) > MAX_POOLS:
        violations.append("maps are bounded: leases")
    return violations


def check_client(client: LeaseClient) -> list[str]:
    """Checks one client without a lease table; cheap."""
    violations: list[str] = []
    queued = max(len(client.normal_queue), len(client.urgent_queue))
    if len(client.requests) > MAX_LEASES_PER_CLIENT or queued > MAX_QUEUED_COMMANDS:
        violations.append(f"maps are bounded: {client.name}")
    if not all(request.is_open for request in client.requests):
        violations.append(f"requests are open: {client.name}")
    return violations


def check_clients(table: LeaseTable, clients: Iterable[tuple[LeaseClient, int]]) -> list[str]:
    """Checks all clients against `table`, which has applied the most entries of all members' tables.

    Each client comes with the time of its clock.
    """
    amounts: dict[str, int] = {}  # by resource: the total of the leases that clients consider valid
    holders: dict[int, str] = {}  # names of the clients by fencing token
    violations: list[str] = []
    for client, now in clients:
        violations += check_client(client)
        for request in client.requests:
            if not request.is_valid_at(now) or request.fencing_token > table.last_token:
                continue  # not valid, or the entry that granted it is not applied to `table` yet
            amounts[request.resource] = amounts.get(request.resource, 0) + request.amount
            violations += _check_valid_lease(table, client, request, holders)
    return violations + _check_pool_sizes(table, amounts, "one holder, no pool overspent")


def _check_valid_lease(
    table: LeaseTable, client: LeaseClient, request: LeaseRequest, holders: dict[int, str]
) -> list[str]:
    """Checks a lease that its client considers valid, and adds the client to `holders`."""
    token = request.fencing_token
    violations: list[str] = []
    if token in holders:
        violations.append(f"one holder: {client.name} and {holders[token]} by lease {token}")
    holders[token] = client.name
    if token not in table.leases:
        violations.append(f"a lease lasts while its holder may use it: {token} of {client.name} is gone")
    return violations


def _check_pool_sizes(table: LeaseTable, amounts: dict[str, int], check_name: str) -> list[str]:
    """The violations of the check `check_name`: resources of which more than the pool size is held."""
    violations: list[str] = []
    for resource, amount in amounts.items():
        pool = table.pools.get(resource, DEFAULT_POOL)
        if amount > max(pool.size, pool.held_above_size):
            violations.append(f"{check_name}: {amount} of {resource}, which has {pool.size}")
    return violations
