"""The report of a host in answer to a probe, and the marks of orders to hosts."""

from typing import NamedTuple, TypeGuard

import msgspec

from gaproute.units import SECOND

# A host counts as absent once its last answered probe is older. Several probes are sent within this time.
RESPONSE_TIMEOUT = 6 * SECOND


class OrderMark(NamedTuple):
    """Identifies an order to drain or to serve. A host accepts only a greater mark than its last one.

    `fencing_token`: token of the lease under which the order was given; `number`: counts the orders of one
    controller.
    """

    fencing_token: int
    number: int


NO_ORDER = OrderMark(0, 0)


class HostReport(msgspec.Struct, frozen=True):
    """A host's last answer to a probe.

    `asked_at`: when the probe was sent, in ns of the prober's clock; the report was true at that time or
    later.
    `incarnation`: of the host's process; the number changes with each restart.
    `draining`: whether the host takes no new requests.
    `last_order`: mark of the last order to drain or to serve that the host accepted.
    `in_flight`: number of requests that the host runs.
    `capacity`: the host's present speed, per mille of its full speed; below 1000 while it warms up after a
    start.
    `free_slots`: number of functions that the host could load in addition.
    `warm_functions`, `loading_functions`: functions that are loaded, and functions that are being loaded.
    `completed_round`: name of the last maintenance round in which the host was restarted.
    """

    asked_at: int
    incarnation: int
    draining: bool = False
    last_order: OrderMark = NO_ORDER
    in_flight: int = 0
    capacity: int = 1000
    free_slots: int = 0
    warm_functions: tuple[str, ...] = ()
    loading_functions: tuple[str, ...] = ()
    completed_round: str = ""


def is_responsive(report: HostReport | None, now: int) -> TypeGuard[HostReport]:
    """Whether the host has answered a probe lately."""
    return report is not None and now - report.asked_at < RESPONSE_TIMEOUT
