"""The address at which other gateways ask.

`POST /lore` is answered with a chunk of what this gateway observed, within a budget of CPU and bytes; other
parts register what else is served here.
"""

import time
from collections.abc import Callable, Sequence
from typing import Any

from google.protobuf.message import DecodeError

from gaproute.decisions.reports.cpu_budget import MILLI, CpuBudget
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.http1 import Limits, Server
from gaproute.peers import observation_wire
from gaproute.peers.observation_transfers import ObservationTransfers

OBSERVATIONS_TARGET = b"/lore"
FORWARDED_PREFIX = b"/v2/"  # what the targets of forwarded requests begin with
PROTOBUF = (b"Content-Type", b"application/x-protobuf")
RETRY_AFTER_HEADER = b"Gaproute-Retry-After-Ms"
# Of those that ask for observations: a restart of all gateways starts hundreds at once.
LIMITS = Limits(body=4096, pipelined=1, connections=1024)

Route = Callable[[Any, Any], None]  # takes the HTTP server and the request


class PeerServer:
    """Serves peers. `cpu_clock`: CPU time of this thread, ns. Errors: OSError where it cannot listen."""

    def __init__(
        self,
        loop: Any,
        where: Any,
        gateway: Any,
        history: HostHistory,
        request_classes: Sequence[str],
        limits: Limits = LIMITS,
        cpu_clock: Callable[[], int] = time.thread_time_ns,
    ) -> None:
        self.routes: dict[bytes, Route] = {}  # by target: what other parts serve here
        self.forwarded: Callable[[Any], None] | None = None  # takes requests that other gateways forward
        self.transfers = ObservationTransfers(gateway, history, request_classes, cpu_clock)
        self.cpu_budget = CpuBudget(loop.now())
        self.put_off = 0  # requests for observations
        self.spent = 0  # CPU for observations, ns
        self.loop, self._cpu_clock = loop, cpu_clock
        self.server = Server(loop, where, self.handle, limits)
        self.address = self.server.address

    def handle(self, request: Any) -> None:
        """Answers one request, or hands it to who serves it."""
        route = self.routes.get(request.target)
        if route is not None:
            route(self.server, request)
        elif self.forwarded is not None and request.target.startswith(FORWARDED_PREFIX):
            self.forwarded(request)
        elif request.target != OBSERVATIONS_TARGET or request.method != b"POST":
            self.server.answer(request, 404, (), b"POST /lore\n")
        else:
            self._handle_observations(request)

    def stop(self) -> None:
        """Goes on answering while the last requests end; `close` ends it."""

    def close(self) -> None:
        """Listens no more."""
        self.server.close()

    def _handle_observations(self, request: Any) -> None:
        now = self.loop.now()
        if not self.cpu_budget.may_spend(now):
            self._put_off(request, now)
            return
        begun = self._cpu_clock()
        try:
            asked = observation_wire.decode_request(request.body)
        except DecodeError:
            self.server.answer(request, 400, (), b"not an Ask\n")
            return
        self.server.answer(request, 200, (PROTOBUF,), self.transfers.answer(now, asked, begun))
        spent = self._cpu_clock() - begun
        self.spent += spent
        self.cpu_budget.spend(now, spent)

    def _put_off(self, request: Any, now: int) -> None:
        self.put_off += 1
        wait_ms = -(-self.cpu_budget.wait(now) // MILLI)  # rounded up
        self.server.answer(request, 503, ((RETRY_AFTER_HEADER, b"%d" % wait_ms),), b"")
