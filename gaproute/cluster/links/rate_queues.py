"""The send queues of links whose rate a fault limits."""

from __future__ import annotations

from typing import NamedTuple

from gaproute.cluster.addresses import Link
from gaproute.cluster.links.faults import LinkFault, LinkTraffic
from gaproute.units import SECOND

MAX_QUEUE_TIME = SECOND  # longest wait of a datagram: a router's queue is not endless


class QueueKey(NamedTuple):
    """One queue: that of a fault, for one link and sort of traffic."""

    fault_id: str
    link: Link
    traffic: LinkTraffic


class RateQueues:
    """When each link with a limited rate is free again; `free_at` has ns by queue."""

    def __init__(self) -> None:
        self.free_at: dict[QueueKey, int] = {}

    def enqueue(
        self, fault: LinkFault, link: Link, traffic: LinkTraffic, *, size: int, now: int
    ) -> int | None:
        """Adds `size` bytes; the ns until they have been sent, None if a datagram finds the queue full."""
        key = QueueKey(fault.fault_id, link, traffic)
        begins = max(now, self.free_at.get(key, 0))
        if traffic is LinkTraffic.DATAGRAMS and begins - now > MAX_QUEUE_TIME:
            return None
        self.free_at[key] = begins + int(size * SECOND / fault.spec.rate)
        return self.free_at[key] - now

    def forget(self, fault_id: str) -> None:
        """Removes the queues of a fault that has ended."""
        self.free_at = {key: when for key, when in self.free_at.items() if key.fault_id != fault_id}
