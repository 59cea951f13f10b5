"""Gateways before hosts that may fall over while they warm up."""

from __future__ import annotations

from collections.abc import Sequence
from random import Random
from typing import Any, Protocol

from benchmarks.fleet.cold_days import ColdDay
from benchmarks.fleet.gateways import FleetGateway, GatewayWorld
from benchmarks.fleet.hosts import ROUND_TRIP
from benchmarks.fleet.warming_hosts import WarmingHost
from gaproute import interface as face

LIGHT, HEAVY, HEAVY_EACH = 0.6, 2.6, 5  # work of requests; one in so many is heavy: the mean is 1
PROBE_WORK = 0.006  # in requests of mean work: half a millisecond of 85
LOAD_ORDER_WORK = 1.0  # at the host: the settings do not say, so it counts as one request


class WarmingWorld(GatewayWorld, Protocol):
    """What such a gateway needs of the world beside what every gateway does."""

    day: ColdDay
    random: Random

    def retry_later(self, function: str, attempts: int) -> None:
        """A client's request was not served; it has been sent `attempts` times."""

    def delivery_time(self, now: int) -> int:
        """When an answer that comes now gets through, ns."""


class WarmingHostGateway(FleetGateway):
    """A gateway before hosts that warm up. `client_attempts`: how often a request was sent, by its id."""

    world: WarmingWorld

    def __init__(
        self, world: WarmingWorld, number: int, decisions: Any, host_rows: Sequence[face.ListedHost]
    ) -> None:
        self.client_attempts: dict[str, int] = {}
        super().__init__(world, number, decisions, host_rows)

    def take(self, function: str, request_class: int, attempts: int = 1) -> None:
        """Take a client's request, which it sends for the `attempts`th time."""
        self.client_attempts[str(self.world.counts["tasks"] + 1)] = attempts
        super().take(function, request_class)

    def reject_request(self, key: str, rejection: face.Reject) -> None:
        """See `Driver`."""
        function = self.requests[key].function
        super().reject_request(key, rejection)
        self.world.retry_later(function, self.client_attempts[key])

    def order_load(self, host: str, function: str, instances: int) -> None:
        """See `Driver`."""
        super().order_load(host, function, instances)
        self._count_work(host, LOAD_ORDER_WORK)

    def probe_host(self, host: str) -> None:
        """See `Driver`."""
        super().probe_host(host)
        self._count_work(host, PROBE_WORK)

    def start_attempt(self, key: str, number: int, attempt: face.Attempt, now: int) -> None:
        """See `Driver`."""
        world, function = self.world, self.requests[key].function
        host: WarmingHost = world.hosts[attempt.host]
        work = self._draw_work(function)
        self._count_work(attempt.host, work)
        if host.is_down or host.is_full(now):
            result = face.Result.CONNECT_FAILED if host.is_down else face.Result.FULL
            failed = _outcome(key, number, attempt.host, result, ROUND_TRIP, face.InstanceStatus.UNKNOWN)
            world.clock.at(now + ROUND_TRIP, self._attempt_ended, failed, None)
            return
        service = host.accept_work(now, function, work)
        found = face.InstanceStatus.WARM if service.was_warm else face.InstanceStatus.BEGAN_LOAD
        ended = _outcome(key, number, attempt.host, face.Result.OK, service.duration, found)
        world.clock.at(now + service.duration, self._attempt_ended, ended, host.incarnation)

    def _attempt_ended(self, outcome: face.Outcome, incarnation: int | None) -> None:
        """`incarnation`: of the host that accepted the request, None where it did not."""
        world = self.world
        now, host = world.clock.now, world.hosts[outcome.host_id]
        delivery_time = world.delivery_time(now)
        if now < delivery_time:
            delayed = outcome._replace(duration=outcome.duration + delivery_time - now)
            world.clock.at(delivery_time, self._attempt_ended, delayed, incarnation)
            return
        if incarnation is not None and incarnation != host.incarnation:
            outcome = outcome._replace(result=face.Result.RESET, found=face.InstanceStatus.UNKNOWN)
        elif incarnation is not None:
            host.in_flight -= 1
        if not self.is_down:
            self._handle_ended(outcome, host)

    def _handle_ended(self, outcome: face.Outcome, host: WarmingHost) -> None:
        is_answer = outcome.result is face.Result.OK
        if is_answer and outcome.request_id in self.generators:
            self.world.counts["delivered"] += 1
            self.world.request_answered(self.requests.pop(outcome.request_id))
        report = face.HostLoadReport(in_hand=host.in_flight) if is_answer else None
        self.handle_outcome(self.world.clock.now, outcome._replace(request_ended=is_answer, report=report))

    def _count_work(self, host_name: str, work: float) -> None:
        host = self.world.hosts[host_name]
        informed = self.gateway.hosts_by_id[host_name].started == host.started
        host.receive(self.world.clock.now, work, informed=informed)

    def _draw_work(self, function: str) -> float:
        """Of a request: by chance, or alike for all of one function where the day says so."""
        if self.world.day.heavy_functions:
            return HEAVY if int(function[1:]) % HEAVY_EACH == 0 else LIGHT
        return HEAVY if self.world.random.random() * HEAVY_EACH < 1 else LIGHT


def _outcome(
    key: str, number: int, host: str, result: face.Result, took: int, found: face.InstanceStatus
) -> face.Outcome:
    """The outcome of an attempt, before it is known what came of its host meanwhile."""
    return face.Outcome(
        request_id=key,
        attempt=number,
        host_id=host,
        result=result,
        duration=took,
        request_ended=False,
        found=found,
        same_function_requests=None,
        report=None,
    )
