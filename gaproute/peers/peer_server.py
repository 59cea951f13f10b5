"""The HTTP server for requests from other gateways.

It answers requests for observations in chunks, within a budget of CPU time and bytes. Other components add
routes of their own.
"""

import time
from collections.abc import Callable, Sequence

from google.protobuf.message import DecodeError

from gaproute.decisions.reports.cpu_budget import CpuBudget
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.decisions.reports.ports import ObservationSource
from gaproute.http1 import Limits, Request, Server
from gaproute.loop import Loop
from gaproute.loop.addresses import Address
from gaproute.peers import observation_wire
from gaproute.peers.observation_transfers import ObservationTransfers
from gaproute.units import MILLI

FORWARDED_PREFIX = b"/v2/"  # prefix of the targets of requests that gateways forward
PROTOBUF_HEADER = (b"Content-Type", b"application/x-protobuf")
RETRY_AFTER_HEADER = b"Gaproute-Retry-After-Ms"
# After a restart of the whole fleet, hundreds of gateways connect for observations at the same time.
HTTP_LIMITS = Limits(max_body_bytes=4096, max_pipelined=1, max_connections=1024)

RouteHandler = Callable[[Server, Request], None]  # answers the request through the server


class PeerServer:
    """Serves requests from other gateways.

    `gateway` supplies the observations that are sent; `cpu_clock` returns the CPU time of this thread in ns.
    Raises OSError if it cannot listen at the address.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        gateway: ObservationSource,
        history: HostHistory,
        request_classes: Sequence[str],
        limits: Limits = HTTP_LIMITS,
        cpu_clock: Callable[[], int] = time.thread_time_ns,
    ) -> None:
        self.routes: dict[bytes, RouteHandler] = {}  # by request target: routes of other components
        # Handles requests that other gateways forward; None while forwarded requests are not accepted.
        self.forwarded_request_handler: Callable[[Request], None] | None = None
        self.transfers = ObservationTransfers(gateway, history, request_classes, cpu_clock)
        self.cpu_budget = CpuBudget(loop.now())
        self.postponed_requests = 0  # requests for observations that were answered with a retry delay
        self.spent = 0  # CPU time used to answer requests for observations, ns
        self.loop, self._cpu_clock = loop, cpu_clock
        self.server = Server(loop, address, self.handle, limits)
        self.address = self.server.address

    def handle(self, request: Request) -> None:
        """Answers a request, or passes it to the handler for its target."""
        route = self.routes.get(request.target)
        if route is not None:
            route(self.server, request)
        elif self.forwarded_request_handler is not None and request.target.startswith(FORWARDED_PREFIX):
            self.forwarded_request_handler(request)
        elif request.target != observation_wire.HTTP_TARGET or request.method != b"POST":
            self.server.answer(request, 404, (), b"POST /lore\n")
        else:
            self._handle_observations(request)

    def close(self) -> None:
        """Stops listening and closes all connections."""
        self.server.close()

    def _handle_observations(self, request: Request) -> None:
        now = self.loop.now()
        if not self.cpu_budget.allows_slice(now):
            self._postpone(request, now)
            return
        cpu_time_at_start = self._cpu_clock()
        try:
            decoded = observation_wire.decode_request(request.body)
        except DecodeError:
            self.server.answer(request, 400, (), b"not an Ask\n")
            return
        self.server.answer(
            request, 200, (PROTOBUF_HEADER,), self.transfers.answer(now, decoded, cpu_time_at_start)
        )
        spent = self._cpu_clock() - cpu_time_at_start
        self.spent += spent
        self.cpu_budget.deduct(now, spent)

    def _postpone(self, request: Request, now: int) -> None:
        self.postponed_requests += 1
        wait_ms = -(-self.cpu_budget.retry_delay(now) // MILLI)  # rounded up
        self.server.answer(request, 503, ((RETRY_AFTER_HEADER, b"%d" % wait_ms),), b"")
