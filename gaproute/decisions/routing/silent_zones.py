"""Detects zones from which no host answers, for example because the network to them is cut."""

from collections import Counter

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.parameters import EVIDENCE_LIFETIME

MAX_REMEMBERED_ZONES = 4096  # beyond which zones without hosts are forgotten: zones may be ever new
MIN_SILENT_HOSTS = 2  # silent hosts that make their zone silent: a single host may run slow work


class SilentZones:
    """Tracks silent zones: none of their hosts answers while attempts at several of them are overdue.

    If an unreachable zone were detected host by host, each gateway would lose a request at every host of the
    zone. A zone of few hosts that all run long work is wrongly classified as silent; it is tried again after
    `EVIDENCE_LIFETIME`.
    """

    def __init__(self, hosts: HostTable) -> None:
        self.hosts = hosts
        self.answered_at: dict[int, int] = {}  # by zone: time of the last answer of any host
        self.silent_until: dict[int, int] = {}  # by zone: time until which it is silent

    def record_answer(self, zone: int, now: int) -> None:
        """Records an answer of a host of the zone."""
        self.answered_at[zone] = now
        if len(self.answered_at) > MAX_REMEMBERED_ZONES:
            self._forget_unused_zones()
        self.silent_until.pop(zone, None)

    def _forget_unused_zones(self) -> None:
        used = {host.zone for host in self.hosts.by_id.values()}
        for times in (self.answered_at, self.silent_until):
            for unused in [zone for zone in times if zone not in used]:
                del times[unused]

    def record_attempt(self, zone: int, now: int) -> None:
        """Records an attempt in the zone; a silent zone gets one attempt at a time until it answers."""
        if zone in self.silent_until:
            self.silent_until[zone] = now + EVIDENCE_LIFETIME

    def detect(self, now: int) -> None:
        """Detects zones that have become silent."""
        unanswered = Counter(
            [host.zone for host in self.hosts.active if host.overdue and self._has_silent_zone(host)]
        )
        for zone, count in unanswered.items():
            if count >= MIN_SILENT_HOSTS:
                self.silent_until[zone] = now + EVIDENCE_LIFETIME

    def _has_silent_zone(self, host: Host) -> bool:
        """Whether no host of the zone has answered since the last overdue attempt at this host."""
        last_overdue = max([host.in_flight[key] for key in host.overdue])
        return last_overdue > self.answered_at.get(host.zone, -1)
