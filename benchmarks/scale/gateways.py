"""Gateways' decisions to be measured: routing settings, host lists, and a caller that answers each attempt
at once."""

from collections.abc import Generator, Iterator
from typing import Any

from benchmarks.terms import SINGLE_GATEWAY_ROUTING_SETTINGS
from gaproute import interface as face
from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.parameters import MIX_SIZE
from gaproute.errors import GaprouteError

MILLI, SECOND = 1_000_000, 1_000_000_000
ZONES, CELLS = 13, 640
LANES, CAPACITY = 4, 4.0
MEGABYTE = 1 << 20
TOOK = 100 * MILLI  # every answer's time
GAP = MILLI // 10  # between two calls
REPORT = face.HostLoadReport(in_hand=1, waiting=0, cpu_busy=0.3, memory_busy=0.4)


class CallError(GaprouteError, RuntimeError):
    """A call was not attempted and answered: it would not be the cost that is measured."""


def row(
    number: int,
    state: face.ListedHostState = face.ListedHostState.ACTIVE,
    capacity: float = CAPACITY,
    started: int | None = None,
) -> face.ListedHost:
    """One host's line of the list."""
    return face.ListedHost(f"host-{number:06d}", number % ZONES, number % CELLS, state, capacity, started)


def rows(hosts: int) -> list[face.ListedHost]:
    """A whole list."""
    return [row(number) for number in range(hosts)]


class Caller:
    """One gateway's decisions, with their clock; every answer contains the host's `report`."""

    def __init__(self, hosts: int, seed: int, report: face.HostLoadReport | None = None):
        self.now, self.calls, self.report = SECOND, 0, report
        self.gateway = Gateway(seed, SINGLE_GATEWAY_ROUTING_SETTINGS, self.now)
        self.gateway.update_hosts(self.now, rows(hosts), complete=True)

    def call(self, function: str) -> str:
        """Make one call, from acceptance to its delivered answer; returns the host. Raises CallError."""
        self.now += GAP
        self.calls += 1
        name = f"call-{self.calls}"
        request = face.Request(name, 0, 4 * SECOND, function, LANES, None, 0)
        serve = self.gateway.serve(self.now, request)
        attempt = next(serve)
        if not isinstance(attempt, face.Attempt):
            raise CallError(f"{name} of {function}: {attempt!r} came in place of an attempt")
        serve.send(0)
        outcome = face.Outcome(
            name, 0, attempt.host, face.Result.OK, TOOK, True, face.InstanceStatus.WARM, 0, self.report
        )
        self.gateway.attempt_ended(self.now + TOOK, outcome)
        if next(_rest(serve, (self.now + TOOK, outcome)), None) is not None:
            raise CallError(f"{name} of {function} goes on after its answer")
        return attempt.host

    def fill_mix(self) -> None:
        """Fill the last calls' functions with others, as many calls of a large fleet's traffic would.

        The function called next is then rare.
        """
        self.gateway.function_mix.recent.extend(f"other-{number}" for number in range(MIX_SIZE))


def _rest(serve: Generator[face.Action, Any, None], heard: tuple[int, face.Outcome]) -> Iterator[face.Action]:
    """What a request's generator still yields once it has the outcome."""
    try:
        yield serve.send(heard)
    except StopIteration:
        return
