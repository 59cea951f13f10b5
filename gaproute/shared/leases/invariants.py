"""What must always hold of leases. Every check returns the breaches as text, each with its name first."""

from collections.abc import Iterable

from gaproute.shared.leases.client import LeaseClient
from gaproute.shared.leases.commands import MAX_LEASES_PER_CLIENT
from gaproute.shared.leases.requests import LeaseRequest
from gaproute.shared.leases.table import MAX_LEASES, MAX_POOLS, SINGLE, LeaseTable

MAX_QUEUED = 3 * MAX_LEASES_PER_CLIENT  # commands: an acquisition, a renewal, a release of each lease


def check_table(table: LeaseTable) -> list[str]:
    """Of one member's table; expensive, as it walks all of it."""
    held: dict[str, int] = {}
    breaches: list[str] = []
    for token, lease in table.leases.items():
        held[lease.resource] = held.get(lease.resource, 0) + lease.amount
        if token > table.last_token or token != lease.fencing_token:
            breaches.append(f"fencing number only grows: {token} stands above {table.last_token}")
    if held != table.amounts_held:
        breaches.append("amounts held are those of the leases")
    breaches += _overspent(table, held, "pool never overspent")
    if len(table.leases) > MAX_LEASES or len(table.pools) > MAX_POOLS:
        breaches.append("maps are bounded: leases")
    return breaches


def check_client(client: LeaseClient) -> list[str]:
    """Of one client alone; cheap."""
    breaches: list[str] = []
    queued = max(len(client.queue), len(client.urgent))
    if len(client.requests) > MAX_LEASES_PER_CLIENT or queued > MAX_QUEUED:
        breaches.append(f"maps are bounded: {client.name}")
    if not all(request.open for request in client.requests):
        breaches.append(f"requests at work are asked or held: {client.name}")
    return breaches


def check_clients(table: LeaseTable, clients: Iterable[tuple[LeaseClient, int]]) -> list[str]:
    """Of all clients against the table that applied most. `clients`: each with its own clock's time."""
    spent: dict[str, int] = {}
    holders: dict[int, str] = {}  # by fencing token
    breaches: list[str] = []
    for client, now in clients:
        breaches += check_client(client)
        for request in client.requests:
            if not request.valid_at(now) or request.fencing_token > table.last_token:
                continue  # what this member has not applied yet it cannot judge
            spent[request.resource] = spent.get(request.resource, 0) + request.amount
            breaches += _check_valid(table, client, request, holders)
    return breaches + _overspent(table, spent, "one holder, no pool overspent")


def _check_valid(
    table: LeaseTable, client: LeaseClient, request: LeaseRequest, holders: dict[int, str]
) -> list[str]:
    """Of a lease that its client takes for valid; `holders`: those of the clients before."""
    token, breaches = request.fencing_token, []
    if token in holders:
        breaches.append(f"one holder: {client.name} and {holders[token]} by lease {token}")
    holders[token] = client.name
    if token not in table.leases:
        breaches.append(f"a lease stands while its holder may: {token} of {client.name} is gone")
    return breaches


def _overspent(table: LeaseTable, amounts: dict[str, int], name: str) -> list[str]:
    breaches: list[str] = []
    for resource, amount in amounts.items():
        pool = table.pools.get(resource, SINGLE)
        if amount > max(pool):
            breaches.append(f"{name}: {amount} of {resource}, which has {pool.size}")
    return breaches
