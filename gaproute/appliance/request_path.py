"""What a request passes in a gateway process: the decisions, the connections to hosts, the request driver."""

import secrets
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from gaproute.appliance.cells import CellServices
from gaproute.config.configuration import Configuration
from gaproute.core.core import Core
from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.decisions.routing import Gateway
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve.client import KServeClient
from gaproute.hosts.kserve.settings import ClientSettings
from gaproute.loop import Loop
from gaproute.telemetry.record import GatewayRecord


@dataclass(frozen=True)
class RequestPath:
    """The parts that a request passes. `cells` is None where the fleet is not in cells."""

    gateway: Gateway
    hosts: KServeClient
    core: Core
    cells: CellServices | None = None


def make_request_path(
    loop: Loop,
    configuration: Configuration,
    record: GatewayRecord,
    seed: int,
    hosts_changed: Callable[[Sequence[Endpoint]], None],
) -> RequestPath:
    """Makes the parts. `hosts_changed` is called with all known hosts after a change, in a fleet of cells."""
    run_name = f"{configuration.name}-{secrets.token_hex(3)}"  # request ids of two runs differ
    limits = configuration.host_limits
    settings = ClientSettings(limits.connect, limits.probe, limits.order, limits.connections, limits.answer)
    if configuration.cells is not None:
        cells = CellServices(loop, configuration, record, seed, settings, run_name, hosts_changed)
        return RequestPath(cells.placeholder_gateway, cells.hosts, cells.core, cells)
    gateway = configuration.decisions(seed, configuration.routing_settings, loop.now())
    hosts = KServeClient(loop, ConnectionReusePolicy(), settings, configuration.name)
    core = Core(loop, gateway, configuration.routing_settings, hosts, record, run_name)
    return RequestPath(gateway, hosts, core)
