"""The interface of a gateway process for the operators' address and the shutdown: see `Appliance`."""

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
    """What listens at one address."""

    @property
    def address(self) -> str:
        """The address as text, with the port that the kernel picked."""

    def close(self) -> None:
        """Closes the address and its connections."""


class RunningGateway(Protocol):
    """The parts of a gateway process and its state. `started`: ns of the loop's clock."""

    configuration: Configuration
    loop: Loop
    started: int
    stopping: bool
    record: GatewayRecord
    core: Core
    hosts: KServeClient
    connections: AcceptedConnections
    peers: PeerServices
    cells: CellServices | None

    @property
    def fronts(self) -> Sequence[Front]:
        """All that listens, the fronts for clients among it."""

    @property
    def client_fronts(self) -> Sequence[RestFront]:
        """The fronts that take requests, from clients or forwarded by other gateways."""

    @property
    def decisions(self) -> Sequence[Gateway]:
        """The decisions for the whole fleet, or for each known cell."""

    @property
    def rows(self) -> Mapping[str, Endpoint]:
        """The known hosts, by name."""

    def ready(self) -> bool:
        """Whether this process serves and has a host, or a gateway to which it can forward."""
