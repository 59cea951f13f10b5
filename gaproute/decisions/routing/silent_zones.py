"""Detects zones that are cut off as a whole."""

from collections import Counter

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.parameters import EVIDENCE_LIFETIME

SILENT_HOSTS = 2  # silent hosts that make a zone silent: one alone may have slow work


class SilentZones:
    """Zones that do not answer, while attempts at several of their hosts are overdue.

    If a zone that is cut off were detected host by host, each gateway would lose a request at every host of
    the zone. A zone of few hosts that all have long work is wrongly taken for silent; it is tried again after
    a while.
    """

    def __init__(self, hosts: HostTable) -> None:
        self.hosts = hosts
        self.answered_at: dict[int, int] = {}  # by zone: when one of its hosts last answered
        self.silent_until: dict[int, int] = {}  # by zone: until when it counts as silent

    def record_answer(self, zone: int, now: int) -> None:
        """Note an answer of a host of the zone."""
        self.answered_at[zone] = now
        self.silent_until.pop(zone, None)

    def record_attempt(self, zone: int, now: int) -> None:
        """Note an attempt in the zone: a silent one gets one attempt at a time until an answer comes."""
        if zone in self.silent_until:
            self.silent_until[zone] = now + EVIDENCE_LIFETIME

    def detect(self, now: int) -> None:
        """Find zones that have become silent."""
        unanswered = Counter(
            [host.zone for host in self.hosts.active if host.overdue and self._has_silent_zone(host)]
        )
        for zone, count in unanswered.items():
            if count >= SILENT_HOSTS:
                self.silent_until[zone] = now + EVIDENCE_LIFETIME

    def _has_silent_zone(self, host: Host) -> bool:
        """Whether no host of the zone has answered since the host's last overdue attempt."""
        last_overdue = max([host.in_flight[key] for key in host.overdue])
        return last_overdue > self.answered_at.get(host.zone, -1)
