"""One host by the endpoint list, and its connections."""

from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.jsonlines.connection import Connection
from gaproute.hosts.jsonlines.connection_owner import HostConnectionOwner
from gaproute.loop.addresses import address as parse_address


class ConnectionSet(dict[Connection, None]):
    """An ordered set: what is chosen among connections must not depend on addresses in memory."""

    def add(self, connection: Connection) -> None:
        """Add it as the newest."""
        self[connection] = None

    def discard(self, connection: Connection) -> None:
        """Remove it if it is there."""
        self.pop(connection, None)


class Host:
    """A host, from when it is first listed until it is gone and nothing of it is in flight."""

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
        """It answers at that address, and started at that time. Errors: ValueError."""
        self.address_text, self.address = endpoint.address, parse_address(endpoint.address)
        self.started = endpoint.listed.started

    def is_at(self, endpoint: Endpoint) -> bool:
        """Whether it is still there and has not restarted."""
        return (self.address_text, self.started) == (endpoint.address, endpoint.listed.started)

    def drain(self) -> None:
        """Fail what has not begun; the connections end once nothing is in flight on them."""
        for connection in list(self.connections):
            connection.drain()

    def is_gone(self) -> bool:
        """Whether it is listed no more and has no connection."""
        return not self.listed and not self.connections
