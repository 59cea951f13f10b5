"""One gateway of a play: drives its decisions and carries out their actions on the play's network."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Generator
from enum import StrEnum
from typing import Any, NamedTuple, Protocol

from benchmarks.fleet.clock import EventClock
from gaproute import interface as face
from gaproute.decisions.cells.entries import CellUnknown, ForwardAttempt, Forwarded


class CallEnd(StrEnum):
    """How a call ended; the values are names of counts and figures."""

    DELIVERED = "delivered"
    REJECTED = "declined"
    FAILED = "scrapped"
    UNKNOWN = "unknown"  # the entry gateway does not know the cell


OnEnd = Callable[
    [CallEnd, str, face.InstanceStatus], object
]  # takes the end, its reason and what the host found


class SentAttempt(NamedTuple):
    """An attempt in flight."""

    host: str
    sent: int


class ServedRequest:
    """A request that a gateway has: `forwarded` is what another gateway said that sent it, None for a client.

    `attempts` are counted, `in_flight` are by their numbers; `waits` numbers the waits of the generator.
    """

    def __init__(
        self,
        request: face.Request,
        generator: Generator[Any, Any, None],
        on_end: OnEnd,
        ends_at: int,
        forwarded: Forwarded | None,
    ) -> None:
        self.request, self.generator, self.ends_at = request, generator, ends_at
        self.on_end: OnEnd | None = on_end
        self.forwarded = forwarded
        self.attempts, self.waits = 0, 0
        self.in_flight: dict[int, SentAttempt] = {}


class GatewayNetwork(Protocol):
    """What a gateway needs of the world that it is played in."""

    @property
    def counts(self) -> Counter[str]:
        """What was counted, by name."""

    @property
    def clock(self) -> EventClock:
        """The clock of the play."""

    def send_to_host(self, gateway: CellGateway, served: ServedRequest, number: int, host: str) -> None:
        """Send an attempt to a host of a cell that the gateway knows."""

    def forward(
        self, gateway: CellGateway, served: ServedRequest, number: int, action: ForwardAttempt
    ) -> None:
        """Send an attempt to an entry gateway."""

    def check(self, gateway: CellGateway, action: Any) -> None:
        """Check the invariants of an action."""


class CellGateway:
    """A gateway of a play. `decisions` decide, `network` carries attempts; `served`: requests by id."""

    def __init__(self, network: GatewayNetwork, name: str, zone: str, decisions: Any) -> None:
        self.network, self.name, self.zone, self.decisions = network, name, zone, decisions
        self.requests: dict[str, ServedRequest] = {}
        self.is_up = True
        self._housekeeper: Generator[Any, Any, None] | None = None

    def take(self, request: face.Request, on_end: OnEnd, forwarded: Forwarded | None = None) -> None:
        """Take a request from a client, or from another gateway; `on_end` is called once."""
        now = self.network.clock.now
        generator = (
            self.decisions.serve(now, request, forwarded) if forwarded else self.decisions.serve(now, request)
        )
        served = ServedRequest(request, generator, on_end, now + request.time_left, forwarded)
        self.requests[request.id] = served
        self.network.clock.at(served.ends_at, self._time_is_up, served)
        self._advance(served, None)

    # Housekeeping

    def housekeep(self) -> None:
        """Begin, or go on with, what is done beside the requests."""
        now = self.network.clock.now
        if not self.is_up:
            return
        if self._housekeeper is None:
            self._housekeeper = self.decisions.housekeep(now)
            action = next(self._housekeeper)
        else:
            action = self._housekeeper.send((now, None))
        while not isinstance(action, face.Wait):
            action = self._housekeeper.send(None)
        self.network.clock.at(action.until, self.housekeep)

    def restart_housekeeping(self) -> None:
        """Begin again after the gateway was down."""
        self._housekeeper = None
        self.housekeep()

    # Requests

    def attempt_ended(
        self,
        served: ServedRequest,
        number: int,
        result: face.Result,
        found: face.InstanceStatus = face.InstanceStatus.UNKNOWN,
        report: face.HostLoadReport | None = None,
    ) -> None:
        """An attempt has ended; a second end of one, or one at a gateway that is down, is dropped."""
        if not self.is_up or number not in served.in_flight:
            return
        host, sent = served.in_flight.pop(number)
        now = self.network.clock.now
        if result is face.Result.OK and served.on_end is not None:
            self._end(served, CallEnd.DELIVERED, "", found)
        has_ended = served.on_end is None
        outcome = face.Outcome(
            served.request.id, number, host, result, now - sent, has_ended, found, None, report
        )
        self.decisions.attempt_ended(now, outcome)
        served.waits += 1
        self._advance(served, (now, outcome))
        self._forget(served)

    def _advance(self, served: ServedRequest, value: Any) -> None:
        """Resume the request's generator with the value, up to its next wait or its end."""
        while True:
            try:
                action = served.generator.send(value)
            except StopIteration:
                return
            self.network.check(self, action)
            if isinstance(action, face.Wait):
                served.waits += 1
                self.network.clock.at(action.until, self._wait_elapsed, served, served.waits)
                return
            value = self._carry_out(served, action)

    def _carry_out(self, served: ServedRequest, action: Any) -> int | None:
        """Carry out an action; the number of an attempt."""
        clock = self.network.clock
        match action:
            case face.Attempt():
                return self._send(served, action)
            case face.Cancel(number):
                if number in served.in_flight:
                    clock.at(clock.now, self.attempt_ended, served, number, face.Result.CANCELLED)
            case CellUnknown(_, reason) if served.forwarded is not None:
                self._end(served, CallEnd.UNKNOWN, reason.value if reason else "")
            case face.Reject(_, reason):
                self._end(served, CallEnd.REJECTED, reason.value if reason else "")
            case face.Fail():
                self._end(served, CallEnd.FAILED, "")
            case face.LoadOrder(host, function, _):
                self.decisions.load_order_ended(clock.now, host, function, face.Result.OK, 1)
        return None

    def _send(self, served: ServedRequest, action: face.Attempt) -> int:
        number = served.attempts
        served.attempts += 1
        served.in_flight[number] = SentAttempt(action.host, self.network.clock.now)
        self.network.counts["relays"] += 1
        if isinstance(action, ForwardAttempt):
            self.network.forward(self, served, number, action)
        else:
            self.network.send_to_host(self, served, number, action.host)
        return number

    def _wait_elapsed(self, served: ServedRequest, wait: int) -> None:
        if self.is_up and served.waits == wait:
            self._advance(served, (self.network.clock.now, None))
            self._forget(served)

    def _time_is_up(self, served: ServedRequest) -> None:
        if not self.is_up:
            return
        for number in list(served.in_flight):
            self.attempt_ended(served, number, face.Result.TIMEOUT)
        if served.on_end is not None:
            self._end(served, CallEnd.FAILED, "time up")
        self._forget(served)

    def _end(
        self,
        served: ServedRequest,
        end: CallEnd,
        reason: str,
        found: face.InstanceStatus = face.InstanceStatus.UNKNOWN,
    ) -> None:
        on_end, served.on_end = served.on_end, None
        if on_end is not None:
            on_end(end, reason, found)

    def _forget(self, served: ServedRequest) -> None:
        if served.on_end is None and not served.in_flight:
            served.generator.close()
            self.requests.pop(served.request.id, None)
