"""The appliance: one gateway process, which makes, starts and stops its parts."""

import secrets
import signal
import socket
from collections.abc import Mapping, Sequence

from gaproute.appliance.host_list import HostList
from gaproute.appliance.listening_sockets import CLIENT_PROTOCOL, PEER_PROTOCOL
from gaproute.appliance.operator import OperatorFront
from gaproute.appliance.parent_pipes import report_ready, watch_parent
from gaproute.appliance.peer_services import PeerServices
from gaproute.appliance.request_path import make_request_path
from gaproute.appliance.running_gateway import Front
from gaproute.appliance.seed_offsets import SeedOffset
from gaproute.appliance.shutdown import GracefulShutdown
from gaproute.config.configuration import Configuration
from gaproute.connections import AcceptedConnections
from gaproute.connections.descriptors import descriptor_limit
from gaproute.decisions.admission.admission import Admission
from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing import Gateway
from gaproute.fronts.kserve import KServeFront
from gaproute.fronts.kserve.rest import RestFront
from gaproute.hosts.endpoints import Endpoint
from gaproute.interface import ListedHostState
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.telemetry.logs import logger
from gaproute.telemetry.record import GatewayRecord, Log

SEED_BITS = 64


class Appliance:
    """A gateway process, run by `gaproute serve`.

    `fronts` are all open fronts; `client_fronts` are those for requests, from clients or forwarded by other
    gateways. `gateway` makes the decisions, and has the observations that other gateways exchange; in a fleet
    of cells it knows no host, and each known cell has decisions of its own.
    """

    def __init__(
        self,
        configuration: Configuration,
        loop: Loop | None = None,
        seed: int | None = None,
        log: Log | None = None,
        inherited_sockets: Mapping[str, socket.socket] | None = None,
    ) -> None:
        """`inherited_sockets`: listening sockets that a parent has opened, by the address as configured."""
        self.configuration, self.inherited_sockets = configuration, dict(inherited_sockets or {})
        self.loop = loop or Loop()
        self.started_at: int = self.loop.now()  # ns of the loop's clock
        self.seed = secrets.randbits(SEED_BITS) if seed is None else seed
        self.log: Log = log or logger(level=configuration.log_level).bind(gateway=configuration.name)
        self.loop.on_error = self._log_error
        self.record = GatewayRecord(self.log, [line.name for line in configuration.request_classes])
        self.host_list = HostList(self.loop, configuration, self.record)
        self.stopping = False
        # Whether other processes share the clients' addresses and serve them after this process stops
        self.address_shared = False
        self.fronts: list[Front] = []
        self.client_fronts: list[RestFront] = []
        path = make_request_path(self.loop, configuration, self.record, self.seed, self.apply_endpoints)
        self.gateway, self.hosts, self.core, self.cells = path.gateway, path.hosts, path.core, path.cells
        self.connections = self._make_connections()
        self.peers = self._make_peer_services()

    def _make_connections(self) -> AcceptedConnections:
        connections = AcceptedConnections.for_loop(self.loop)
        clients = self.configuration.client_limits
        random_source = RandomGenerator(self.seed + SeedOffset.ADMISSION)
        connections.admission = Admission(
            clients.connections, clients.per_address, descriptor_limit(), random_source
        )
        return connections

    def _make_peer_services(self) -> PeerServices:
        return PeerServices(self.loop, self.configuration, self.gateway, self.record, self.seed, self.cells)

    @property
    def decisions(self) -> Sequence[Gateway]:
        """The decisions for the whole fleet, or those for each known cell."""
        return [self.gateway] if self.cells is None else self.cells.gateways()

    # Start

    def start(self) -> None:
        """Opens all fronts and begins to serve.

        Errors: OSError if an address cannot be listened on. No front is open then; the call may be repeated.
        """
        self._listen()
        if self.peers.gossip is not None:
            self.core.on_arrival = self.peers.gossip.record_arrival
        if self.cells is not None:
            self.cells.start()
        else:
            self.host_list.follow(self.update_hosts)
        self.peers.start()
        self.log.info(
            "started",
            listen_addresses=[front.address for front in self.fronts],
            hosts=len(self.endpoints),
            descriptor_limit=descriptor_limit(),
            max_client_connections=self.connections.admission.max_connections,
        )

    def _listen(self) -> None:
        for kind, address in self.configuration.listen_addresses:
            try:
                self._open_front(kind, address)
            except OSError as error:
                self._close_fronts()
                raise OSError(error.errno, f"{address}: {error.strerror}") from error

    def _open_front(self, kind: str, address: str) -> None:
        if kind == CLIENT_PROTOCOL:
            front = self._open_client_front(address)
            self.fronts.append(front)
            self.client_fronts.append(front)
        elif kind == PEER_PROTOCOL:
            self.fronts.append(self.peers.listen(address))
            if self.cells is not None:
                self.client_fronts.append(self.cells.listen(self.peers, self.ready))
        else:
            self.fronts.append(OperatorFront(self.loop, parse_address(address), self))

    def _open_client_front(self, address: str) -> KServeFront:
        inherited_socket = self.inherited_sockets.get(address)
        return KServeFront(
            self.loop,
            parse_address(address),
            self.core,
            self.configuration,
            self.address_ready,
            inherited_socket,
        )

    def _close_fronts(self) -> None:
        """Closes the fronts that a failed start has opened."""
        for front in self.fronts:
            front.close()
        self.peers.close()
        self.fronts, self.client_fronts = [], []
        self.peers = self._make_peer_services()

    # The host list

    @property
    def endpoints(self) -> dict[str, Endpoint]:
        """The known hosts, by name."""
        return self.host_list.endpoints

    def update_hosts(self, endpoints: Sequence[Endpoint]) -> None:
        """Applies a complete host list, first to the connections, as decisions may use new hosts at once."""
        self.apply_endpoints(endpoints)
        self.core.update_hosts([endpoint.listed for endpoint in endpoints], complete=True)
        self.peers.update_hosts(self.host_list.states_and_start_times())

    def apply_endpoints(self, endpoints: Sequence[Endpoint]) -> None:
        """Passes all hosts known now to the connections and to the host list."""
        self.hosts.update(endpoints, complete=True)
        self.host_list.replace_endpoints(endpoints)

    def reload_host_lists(self) -> None:
        """Reads the files with lists of hosts now."""
        if self.cells is not None:
            self.cells.reload()
        else:
            self.host_list.reload()

    # Readiness

    def ready(self) -> bool:
        """Whether this process serves and has an active host or a gateway to forward to."""
        return not self.stopping and self._can_serve()

    def address_ready(self) -> bool:
        """Whether the clients' addresses are served, by this process or by others that share them."""
        return (self.address_shared or not self.stopping) and self._can_serve()

    def _can_serve(self) -> bool:
        active = any(endpoint.listed.state is ListedHostState.ACTIVE for endpoint in self.endpoints.values())
        return active or self.cells is not None and self.cells.can_forward()

    # Signals and the parent

    def handle_signals(self) -> None:
        """Sets signal handlers: SIGTERM and SIGINT stop the process, SIGHUP reads the host lists again.

        It is called before `start`, so that no signal is missed. Errors: OSError.
        """
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reload_host_lists)

    def attach_to_parent(self, liveness_pipe: int, ready_pipe: int) -> None:
        """Reports to the parent that this process serves, and stops it when the liveness pipe is closed.

        A closed pipe means that all processes at the clients' addresses stop; an earlier stop is of this
        process alone.
        """
        self.address_shared = True
        watch_parent(self.loop, liveness_pipe, self._stop_with_all)
        report_ready(ready_pipe)

    def _stop_with_all(self) -> None:
        self.address_shared = False
        for front in self.client_fronts:
            front.end_queue_sharing()
        self.stop()

    # Stop

    def stop(self) -> None:
        """Begins the graceful shutdown, after which the loop ends."""
        if self.stopping:
            return
        self.stopping = True
        self.log.info("stopping", requests_in_flight=len(self.core.in_flight))
        GracefulShutdown(self).begin()

    def run(self) -> None:
        """Runs the loop until `stop` has ended it, then closes all parts."""
        self.loop.run()
        self.close()
        uptime = max(1, self.loop.now() - self.started_at)
        self.log.info(
            "stopped",
            requests_in_flight=len(self.core.in_flight),
            observation_cpu_share=round(self.peers.cpu_spent() / uptime, 6),
        )

    def close(self) -> None:
        """Closes all sockets and files."""
        for front in self.fronts:
            front.close()
        for part in (self.host_list, self.cells, self.peers):
            if part is not None:
                part.close()
        self.hosts.close()

    def _log_error(self, error: BaseException) -> None:
        self.log.error("unhandled_exception", error=repr(error), exc_info=error)
