"""Gateways that serve as the product does and report falsely to others, on purpose.

A share of the warm instances that they report stand at other hosts than reported.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import ClassVar

from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.observations import BEFORE_ALL_OBSERVATIONS, Observation

WARM_INSTANCE = "warm"  # the kind of observation, as in `decisions/reports/observation_kinds.py`
THOUSAND = 1000


class FalseReporter(Gateway):
    """Names another active host in a share of its observations of warm instances."""

    SHARE: ClassVar[float] = 1.0

    def observations_since(self, now: int, since: int = BEFORE_ALL_OBSERVATIONS) -> Iterator[Observation]:
        """What this gateway saw since then, some of it falsified."""
        active = [host.id for host in self.active_hosts]
        for observation in super().observations_since(now, since):
            falsified = observation.kind == WARM_INSTANCE and len(active) > 1 and self._draws_falsehood()
            yield self._falsified(observation, active) if falsified else observation

    def _draws_falsehood(self) -> bool:
        return self.random.below(THOUSAND) < THOUSAND * self.SHARE

    def _falsified(self, observation: Observation, active: list[str]) -> Observation:
        host, function = observation.names
        others = [name for name in active if name != host]
        return observation._replace(names=(others[self.random.below(len(others))], function))


class ReportsFalselyAtTimes(FalseReporter):
    """Falsifies one in five."""

    SHARE = 0.2


class ReportsFalselyByHalf(FalseReporter):
    """Falsifies every other one."""

    SHARE = 0.5


class ReportsFalselyAlways(FalseReporter):
    """Falsifies all."""

    SHARE = 1.0
