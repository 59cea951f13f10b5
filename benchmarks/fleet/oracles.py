"""Comparisons that see what no gateway can: true queues, as they are or were, and true instances."""

from __future__ import annotations

from typing import ClassVar

from benchmarks.fleet.split_choice import EqualFirstChoices
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import USUAL_CONCURRENCY
from gaproute.interface import Request
from gaproute.units import MILLI

POINTS = 0.5  # for each request in flight, where queues are true: an instance is worth twelve


class TrueQueues(EqualFirstChoices):
    """The same score with the true queues, `age` ns ago."""

    age: ClassVar[int] = 0

    def queue(self, host: Host, request: Request, now: int) -> float:
        """The true number of requests in flight."""
        if not self.age:
            return float(self.world.hosts[host.id].in_flight)
        return float(self.world.history.in_flight(host.id, self.age))


class TrueQueuesAndInstances(TrueQueues):
    """The lowest load among hosts with an instance, another host where that pays."""

    slack = 100.0  # all are scored

    def queue_weight(self, heat: float) -> float:
        """Alike for all functions."""
        return POINTS * USUAL_CONCURRENCY

    def copy(self, name: str, host: Host, warmth: float) -> float:
        """Whether there is an instance."""
        return 1.0 if name in self.world.hosts[host.id].instances else 0.0


class LowestLoad(TrueQueuesAndInstances):
    """True queues and nothing else: the lowest load, whatever it costs in loads of instances."""

    def copy(self, name: str, host: Host, warmth: float) -> float:
        """As if all hosts had one."""
        return 1.0


class SharedCounts(TrueQueues):
    """(e) Requests in flight that all gateways share each 500 ms: as old as that at most, half on average."""

    age = 250 * MILLI


class TrueQueuesAndInstances50(TrueQueuesAndInstances):
    """50 ms ago."""

    age = 50 * MILLI


class TrueQueuesAndInstances100(TrueQueuesAndInstances):
    """100 ms ago."""

    age = 100 * MILLI


class TrueQueuesAndInstances300(TrueQueuesAndInstances):
    """300 ms ago."""

    age = 300 * MILLI


class TrueQueuesAndInstances1000(TrueQueuesAndInstances):
    """A second ago."""

    age = 1000 * MILLI
