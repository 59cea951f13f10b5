"""What the operators' address and the shutdown need of a gateway process: see `Appliance`."""

from collections.abc import Mapping, Sequence
from typing import Any, Protocol

from gaproute.appliance.cells import CellServices
from gaproute.appliance.peer_services import PeerServices
from gaproute.config.configuration import Configuration
from gaproute.connections import AcceptedConnections
from gaproute.core.core import Core
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve.client import KServeClient
from gaproute.loop import Loop
from gaproute.telemetry.record import Record


class RunningGateway(Protocol):
    """The parts of a gateway process and its state.

    `fronts`: all that listens; `client_fronts`: those of them that take requests, from clients or forwarded.
    `started`: ns of the loop's clock.
    """

    configuration: Configuration
    loop: Loop
    started: int
    stopping: bool
    record: Record
    core: Core
    hosts: KServeClient
    connections: AcceptedConnections
    peers: PeerServices
    cells: CellServices | None

    @property
    def fronts(self) -> Sequence[Any]:
        """All that listens."""

    @property
    def client_fronts(self) -> Sequence[Any]:
        """Those of the fronts that take requests."""

    @property
    def rows(self) -> Mapping[str, Endpoint]:
        """The hosts that are known, by name."""

    def ready(self) -> bool:
        """Whether this process serves and has a host, or a gateway to forward to."""
