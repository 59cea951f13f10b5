"""Drain proofs: evidence that a host that was ordered to drain receives no more requests and runs none.

There are two kinds of proof; either one suffices:

- The host's report: a probe sent after the drain order shows that the host takes no new requests and runs
  none. A gateway that does not know of the order may still send a request; the host then answers 'not
  ready', the request does not run and is sent to another host. This proof needs no clock and no message
  from gateways.
- The host list, for a host that cannot reject requests itself. A gateway that receives the host list has
  the new list within a poll interval. A gateway that does not receive it drops each host whose entry is not
  renewed within the entry's lifetime; the platform has to guarantee this lifetime, otherwise this proof
  never holds. Requests sent until then have ended after the hard limit of a request. All three times are
  lengthened for clocks that are wrong by up to `CLOCK_ERROR_PER_MILLE` on either side. After this time the
  host must report that it runs no requests.

The expiry of a lease is no drain proof: a lease limits the time in which a restart of the host may begin,
not which gateways send requests.
"""

from enum import StrEnum

import msgspec

from gaproute.maintenance.host_report import HostReport
from gaproute.units import SECOND

CLOCK_ERROR_PER_MILLE = 10  # the largest error of a clock, the same as for leases


class DrainBounds(msgspec.Struct, frozen=True):
    """Times in ns that bound how long a host may still receive and run requests.

    `poll_interval`: time between two reads of the host list.
    `entry_lifetime`: time after which a gateway drops an entry of the host list that is not renewed; 0 if
    the platform guarantees no such time.
    `hard_limit`: the longest time that a request runs.
    """

    poll_interval: int = 2 * SECOND
    entry_lifetime: int = 0
    hard_limit: int = 30 * SECOND


class DrainProof(StrEnum):
    """The evidence that proves a host drained."""

    NONE = ""
    HOST_REPORT = "host"
    HOST_LIST = "list"


def clock_error_allowance(duration: int) -> int:
    """The time to add to a duration, in ns, that clocks of several machines measure; rounded down."""
    return duration * 3 * CLOCK_ERROR_PER_MILLE // 1000


def list_drain_time(bounds: DrainBounds) -> int | None:
    """Nanoseconds until no request sent by the old host list can still run; None if there is no bound."""
    if not bounds.entry_lifetime:
        return None
    duration = max(bounds.poll_interval, bounds.entry_lifetime) + bounds.hard_limit
    return duration - (-duration * 3 * CLOCK_ERROR_PER_MILLE // 1000)  # rounded up


def find_drain_proof(report: HostReport | None, drain_ordered_at: int, bounds: DrainBounds) -> DrainProof:
    """The drain proof of the host, or `DrainProof.NONE`.

    `report`: the host's last report; `drain_ordered_at`: when the host was ordered to drain.
    """
    if report is None or report.in_flight:
        return DrainProof.NONE
    if report.draining and report.asked_at > drain_ordered_at:
        return DrainProof.HOST_REPORT
    list_time = list_drain_time(bounds)
    if list_time is not None and report.asked_at >= drain_ordered_at + list_time:
        return DrainProof.HOST_LIST
    return DrainProof.NONE
