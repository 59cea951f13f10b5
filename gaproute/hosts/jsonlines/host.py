"""One listed host, and the connections to it."""

from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.jsonlines.connection import Connection
from gaproute.hosts.jsonlines.connection_owner import HostConnectionOwner
from gaproute.loop.addresses import parse_address


class ConnectionSet(dict[Connection, None]):
    """An ordered set, so that the choice among connections does not depend on addresses in memory."""

    def add(self, connection: Connection) -> None:
        """Add a connection as the newest."""
        self[connection] = None

    def discard(self, connection: Connection) -> None:
        """Remove a connection; no error where it is not in the set."""
        self.pop(connection, None)


class Host:
    """A host, from when it is first listed until it has left the list and has no connection."""

    __slots__ = (
        "pool",
        "name",
        "connections",
        "active",
        "listed",
        "gone_at_last_sweep",
        "address_text",
        "address",
        "started",
    )

    def __init__(self, pool: HostConnectionOwner, endpoint: Endpoint) -> None:
        self.pool, self.name = pool, endpoint.listed.host
        self.connections = ConnectionSet()
        self.active = self.listed = True
        self.gone_at_last_sweep = False
        self.set_endpoint(endpoint)

    def set_endpoint(self, endpoint: Endpoint) -> None:
        """Take over the host's address and the time of its last start. Errors: ValueError."""
        self.address_text, self.address = endpoint.address, parse_address(endpoint.address)
        self.started = endpoint.listed.started

    def is_at(self, endpoint: Endpoint) -> bool:
        """Whether the host still has that address and has not restarted."""
        return (self.address_text, self.started) == (endpoint.address, endpoint.listed.started)

    def drain(self) -> None:
        """Fail requests that have not begun, and close each connection once it has none in flight."""
        for connection in list(self.connections):
            connection.drain()

    def is_gone(self) -> bool:
        """Whether the host has left the list and has no connection."""
        return not self.listed and not self.connections
