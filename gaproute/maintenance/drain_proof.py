"""Proofs that a host which was ordered to drain gets no more requests and runs none.

There are two; either is enough:

- By the host: it was ordered to drain and, probed afterwards, reports that it takes no new requests and
  runs none. A gateway that did not hear of the order may still send; the host answers 'not ready', the
  request did not run and goes elsewhere. This needs no clock and no message from gateways.
- By the host list: for a host that cannot reject requests itself. A gateway that receives the list has the
  new one within a poll interval. One that does not drops hosts whose entry was not renewed within the entry's
  lifetime; the platform has to promise this lifetime, otherwise this proof never holds. What was sent until
  then has ended after the hard limit of a request. All three are lengthened for clocks that go wrong by up to
  `CLOCK_ERROR_PER_MILLE` on either side. After this time the host must report that it runs nothing.

The end of a lease proves nothing here: a lease limits how long a host's restart may be begun, not who sends
requests.
"""

from enum import StrEnum

import msgspec

from gaproute.maintenance.host_report import HostReport
from gaproute.units import SECOND

CLOCK_ERROR_PER_MILLE = 10  # per mille by which a clock may be wrong, the same as for leases


class DrainBounds(msgspec.Struct, frozen=True):
    """Times that bound how long a host may still get and run requests, in ns.

    `poll_interval`: between two reads of the host list; `entry_lifetime`: until an entry that is not
    renewed is dropped, 0 if that is not promised; `hard_limit`: the longest that a request runs.
    """

    poll_interval: int = 2 * SECOND
    entry_lifetime: int = 0
    hard_limit: int = 30 * SECOND


class DrainProof(StrEnum):
    """By what a host is proved drained."""

    NONE = ""
    HOST_REPORT = "host"
    HOST_LIST = "list"


def clock_error_allowance(duration: int) -> int:
    """What is added to a duration, in ns, that clocks of several machines measure; rounded down."""
    return duration * 3 * CLOCK_ERROR_PER_MILLE // 1000


def list_drain_time(bounds: DrainBounds) -> int | None:
    """Nanoseconds until nothing sent by the old host list can still run; None: never proved."""
    if not bounds.entry_lifetime:
        return None
    duration = max(bounds.poll_interval, bounds.entry_lifetime) + bounds.hard_limit
    return duration - (-duration * 3 * CLOCK_ERROR_PER_MILLE // 1000)  # rounded up


def find_drain_proof(report: HostReport | None, drain_ordered_at: int, bounds: DrainBounds) -> DrainProof:
    """The proof that the host is drained, if there is one yet.

    `report`: its last one; `drain_ordered_at`: when it was ordered to drain.
    """
    if report is None or report.in_flight:
        return DrainProof.NONE
    if report.draining and report.asked_at > drain_ordered_at:
        return DrainProof.HOST_REPORT
    list_time = list_drain_time(bounds)
    if list_time is not None and report.asked_at >= drain_ordered_at + list_time:
        return DrainProof.HOST_LIST
    return DrainProof.NONE
