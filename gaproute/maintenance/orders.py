"""Orders that a controller of maintenance gives to hosts, and its answers to a maintenance crew."""

from dataclasses import dataclass
from typing import NamedTuple

from gaproute.maintenance.host_report import OrderMark


@dataclass(frozen=True, slots=True)
class DrainOrder:
    """The host shall take no new requests."""

    host: str
    mark: OrderMark


@dataclass(frozen=True, slots=True)
class ServeOrder:
    """The host shall take requests again."""

    host: str
    mark: OrderMark


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """The host shall load the function."""

    host: str
    function: str


HostOrder = DrainOrder | ServeOrder | LoadOrder


class HostGrant(NamedTuple):
    """A host is given to a maintenance crew.

    The crew may begin its work within `time_left` ns from when it asked. The host accepts a restart only
    under a greater `fencing_token` than it saw, and while it drains by the order `mark`.
    """

    fencing_token: int
    mark: OrderMark
    time_left: int


@dataclass(frozen=True, slots=True)
class GrantRejection:
    """Why a host is not given to a maintenance crew now."""

    reason: str
