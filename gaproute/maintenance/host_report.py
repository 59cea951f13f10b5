"""What a host reports of itself when it is probed."""

from typing import NamedTuple, TypeGuard

import msgspec

from gaproute.units import SECOND

RESPONSE_TIMEOUT = 6 * SECOND  # a host that has not answered for so long, some probes, counts as absent


class OrderMark(NamedTuple):
    """Identifies an order to drain or to serve: a host takes only orders with a greater mark than its last.

    `fencing_token`: of the lease under which the order was given; `number`: counts the orders under it.
    """

    fencing_token: int
    number: int


NO_ORDER = OrderMark(0, 0)


class HostReport(msgspec.Struct, frozen=True):
    """A host's last answer to a probe.

    `asked_at`: when it was probed, by the prober's clock, ns; what it says was true at that time or later.
    `incarnation`: of its process: another number after each restart.
    `draining`: whether it takes no new requests; `last_order`: the last order to drain or serve that it took.
    `in_flight`: how many requests it runs.
    `capacity`: per mille of its full pace that it has now; less while it warms up after a start.
    `free_slots`: how many more functions it could load.
    `warm_functions`, `loading_functions`: those that are loaded, and those being loaded.
    `completed_round`: the last round of maintenance in which it was restarted.
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
    """Whether the host has answered lately."""
    return report is not None and now - report.asked_at < RESPONSE_TIMEOUT
