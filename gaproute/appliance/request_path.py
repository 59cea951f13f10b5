"""The parts of a gateway process that handle a request: decisions, connections to hosts, request driver."""

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
    """The parts that handle a request. `cells` is None if the fleet has no cells."""

    gateway: Gateway
    hosts: KServeClient
    core: Core
    cells: CellServices | None = None


def make_request_path(
    loop: Loop,
    configuration: Configuration,
    record: GatewayRecord,
    seed: int,
    on_hosts_changed: Callable[[Sequence[Endpoint]], None],
) -> RequestPath:
    """Makes the parts. In a fleet of cells, `on_hosts_changed` gets all known hosts after a change."""
    run_name = (
        f"{configuration.name}-{secrets.token_hex(3)}"  # the random part keeps request ids of two runs apart
    )
    limits = configuration.host_limits
    settings = ClientSettings(limits.connect, limits.probe, limits.order, limits.connections, limits.answer)
    if configuration.cells is not None:
        cells = CellServices(loop, configuration, record, seed, settings, run_name, on_hosts_changed)
        return RequestPath(cells.placeholder_gateway, cells.hosts, cells.core, cells)
    gateway = configuration.decisions(seed, configuration.routing_settings, loop.now())
    hosts = KServeClient(loop, ConnectionReusePolicy(), settings, configuration.name)
    core = Core(loop, gateway, configuration.routing_settings, hosts, record, run_name)
    return RequestPath(gateway, hosts, core)
