"""Zones that are cut off as a whole."""

from collections import Counter

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.parameters import EVIDENCE_LIFETIME

SILENT_HOSTS = 2  # of a zone with overdue attempts and none heard since: one alone may have slow work


class SilentZones:
    """Zones of which nothing is heard though attempts at several of their hosts are overdue.

    Guards against a whole zone cut off: found out host by host, each gateway would lose a request at every
    one of them. Harms a zone of few hosts that all have long work; it is tried again in a while.
    """

    def __init__(self, hosts: HostTable) -> None:
        self.hosts = hosts
        self.heard_at: dict[int, int] = {}  # zone: last sign of life
        self.silent_until: dict[int, int] = {}  # zone: until when it is taken for silent

    def heard(self, zone: int, now: int) -> None:
        """A host of the zone has answered."""
        self.heard_at[zone] = now
        self.silent_until.pop(zone, None)

    def attempt_sent(self, zone: int, now: int) -> None:
        """A silent zone is on trial: one attempt at a time until it is heard."""
        if zone in self.silent_until:
            self.silent_until[zone] = now + EVIDENCE_LIFETIME

    def check(self, now: int) -> None:
        """Look for zones that have become silent."""
        unheard = Counter([host.zone for host in self.hosts.active if host.overdue and self._unheard(host)])
        for zone, count in unheard.items():
            if count >= SILENT_HOSTS:
                self.silent_until[zone] = now + EVIDENCE_LIFETIME

    def _unheard(self, host: Host) -> bool:
        """Whether nothing of the zone was heard since the host's last overdue attempt."""
        last_overdue = max([host.in_flight[key] for key in host.overdue])
        return last_overdue > self.heard_at.get(host.zone, -1)
