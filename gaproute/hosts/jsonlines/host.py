"""One listed host, and the connections to it."""

from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.jsonlines.connection import Connection
from gaproute.hosts.jsonlines.connection_owner import ConnectionPoolProtocol
from gaproute.loop.addresses import parse_address


class ConnectionSet(dict[Connection, None]):
    """An ordered set, so that the choice among connections does not depend on memory addresses."""

    def add(self, connection: Connection) -> None:
        """Adds a connection as the newest."""
        self[connection] = None

    def discard(self, connection: Connection) -> None:
        """Removes a connection; no error if it is not in the set."""
        self.pop(connection, None)


class Host:
    """A host, from its first entry in the endpoint list until it has left the list and has no connection."""

    __slots__ = (
        "pool",
        "name",
        "connections",
        "active",
        "listed",
        "gone_at_last_sweep",
        "address_text",
        "address",
        "started_at",
        "used",
    )

    def __init__(self, pool: ConnectionPoolProtocol, endpoint: Endpoint) -> None:
        self.pool, self.name = pool, endpoint.listed.host
        self.connections = ConnectionSet()
        self.active = self.listed = True
        self.gone_at_last_sweep = False
        self.used = False  # whether any request was sent to it
        self.set_endpoint(endpoint)

    def set_endpoint(self, endpoint: Endpoint) -> None:
        """Sets the host's address and last start time. Errors: ValueError for a malformed address."""
        self.address_text, self.address = endpoint.address, parse_address(endpoint.address)
        self.started_at = endpoint.listed.started

    def matches_endpoint(self, endpoint: Endpoint) -> bool:
        """Whether the host still has that address and has not restarted."""
        return (self.address_text, self.started_at) == (endpoint.address, endpoint.listed.started)

    def drain(self) -> None:
        """Fails requests that have not started, and closes each connection once it has none in flight."""
        for connection in list(self.connections):
            connection.drain()

    def is_gone(self) -> bool:
        """Whether the host has left the endpoint list and has no connection."""
        return not self.listed and not self.connections
