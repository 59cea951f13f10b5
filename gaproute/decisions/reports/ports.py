"""What the exchange of observations needs of a gateway's decisions. Times are ns."""

from collections.abc import Iterable
from typing import Protocol

from gaproute.decisions.routing.observations import Observation


class ObservationSource(Protocol):
    """Decisions that tell what their gateway itself observed."""

    def observations_since(self, now: int, since: int, /) -> Iterable[Observation]:
        """The observations since that time; the result may be read in parts."""


class HintReceiver(Protocol):
    """Decisions that accept hints: observations of other gateways, or of this one's last run.

    Each method returns whether the decisions use the hint; `seen_at`: when the observation was made.
    """

    def hint_instance(self, host: str, function: str, lanes: int, seen_at: int, /) -> bool:
        """An instance of the function was seen at the host; `lanes`: requests that it runs at a time."""

    def hint_failures(self, host: str, request_class: int, failure_weight: float, seen_at: int, /) -> bool:
        """Attempts of the request class failed at the host; `failure_weight`: the weight of the failure, 0
        to 1."""

    def hint_slowdown(self, host: str, slowdown: float, seen_at: int, /) -> bool:
        """The host answered that many times slower than usual."""

    def hint_usual_time(self, function: str | None, duration: int, /) -> bool:
        """The usual answer time of the function, or of requests that wait for a load (None)."""
