"""One gateway's decisions on the clock of a play, and what each of its requests met."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from time import process_time_ns
from typing import Any, Protocol

from benchmarks.fleet.clock import SECOND, EventClock
from benchmarks.fleet.hosts import LANES, ROUND_TRIP, FleetHost
from benchmarks.fleet.terms import REQUEST_CLASSES
from gaproute import interface as face
from gaproute.core.driver import Driver

CONNECTION_LIFETIME = 13 * SECOND  # of rest, after which a host closes the connection
MEMORY_BUSY = 0.2  # that all hosts report


class FleetRequest:
    """A request of a client: what it waited for (ns), its attempts and those that failed."""

    __slots__ = ("function", "arrived_at", "load_wait", "queue_wait", "attempts", "failures")

    def __init__(self, function: str, arrived_at: int) -> None:
        self.function, self.arrived_at = function, arrived_at
        self.load_wait = self.queue_wait = self.attempts = self.failures = 0


class GatewayWorld(Protocol):
    """What a gateway needs of the world that it is played in.

    `counts` are by name of what is counted; `cpu_time` is ns that decisions took.
    """

    counts: dict[str, int]
    cpu_time: int

    @property
    def clock(self) -> EventClock:
        """The clock of the play."""

    @property
    def hosts(self) -> Mapping[str, Any]:
        """The hosts by name: of type `FleetHost`, or what stands in for it."""

    def broadcast(self, sender: Any, payload: bytes) -> None:
        """Send a payload to all gateways."""

    def attempt_started(self, gateway: Any, function: str, host_name: str, host: Any) -> None:
        """An attempt was sent to the host."""

    def request_answered(self, request: FleetRequest) -> None:
        """The request was delivered."""

    def request_unanswered(self, request: FleetRequest) -> None:
        """The request was rejected or has failed."""


class FleetGateway(Driver):
    """One gateway of a fleet. `number`: its place in it; `decisions`: a `routing.Gateway`, or a stand-in.

    `is_down`: it was killed; what comes in for it is lost.
    """

    gateway: Any
    world: GatewayWorld

    def __init__(
        self, world: GatewayWorld, number: int, decisions: Any, host_rows: Sequence[face.ListedHost]
    ) -> None:
        super().__init__(decisions)
        self.world, self.number, self.is_down = world, number, False
        self.requests: dict[str, FleetRequest] = {}  # in flight, by id
        self._waits: dict[str, object] = {}  # the latest wait of each key
        self._connections: dict[str, int] = {}  # by host: when it was used last
        self.gateway.update_hosts(world.clock.now, host_rows, complete=True)
        self.start_housekeeping(world.clock.now)

    def take(self, function: str, request_class: int) -> None:
        """Take a client's request. `request_class`: its index."""
        world = self.world
        world.counts["tasks"] += 1
        key = str(world.counts["tasks"])
        self.requests[key] = FleetRequest(function, world.clock.now)
        time_left = REQUEST_CLASSES[request_class].hard_limit
        began = process_time_ns()
        request = face.Request(key, 0, time_left, function, LANES, None, request_class)
        self.start_request(world.clock.now, request)
        world.cpu_time += process_time_ns() - began

    # Waits

    def start_wait(self, key: str, until: int, now: int) -> None:
        """See `Driver`."""
        self._waits[key] = wait = object()
        self.world.clock.at(max(until, now + 1), self._wait_elapsed, key, wait)

    def cancel_wait(self, key: str) -> None:
        """See `Driver`."""
        self._waits.pop(key, None)

    def _wait_elapsed(self, key: str, wait: object) -> None:
        if self._waits.get(key) is wait and not self.is_down:
            began = process_time_ns()
            self.wait_elapsed(key, self.world.clock.now)
            self.world.cpu_time += process_time_ns() - began

    # Attempts

    def start_attempt(self, key: str, number: int, attempt: face.Attempt, now: int) -> None:
        """See `Driver`."""
        self._use_connection(attempt.host)
        world, request = self.world, self.requests[key]
        host: FleetHost = world.hosts[attempt.host]
        world.attempt_started(self, request.function, attempt.host, host)
        request.attempts += 1
        if host.is_down:
            request.failures += 1
            world.clock.at(now + ROUND_TRIP, self._connect_failed, key, number, attempt.host)
            return
        service = host.accept(now, request.function)
        world.counts["loads"] += service.began_load
        request.load_wait += service.load_wait
        request.queue_wait += service.duration - service.load_wait
        found = face.InstanceStatus.WARM if service.was_warm else face.InstanceStatus.BEGAN_LOAD
        ended = face.Outcome(
            key, number, attempt.host, face.Result.OK, service.duration, True, found, None, None
        )
        world.clock.at(now + service.duration, self._answered, ended, host.incarnation)

    def _connect_failed(self, key: str, number: int, host_name: str) -> None:
        if not self.is_down:
            result, found = face.Result.CONNECT_FAILED, face.InstanceStatus.UNKNOWN
            outcome = face.Outcome(key, number, host_name, result, ROUND_TRIP, False, found, None, None)
            self.handle_outcome(self.world.clock.now, outcome)

    def _answered(self, outcome: face.Outcome, incarnation: int) -> None:
        """An attempt has ended, unless its host went down meanwhile."""
        world, host = self.world, self.world.hosts[outcome.host_id]
        if host.incarnation != incarnation:
            lost = outcome._replace(
                result=face.Result.RESET, request_ended=False, found=face.InstanceStatus.UNKNOWN
            )
            self.handle_outcome(world.clock.now, lost)
            return
        host.in_flight -= 1
        if self.is_down:
            return
        if outcome.request_id in self.generators:
            world.counts["delivered"] += 1
            world.request_answered(self.requests.pop(outcome.request_id))
        began = process_time_ns()
        self.handle_outcome(world.clock.now, outcome._replace(same_function_requests=host.in_flight))
        world.cpu_time += process_time_ns() - began

    def cancel_attempt(self, key: str, number: int) -> None:
        """The host works on."""

    # Load orders, probes, gossip

    def order_load(self, host: str, function: str, instances: int) -> None:
        """See `Driver`."""
        self._use_connection(host)
        world = self.world
        world.counts["orders"] += 1
        world.clock.after(ROUND_TRIP, self._order_answered, host, function, instances)

    def _order_answered(self, host: str, function: str, copies: int) -> None:
        self.gateway.load_order_ended(self.world.clock.now, host, function, face.Result.OK, copies)

    def probe_host(self, host: str) -> None:
        """See `Driver`."""
        self._use_connection(host)
        world, probed = self.world, self.world.hosts[host]
        world.counts["probes"] += 1
        report = None
        if not probed.is_down:
            report = face.HostLoadReport(cpu_busy=probed.cpu_share(), memory_busy=MEMORY_BUSY)
        world.clock.after(ROUND_TRIP, self._probe_answered, host, report)

    def _probe_answered(self, host: str, report: face.HostLoadReport | None) -> None:
        if not self.is_down:
            self.probe_answered(self.world.clock.now, host, report, good=report is not None)

    def broadcast(self, payload: bytes) -> None:
        """See `Driver`."""
        self.world.broadcast(self, payload)

    def watch_host_list(self) -> None:
        """The host list is handed in."""

    def _use_connection(self, host: str) -> None:
        now = self.world.clock.now
        if now - self._connections.get(host, -CONNECTION_LIFETIME) >= CONNECTION_LIFETIME:
            self.world.counts["connections"] += 1
        self._connections[host] = now

    # Final answers

    def reject_request(self, key: str, rejection: face.Reject) -> None:
        """See `Driver`."""
        self.world.request_unanswered(self.requests.pop(key))

    def fail_request(self, key: str) -> None:
        """See `Driver`."""
        self.world.request_unanswered(self.requests.pop(key))
