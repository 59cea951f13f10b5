"""Defines the interfaces of a gateway's decisions that the exchange of observations uses. Times are ns."""

from collections.abc import Iterable
from typing import Protocol

from gaproute.decisions.routing.observations import Observation


class ObservationSource(Protocol):
    """Decisions that return what their gateway observed itself."""

    def observations_since(self, now: int, since: int, /) -> Iterable[Observation]:
        """Returns the observations made after `since`; the result may be read in parts."""


class HintReceiver(Protocol):
    """Decisions that accept hints: observations of other gateways, or of the previous run of this gateway.

    Each method returns whether the decisions use the hint. `seen_at` is the time of the observation.
    """

    def hint_instance(self, host: str, function: str, lanes: int, seen_at: int, /) -> bool:
        """Hints that an instance at the host is warm; `lanes`: the requests that it runs at a time."""

    def hint_failures(self, host: str, request_class: int, failure_weight: float, seen_at: int, /) -> bool:
        """Hints that attempts of the request class failed at the host; `failure_weight`: from 0 to 1."""

    def hint_slowdown(self, host: str, slowdown: float, seen_at: int, /) -> bool:
        """Hints that the host is slower than usual by the factor `slowdown`."""

    def hint_usual_time(self, function: str | None, duration: int, /) -> bool:
        """Hints the usual answer time of the function; None stands for all requests that wait for a load."""
