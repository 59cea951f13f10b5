"""The world of a play: a clock, hosts, gateways, the network between them, and counts of what happened."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable, Iterable
from functools import partial
from random import Random
from typing import Any

from benchmarks.fleet.clock import MILLI, SECOND, EventClock
from benchmarks.scale.cells.fleet import Shape, location_of
from benchmarks.scale.cells.gateways import CallEnd, CellGateway, ServedRequest
from benchmarks.scale.cells.hosts import CallService, CellHost
from benchmarks.scale.cells.network import ZoneNetwork
from benchmarks.scale.cells.terms import CALL_TIME, IDEMPOTENT, NON_IDEMPOTENT, cell_routing_settings
from gaproute import interface as face
from gaproute.decisions.cells import invariants
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.entries import MAX_HOPS, ForwardAttempt
from gaproute.decisions.cells.table import Cell, CellTable

MAX_LOAD = 4  # times its capacity at which a host rejects calls
MAX_LATENCIES = 1_000_000
HOP_MARK = ">"  # in the id of a request, for each time that it was forwarded
LANES = 4
ENTRY_RESULTS = {
    CallEnd.DELIVERED: face.Result.OK,
    CallEnd.REJECTED: face.Result.FULL,
    CallEnd.UNKNOWN: face.Result.NOT_LOADED,
}

OnCallEnd = Callable[[CallEnd, face.InstanceStatus], object]


class AttemptReply:
    """Brings what became of an attempt back to the gateway that sent it."""

    def __init__(
        self,
        world: CellWorld,
        gateway: CellGateway,
        served: ServedRequest,
        number: int,
        zone: str,
        delay: int,
    ) -> None:
        self.gateway, self.served, self.number = gateway, served, number
        self._world, self._zone, self.delay = world, zone, delay

    def send(
        self,
        result: face.Result,
        found: face.InstanceStatus = face.InstanceStatus.UNKNOWN,
        report: face.HostLoadReport | None = None,
    ) -> None:
        """Send it from the zone that the attempt went to, unless it is lost or cut off."""
        if self._world.network.delay(self.gateway.zone, self._zone) is not None:
            ended = partial(self.gateway.attempt_ended, self.served, self.number, result, found, report)
            self._world.clock.after(self.delay, ended)


class CellWorld:
    """A fleet of the shape; `numbers`: which of its gateways are played in full.

    `counts` are by what is counted, `counts_by_second` by the second too. `latencies`: ns of the last calls
    that were delivered. `checking`: whether invariants are checked; `violations` are what did not hold.
    """

    def __init__(
        self,
        shape: Shape,
        table: CellTable,
        numbers: Iterable[int],
        keep_alive: int,
        seed: int = 1,
        *,
        checking: bool = False,
    ) -> None:
        self.shape, self.table, self.keep_alive, self._checking = shape, table, keep_alive, checking
        self.clock = EventClock()
        self.network = ZoneNetwork(shape, Random(seed))
        self.counts: Counter[str] = Counter()
        self.counts_by_second: dict[int, Counter[str]] = {}
        self.latencies: deque[int] = deque(maxlen=MAX_LATENCIES)
        self.violations: list[str] = []
        self._runs: Counter[str] = Counter()  # of calls that must not run twice, by their id
        self.hosts: dict[str, CellHost] = {}
        self.hosts_of: dict[str, list[str]] = {}  # names, by cell
        for cell in table.cells:
            self.add_cell(cell)
        self.routing_settings, self._seed = cell_routing_settings(shape.gateways, keep_alive), seed
        self.gateways: dict[str, CellGateway] = {}
        for number in numbers:
            self.add_gateway(number)

    def add_cell(self, cell: Cell) -> None:
        """Add the hosts of a cell."""
        names = [f"{cell.name}-host{number}" for number in range(cell.hosts)]
        self.hosts_of[cell.name] = names
        for name in names:
            capacity = cell.capacity / cell.hosts
            self.hosts[name] = CellHost(name, cell.name, cell.zone, capacity, self.keep_alive)

    def add_gateway(self, number: int) -> CellGateway:
        """Add a gateway that is played in full."""
        location = location_of(number, self.shape)
        decisions = CellularGateway(self._seed + number, self.routing_settings, self.clock.now, location)
        gateway = CellGateway(self, location.name, location.zone, decisions)
        self.gateways[location.name] = gateway
        self.adopt(gateway, self.table)
        gateway.housekeep()
        return gateway

    def adopt(self, gateway: CellGateway, table: CellTable) -> None:
        """Give a gateway a table, and the lists of the cells that it then wants."""
        gateway.decisions.adopt(self.clock.now, table)
        for name in gateway.decisions.cells_to_follow():
            self.publish_hosts(gateway, name)

    def publish_hosts(self, gateway: CellGateway, cell: str) -> None:
        """Give a gateway the list of a cell's hosts that are up."""
        hosts = [self.hosts[name] for name in self.hosts_of.get(cell, ())]
        rows = [self.host_row(host) for host in hosts if host.is_up]
        gateway.decisions.update_hosts(self.clock.now, rows, complete=True, cell=cell)

    def host_row(self, host: CellHost) -> face.ListedHost:
        """The host as the list has it."""
        capacity = host.capacity / self.shape.host_capacity
        return face.ListedHost(host.name, 0, 0, face.ListedHostState.ACTIVE, capacity, None)

    def count(self, name: str, amount: int = 1) -> None:
        """Count, in all and by the second."""
        self.counts[name] += amount
        self.counts_by_second.setdefault(self.clock.now // SECOND, Counter())[name] += amount

    def next_serial(self) -> int:
        """A number for the id of a request."""
        self.counts["serial"] += 1
        return self.counts["serial"]

    # Attempts at hosts

    def send_to_host(self, gateway: CellGateway, served: ServedRequest, number: int, host: str) -> None:
        """Send an attempt to a host of a cell that the gateway knows."""
        target = self.hosts[host]
        delay = self.network.delay(gateway.zone, target.zone)
        if delay is not None:
            reply = AttemptReply(self, gateway, served, number, target.zone, delay)
            self.clock.after(delay, self._at_host, reply, target)

    def _at_host(self, reply: AttemptReply, host: CellHost) -> None:
        if not host.is_up:
            reply.send(face.Result.CONNECT_FAILED)
            return
        if host.in_flight >= MAX_LOAD * host.capacity:
            reply.send(face.Result.FULL, report=face.HostLoadReport(in_hand=host.in_flight))
            return
        request = reply.served.request
        self._count_run(request)
        service = host.accept(self.clock.now, request.function)
        self.count("runs")
        self.count("loads" if service.began_load else "found")
        self.clock.after(service.duration, self._host_answers, reply, host, _found(service))

    def _host_answers(self, reply: AttemptReply, host: CellHost, found: face.InstanceStatus) -> None:
        if host.is_up and not host.is_mute:
            host.in_flight = max(0, host.in_flight - 1)
            reply.send(face.Result.OK, found, face.HostLoadReport(in_hand=host.in_flight))

    def _count_run(self, request: face.Request) -> None:
        if request.request_class == NON_IDEMPOTENT:
            call = request.id.split(HOP_MARK)[0]
            self._runs[call] += 1
            if self._runs[call] > 1:
                self.violations.append(f"{call} ran twice")

    # Attempts at entry gateways

    def forward(
        self, gateway: CellGateway, served: ServedRequest, number: int, action: ForwardAttempt
    ) -> None:
        """Send an attempt to an entry gateway."""
        self.count("forwards")
        entry = self.gateways.get(action.host)
        if entry is None:
            self.clock.after(MILLI, gateway.attempt_ended, served, number, face.Result.CONNECT_FAILED)
            return
        delay = self.network.delay(gateway.zone, entry.zone)
        if delay is not None:
            reply = AttemptReply(self, gateway, served, number, entry.zone, delay)
            self.clock.after(delay, self._at_entry, reply, action, entry)

    def _at_entry(self, reply: AttemptReply, action: ForwardAttempt, entry: CellGateway) -> None:
        if not entry.is_up:
            reply.send(face.Result.CONNECT_FAILED)
            return

        def on_end(end: CallEnd, reason: str, found: face.InstanceStatus) -> None:
            report = entry.decisions.local.load_report(self.clock.now, action.forwarded.cell)
            reply.send(ENTRY_RESULTS.get(end, face.Result.ERROR), found, report)

        request = reply.served.request
        serial = self.next_serial()
        time_left = max(MILLI, reply.served.ends_at - self.clock.now - reply.delay)
        if request.id.count(HOP_MARK) >= MAX_HOPS:
            self.violations.append(f"{request.id} is forwarded once more")
        forwarded = request._replace(id=f"{request.id}{HOP_MARK}{serial}", time_left=time_left)
        entry.take(forwarded, on_end, action.forwarded)

    # Calls

    def call(
        self,
        gateway: CellGateway,
        function: str,
        request_class: int = IDEMPOTENT,
        time_left: int = CALL_TIME,
        on_end: OnCallEnd | None = None,
    ) -> None:
        """A client's call to a gateway that is played in full."""
        request_id = f"t{self.next_serial()}"
        request = face.Request(request_id, 0, time_left, function, LANES, None, request_class)
        began = self.clock.now
        self.count("calls")
        gateway.take(request, lambda end, reason, found: self._call_ended(began, end, reason, found, on_end))

    def _call_ended(
        self, began: int, end: CallEnd, reason: str, found: face.InstanceStatus, on_end: OnCallEnd | None
    ) -> None:
        self.count(end)
        if end is CallEnd.REJECTED:
            self.counts[f"declined: {reason}"] += 1
        if end is CallEnd.DELIVERED:
            self.latencies.append(self.clock.now - began)
            self.count("warm" if found is face.InstanceStatus.WARM else "cold")
        if on_end is not None:
            on_end(end, found)

    def check(self, gateway: CellGateway, action: Any) -> None:
        """Check the invariants of an action."""
        if self._checking and gateway.decisions.single_gateway is None:
            self.violations += invariants.hops_bounded(action)
            if isinstance(action, face.Attempt):
                self.violations += invariants.sent_to_known(gateway.decisions, action)
                self.violations += invariants.one_cell_at_a_time(gateway.decisions)


def _found(service: CallService) -> face.InstanceStatus:
    if service.was_warm:
        return face.InstanceStatus.WARM
    return face.InstanceStatus.BEGAN_LOAD if service.began_load else face.InstanceStatus.AWAITED_LOAD
