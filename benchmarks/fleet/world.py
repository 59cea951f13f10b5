"""The fleet of a play: the clock, the hosts, the gateways, the messages between them, and the counts."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Mapping, Sequence
from time import process_time_ns
from typing import Any, Protocol

from benchmarks.fleet.clock import MILLI, EventClock
from benchmarks.fleet.gateways import FleetGateway, FleetRequest
from benchmarks.fleet.hosts import CAPACITY, FleetHost
from benchmarks.fleet.terms import fleet_routing_settings
from gaproute import interface as face
from gaproute.decisions.routing import Gateway

ZONES = 3
HISTORY_STEP, HISTORY_STEPS = 25 * MILLI, 48  # between samples of the requests in flight; samples stored
COUNTED = ("tasks", "delivered", "probes", "words", "orders", "connections", "loads")

# Makes one gateway's decisions: takes the world, a seed, the routing settings and the time.
DecisionsFactory = Callable[[Any, int, face.RoutingSettings, int], Any]
# Whether a message is handed over: takes the world, the sender, the receiver and the payload.
DeliveryFilter = Callable[["FleetWorld", FleetGateway, FleetGateway, bytes], bool]


def todays_decisions(world: Any, seed: int, routing_settings: face.RoutingSettings, now: int) -> Gateway:
    """The decisions as they are."""
    return Gateway(seed, routing_settings, now)


class Watcher(Protocol):
    """Is notified of what happens in a play, with its time in ns."""

    def report_sent(self, now: int, sender: FleetGateway, payload: bytes) -> None:
        """A gateway sent a load report to all."""

    def attempt_started(
        self, now: int, gateway: FleetGateway, function: str, host_name: str, host: FleetHost
    ) -> None:
        """An attempt was sent to the host."""

    def request_answered(self, now: int, request: FleetRequest) -> None:
        """The request was delivered."""

    def request_unanswered(self, now: int, request: FleetRequest) -> None:
        """The request was rejected or has failed."""


class InFlightHistory:
    """Requests in flight by host as they were: for policies that see what no gateway can."""

    def __init__(self, clock: EventClock, hosts: Mapping[str, FleetHost]) -> None:
        self._clock, self._hosts = clock, hosts
        self._samples: deque[dict[str, int]] = deque(maxlen=HISTORY_STEPS)
        self._sample()

    def in_flight(self, host_name: str, age: int) -> int:
        """Requests at the host so many ns ago."""
        return self._samples[-min(len(self._samples), age // HISTORY_STEP)].get(host_name, 0)

    def _sample(self) -> None:
        self._samples.append({name: host.in_flight for name, host in self._hosts.items()})
        self._clock.after(HISTORY_STEP, self._sample)


class FleetWorld:
    """A fleet of `gateways` gateways before `hosts` hosts, whose `sizes` are dealt out in turn.

    `cpu_time`: ns that the gateways' decisions took. `delivery_filter` decides which messages between
    gateways are handed over, None: all. `watchers` are notified of what happens.
    """

    def __init__(
        self,
        gateways: int,
        hosts: int,
        make_decisions: DecisionsFactory = todays_decisions,
        sizes: Sequence[float] = (1.0,),
    ) -> None:
        self.clock, self.cpu_time, self.sizes = EventClock(), 0, sizes
        self.counts: dict[str, int] = dict.fromkeys(COUNTED, 0)
        self.hosts: dict[str, Any] = {
            f"h{number}": FleetHost(number % ZONES, sizes[number // ZONES % len(sizes)])
            for number in range(hosts)
        }
        self.make_decisions = make_decisions
        self.delivery_filter: DeliveryFilter | None = None
        self.watchers: list[Watcher] = []
        self.gateway_count = gateways
        self.history = InFlightHistory(self.clock, self.hosts)
        rows = self.host_rows()
        self.gateways: list[Any] = [self.make_gateway(number, number + 1, rows) for number in range(gateways)]

    def make_gateway(self, number: int, seed: int, rows: Sequence[face.ListedHost]) -> FleetGateway:
        """A gateway that starts now."""
        decisions = self.make_decisions(
            self, seed, fleet_routing_settings(self.gateway_count), self.clock.now
        )
        return FleetGateway(self, number, decisions, rows)

    def host_rows(self) -> list[face.ListedHost]:
        """The host list; hosts that are down are gone from it."""
        return [
            face.ListedHost(
                name,
                host.zone,
                0,
                face.ListedHostState.GONE if host.is_down else face.ListedHostState.ACTIVE,
                CAPACITY * host.size,
                host.started,
            )
            for name, host in self.hosts.items()
        ]

    def publish_host_list(self) -> None:
        """Hand the host list to all gateways."""
        rows = self.host_rows()
        for gateway in self.gateways:
            gateway.gateway.update_hosts(self.clock.now, rows, complete=True)

    def restart(self, number: int) -> None:
        """Kill a gateway with all that it knows and has in flight, and start another in its place."""
        self.gateways[number].is_down = True
        seed = number + 1 + len(self.gateways)
        self.gateways[number] = self.make_gateway(number, seed, self.host_rows())

    # What gateways report

    def broadcast(self, sender: FleetGateway, payload: bytes) -> None:
        """Send a payload to all gateways, the sender included."""
        self.counts["words"] += len(payload) * len(self.gateways)
        for watcher in self.watchers:
            watcher.report_sent(self.clock.now, sender, payload)
        began = process_time_ns()
        for receiver in self.gateways:
            if self.delivery_filter is None or self.delivery_filter(self, sender, receiver, payload):
                receiver.gateway.peer_message_received(self.clock.now, payload)
        self.cpu_time += process_time_ns() - began

    def attempt_started(self, gateway: FleetGateway, function: str, host_name: str, host: FleetHost) -> None:
        """Notify the watchers of an attempt."""
        for watcher in self.watchers:
            watcher.attempt_started(self.clock.now, gateway, function, host_name, host)

    def request_answered(self, request: FleetRequest) -> None:
        """Notify the watchers of a request that was delivered."""
        for watcher in self.watchers:
            watcher.request_answered(self.clock.now, request)

    def request_unanswered(self, request: FleetRequest) -> None:
        """Notify the watchers of a request that was rejected or has failed."""
        for watcher in self.watchers:
            watcher.request_unanswered(self.clock.now, request)
