"""One gateway process of the platform: creates, starts, stops and closes its components."""

import signal
import traceback

from gaproute.connections import AcceptedConnections
from gaproute.connections.descriptors import descriptor_limit
from gaproute.core.core import Core
from gaproute.decisions.admission.admission import (
    MIN_EVICTION_IDLE_TIME_WITH_RETRIES,
    Admission,
    response_margin,
)
from gaproute.decisions.admission.memory_shares import RETIRED_ID_BYTES, split_memory
from gaproute.decisions.admission.request_ids import RequestIds
from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.connections.descriptor_shares import PROCESS_DESCRIPTORS, split_descriptors
from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.decisions.routing import Gateway
from gaproute.fronts.jsonrpc.front import JsonRpcFront
from gaproute.fronts.jsonrpc.request_admission import FrontLimits
from gaproute.hosts.jsonlines.client import JsonLinesClient
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.platform.configuration import Configuration, LoadedConfiguration
from gaproute.platform.host_list import HostList
from gaproute.platform.log import Log
from gaproute.platform.peers import PeerReportSocket
from gaproute.platform.reload import ConfigurationReloader
from gaproute.platform.shutdown import GracefulShutdown
from gaproute.platform.status import StatusLog
from gaproute.telemetry.record import DEFAULT_TRACE_ONE_IN, GatewayRecord
from gaproute.units import MILLI

SEED_BASE = 16
# Added to the seed, so that no two components draw the same numbers.
CHANGE_LOG_SEED_OFFSET, ADMISSION_SEED_OFFSET, REQUEST_IDS_SEED_OFFSET = 1, 3, 5
MAX_TRACEBACK_CHARS = 2000  # length of the logged end of an error's traceback
# Asked of clients whose request finds no memory or place: as long as a request usually takes.
REFUSAL_PAUSE = 200 * MILLI
MAX_REASON_CHARS = 200  # logged length of the reason for rejecting a client's message


class GatewayProcess:
    """A gateway and its components. Call `start`, then `run`, which returns after `stop` was called."""

    def __init__(
        self,
        configuration_path: str,
        loaded: LoadedConfiguration,
        *,
        name: str | None = None,
        listen: str | None = None,
        loop: Loop | None = None,
        log: Log | None = None,
        trace_one_in: int = DEFAULT_TRACE_ONE_IN,
    ) -> None:
        """`configuration_path`: read again on reload; `name` and `listen` override those of the file."""
        self.configuration, self.routing_settings, self.deployment = loaded
        self.name = name or self.configuration.name
        self.listen = listen or self.configuration.listen
        self.loop = loop or Loop()
        self.log = log or Log()
        self.loop.on_error = self._log_error
        self.seed = int(self.configuration.seed, SEED_BASE)
        limits = self.configuration.limits
        self.memory = split_memory(limits.memory_mb, min(limits.sockets, descriptor_limit()))
        self.descriptor_limit = self.memory.descriptors
        self.record = GatewayRecord(self.log, self.deployment.class_names, trace_one_in)
        self._divide_descriptors()
        self._make_core()
        self.host_list = HostList(
            self.loop,
            self.log,
            self.deployment.zones,
            self.host_client,
            self.core,
            self.memory.host_list,
        )
        self.peer_reports = PeerReportSocket(
            self.loop, self.log, lambda: self.configuration, self._receive_report
        )
        self.core.send_to_peers = self.peer_reports.send
        self.reloader = ConfigurationReloader(
            self.loop, self.log, configuration_path, self._apply_configuration
        )
        request_classes = self.routing_settings.request_classes
        self.deadlines = tuple(request_class.hard_limit for request_class in request_classes)
        self.shutdown = GracefulShutdown(self.loop, self.log, self.core, self.deadlines)
        self.front: JsonRpcFront | None = None  # None until `start`
        self.status: StatusLog | None = None  # None until `start`

    def _divide_descriptors(self) -> None:
        """Divides the descriptors between client connections and host connections."""
        shares = split_descriptors(self.descriptor_limit)
        self.host_client = JsonLinesClient(self.loop, ConnectionReusePolicy(), self.deployment, shares.hosts)
        self.host_client.line_memory.max_bytes = self.memory.host_lines
        self.host_client.max_retired_ids = self.memory.retired_ids // RETIRED_ID_BYTES
        self.host_client.on_host_removed = self.record.forget_host
        AcceptedConnections.for_loop(self.loop).admission = Admission(
            shares.clients,
            shares.clients + 1,
            self.descriptor_limit,
            RandomGenerator(self.seed + ADMISSION_SEED_OFFSET),
            min_eviction_idle_time=MIN_EVICTION_IDLE_TIME_WITH_RETRIES,
            queue_when_full=True,
            reserved_descriptors=shares.hosts + PROCESS_DESCRIPTORS,
        )

    def _make_core(self) -> None:
        self.gateway = Gateway(
            self.seed, self.routing_settings, self.loop.now(), max_function_bytes=self.memory.functions
        )
        self.gateway.load_order_limiter.limit_memory(self.memory.load_orders)
        travel_time = self.gateway.load_order_limiter.max_transit_time
        if travel_time:
            self.host_client.order_timeout = min(self.host_client.order_timeout, travel_time)
        self.core = Core(
            self.loop, self.gateway, self.routing_settings, self.host_client, self.record, self.name
        )
        self.core.request_memory.max_bytes = self.memory.requests

    # Start

    def start(self) -> None:
        """Listens for clients, follows the host list and starts the status log.

        Errors: OSError if the gateway cannot listen on its address; `start` may then be called again.
        """
        front = self.front = self._create_front()
        if (
            self.routing_settings.peers_allowed
            and self.configuration.peer_listen
            and self.configuration.peers_all
        ):
            self.peer_reports.open()
        chance = RandomGenerator(self.seed + CHANGE_LOG_SEED_OFFSET)
        self.host_list.start(self.configuration.known, self.configuration.changelog, chance)
        self._log_start(front)
        self.status = StatusLog(
            self.loop,
            self.log,
            core=self.core,
            gateway=self.gateway,
            front=front,
            host_client=self.host_client,
            host_list=self.host_list,
        )
        self.status.write()

    def _create_front(self) -> JsonRpcFront:
        front = JsonRpcFront(
            self.loop,
            parse_address(self.listen),
            self.core,
            self.deployment.class_names,
            self.routing_settings.request_classes,
            self.is_ready,
            response_margin(),
            self._front_limits(),
        )
        front.on_protocol_error = self._log_rejected_message
        return front

    def _front_limits(self) -> FrontLimits:
        random, hold_time = RandomGenerator(self.seed + REQUEST_IDS_SEED_OFFSET), max(self.deadlines)
        return FrontLimits(
            self.memory.client_buffers,
            RequestIds(self.memory.departed_ids, hold_time, random),
            RequestIds(self.memory.answered_ids, hold_time, random),
            min(REFUSAL_PAUSE, self.routing_settings.retry_after_limit),
        )

    def is_ready(self) -> bool:
        """Whether clients should send requests: a host is active and the process is not stopping."""
        return not self.shutdown.has_begun and any(host.active for host in self.host_client.hosts.values())

    def _receive_report(self, payload: bytes) -> None:
        self.core.receive_broadcast(payload)

    # Signals

    def handle_signals(self) -> None:
        """Sets the signal handlers: SIGTERM and SIGINT stop the process, SIGHUP reloads the configuration."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reload)

    def reload(self) -> None:
        """Reads the configuration file again; only a changed change log address takes effect."""
        self.reloader.reload()

    def _apply_configuration(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.host_list.set_address(configuration.changelog)

    def stop(self) -> None:
        """Begins the graceful shutdown; a second call does nothing."""
        if self.front is not None:
            self.shutdown.begin(self.front)

    # Run

    def run(self) -> None:
        """Runs the loop until the process stops, then closes all components."""
        self.loop.run()
        if self.status is not None:
            self.loop.call_guarded(self.status.write)
        connections = self.front.connection_count if self.front is not None else 0
        self.log.info("stopped", requests_in_flight=len(self.core.in_flight), client_connections=connections)
        self.reloader.cancel()
        self.close()

    def close(self) -> None:
        """Closes all components, even if closing one of them raises an error."""
        for component in (self.front, self.host_list, self.host_client, self.peer_reports):
            if component is not None:
                self.loop.call_guarded(component.close)

    # Log

    def _log_start(self, front: JsonRpcFront) -> None:
        self.log.info(
            "started",
            name=self.name,
            listen_address=front.address,
            hosts=len(self.host_client.hosts),
            descriptor_limit=self.descriptor_limit,
            max_client_connections=AcceptedConnections.for_loop(self.loop).admission.max_connections,
            max_host_connections=self.host_client.max_connections,
            limits=self.configuration.limits,
            memory_shares=self.memory._asdict(),
            report_names=self.deployment.report_names,
            prices=self.configuration.settings.get("prices"),
            gateways=self.routing_settings.gateways,
        )

    def _log_error(self, error: BaseException) -> None:
        trace = "".join(traceback.format_exception(error))
        self.log.error("unhandled_exception", error=repr(error), traceback=trace[-MAX_TRACEBACK_CHARS:])

    def _log_rejected_message(self, code: int, text: str) -> None:
        self.log.info("client_message_rejected", code=code, error=text[:MAX_REASON_CHARS])
