"""One gateway process of the platform: makes, starts, stops and closes its parts."""

import signal
import traceback

from gaproute.connections import AcceptedConnections
from gaproute.connections.descriptors import descriptor_limit
from gaproute.core.core import Core
from gaproute.decisions.admission.admission import MIN_IDLE_WITH_RETRIES, Admission, response_margin
from gaproute.decisions.chance import Chance
from gaproute.decisions.connections.descriptor_shares import PROCESS_DESCRIPTORS, split_descriptors
from gaproute.decisions.connections.pooling import Pooling
from gaproute.decisions.routing import Gateway
from gaproute.fronts.jsonrpc.front import JsonRpcFront
from gaproute.hosts.jsonlines.client import JsonLinesClient
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.platform.configuration import Configuration, LoadedConfiguration
from gaproute.platform.host_list import HostList
from gaproute.platform.log import Log
from gaproute.platform.peers import PeerReports
from gaproute.platform.reload import ConfigurationReloader
from gaproute.platform.shutdown import GracefulShutdown
from gaproute.platform.status import StatusLog
from gaproute.telemetry.record import TRACE_ONE_IN, Record

SEED_BASE = 16
CHANGE_LOG_SEED, ADMISSION_SEED = 1, 3  # added to the seed, so that no two parts draw the same numbers
MAX_TRACE = 2000  # last characters of an error's traceback that are logged
MAX_REASON = 200  # characters of the reason for rejecting a client's message that are logged


class Process:
    """The parts of a gateway. Call `start`, then `run`, which ends after `stop`; signals call the rest."""

    def __init__(
        self,
        path: str,
        loaded: LoadedConfiguration,
        *,
        name: str | None = None,
        listen: str | None = None,
        loop: Loop | None = None,
        log: Log | None = None,
        trace_one_in: int = TRACE_ONE_IN,
    ) -> None:
        """`path`: the configuration file, for reloads; `name` and `listen` replace those of the file."""
        self.configuration, self.terms, self.deployment = loaded
        self.name = name or self.configuration.name
        self.listen = listen or self.configuration.listen
        self.loop = loop or Loop()
        self.log = log or Log()
        self.loop.on_error = self._log_error
        self.seed = int(self.configuration.seed, SEED_BASE)
        self.sockets = min(self.configuration.limits.sockets, descriptor_limit())
        self.record = Record(self.log, self.deployment.class_names, trace_one_in)
        self._share_sockets()
        self._make_core()
        self.host_list = HostList(self.loop, self.log, self.deployment.zones, self.hosts, self.core)
        self.peers = PeerReports(self.loop, self.log, lambda: self.configuration, self._receive_report)
        self.core.send_to_peers = self.peers.send
        self.reloader = ConfigurationReloader(self.loop, self.log, path, self._apply)
        deadlines = tuple(each.hard_limit for each in self.terms.request_classes)
        self.shutdown = GracefulShutdown(self.loop, self.log, self.core, deadlines)
        self.front: JsonRpcFront | None = None  # None until `start`, as the next one
        self.status: StatusLog | None = None

    def _share_sockets(self) -> None:
        """Divides the descriptors between connections of clients and connections to hosts."""
        shares = split_descriptors(self.sockets)
        self.hosts = JsonLinesClient(self.loop, Pooling(), self.deployment, shares.hosts)
        self.hosts.on_removed = self.record.forget_host
        AcceptedConnections.for_loop(self.loop).admission = Admission(
            shares.clients,
            shares.clients + 1,
            self.sockets,
            Chance(self.seed + ADMISSION_SEED),
            min_idle=MIN_IDLE_WITH_RETRIES,
            queue_when_full=True,
            reserved_descriptors=shares.hosts + PROCESS_DESCRIPTORS,
        )

    def _make_core(self) -> None:
        self.gateway = Gateway(self.seed, self.terms, self.loop.now())
        longest = self.gateway.load_order_limiter.travel_time
        if longest:
            self.hosts.order_timeout = min(self.hosts.order_timeout, longest)
        self.core = Core(self.loop, self.gateway, self.terms, self.hosts, self.record, self.name)

    # Start

    def start(self) -> None:
        """Listens for clients and follows the host list.

        Errors: OSError where the address cannot be listened on; then `start` may be called again.
        """
        front = self.front = self._listen()
        if self.terms.peers_allowed and self.configuration.peer_listen and self.configuration.peers_all:
            self.peers.open()
        chance = Chance(self.seed + CHANGE_LOG_SEED)
        self.host_list.start(self.configuration.known, self.configuration.changelog, chance)
        self._log_start(front)
        self.status = StatusLog(
            self.loop,
            self.log,
            core=self.core,
            gateway=self.gateway,
            front=front,
            hosts=self.hosts,
            host_list=self.host_list,
        )
        self.status.write()

    def _listen(self) -> JsonRpcFront:
        front = JsonRpcFront(
            self.loop,
            parse_address(self.listen),
            self.core,
            self.deployment.class_names,
            self.terms.request_classes,
            self.ready,
            response_margin(),
        )
        front.on_protocol_error = self._log_rejected_message
        return front

    def ready(self) -> bool:
        """Whether clients should send requests: a host is active, and the process is not stopping."""
        return not self.shutdown.begun and any(host.active for host in self.hosts.hosts.values())

    def _receive_report(self, payload: bytes) -> None:
        self.core.receive_broadcast(payload)

    # Signals

    def handle_signals(self) -> None:
        """Sets the handlers: SIGTERM and SIGINT stop the process, SIGHUP reloads the configuration."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.on_signal(number, self.stop)
        self.loop.on_signal(signal.SIGHUP, self.reload)

    def reload(self) -> None:
        """Reads the configuration file again; only a new address of the change log takes effect."""
        self.reloader.reload()

    def _apply(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self.host_list.set_address(configuration.changelog)

    def stop(self) -> None:
        """Begins the graceful shutdown; a second call does nothing."""
        if self.front is not None:
            self.shutdown.begin(self.front)

    # Run

    def run(self) -> None:
        """Runs until the process has stopped, then closes all parts."""
        self.loop.run()
        if self.status is not None:
            self.loop.call_guarded(self.status.write)
        connections = self.front.connection_count if self.front is not None else 0
        self.log.info("stopped", requests_in_flight=len(self.core.in_flight), client_connections=connections)
        self.reloader.cancel()
        self.close()

    def close(self) -> None:
        """Closes the sockets of all parts, also where closing one of them fails."""
        for part in (self.front, self.host_list, self.hosts, self.peers):
            if part is not None:
                self.loop.call_guarded(part.close)

    # Log

    def _log_start(self, front: JsonRpcFront) -> None:
        self.log.info(
            "started",
            name=self.name,
            listen_address=front.address,
            hosts=len(self.hosts.hosts),
            descriptor_limit=self.sockets,
            max_client_connections=AcceptedConnections.for_loop(self.loop).admission.max_connections,
            max_host_connections=self.hosts.max_connections,
            limits=self.configuration.limits,
            report_names=self.deployment.report_names,
            prices=self.configuration.settings.get("prices"),
            gateways=self.terms.gateways,
        )

    def _log_error(self, error: BaseException) -> None:
        trace = "".join(traceback.format_exception(error))
        self.log.error("unhandled_exception", error=repr(error), traceback=trace[-MAX_TRACE:])

    def _log_rejected_message(self, code: int, text: str) -> None:
        self.log.info("client_message_rejected", code=code, error=text[:MAX_REASON])
