"""Orders of a round controller to hosts, and its answers to a maintenance crew."""

from dataclasses import dataclass
from typing import NamedTuple

from gaproute.maintenance.host_report import OrderMark


@dataclass(frozen=True, slots=True)
class DrainOrder:
    """Orders a host to take no new requests."""

    host: str
    mark: OrderMark


@dataclass(frozen=True, slots=True)
class ServeOrder:
    """Orders a host to take requests again."""

    host: str
    mark: OrderMark


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Orders a host to load a function."""

    host: str
    function: str


HostOrder = DrainOrder | ServeOrder | LoadOrder


class HostGrant(NamedTuple):
    """Hands a host over to a maintenance crew.

    The crew may start its work within `time_left` ns from when it asked. The host accepts a restart only
    under a greater `fencing_token` than it has seen, and while it drains by the order `mark`.
    """

    fencing_token: int
    mark: OrderMark
    time_left: int


@dataclass(frozen=True, slots=True)
class GrantRejection:
    """Tells a maintenance crew that the host it asked for is not handed over to it now, and why."""

    reason: str
