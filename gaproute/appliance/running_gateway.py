"""The interface of `Appliance` that the operators' address and the shutdown use."""

from collections.abc import Mapping, Sequence
from typing import Protocol

from gaproute.appliance.cells import CellServices
from gaproute.appliance.peer_services import PeerServices
from gaproute.config.configuration import Configuration
from gaproute.connections import AcceptedConnections
from gaproute.core.core import Core
from gaproute.decisions.routing import Gateway
from gaproute.fronts.kserve.rest import RestFront
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve.client import KServeClient
from gaproute.loop import Loop
from gaproute.telemetry.record import GatewayRecord


class Front(Protocol):
    """A server at one address."""

    @property
    def address(self) -> str:
        """The bound address as text, with the port that the kernel chose."""

    def close(self) -> None:
        """Closes the listening socket and the connections."""


class RunningGateway(Protocol):
    """The parts and the state of a gateway process. `started_at`: ns of the loop's clock."""

    configuration: Configuration
    loop: Loop
    started_at: int
    stopping: bool
    record: GatewayRecord
    core: Core
    hosts: KServeClient
    connections: AcceptedConnections
    peers: PeerServices
    cells: CellServices | None

    @property
    def fronts(self) -> Sequence[Front]:
        """All open fronts, including `client_fronts`."""

    @property
    def client_fronts(self) -> Sequence[RestFront]:
        """The fronts for requests from clients or forwarded by other gateways."""

    @property
    def decisions(self) -> Sequence[Gateway]:
        """The decisions for the whole fleet, or those for each known cell."""

    @property
    def endpoints(self) -> Mapping[str, Endpoint]:
        """The known hosts, by name."""

    def ready(self) -> bool:
        """Whether this process serves and has an active host or a gateway to forward to."""
