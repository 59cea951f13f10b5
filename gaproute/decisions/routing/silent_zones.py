"""Zones that are cut off as a whole."""

from collections import Counter

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.parameters import EVIDENCE_LIFETIME

SILENT_HOSTS = 2  # of a zone with overdue attempts and no answer since: one alone may have slow work


class SilentZones:
    """Zones without an answer though attempts at several of their hosts are overdue.

    Guards against a whole zone cut off: found out host by host, each gateway would lose a request at every
    one of them. Harms a zone of few hosts that all have long work; it is tried again in a while.
    """

    def __init__(self, hosts: HostTable) -> None:
        self.hosts = hosts
        self.answered_at: dict[int, int] = {}  # zone: last answer
        self.silent_until: dict[int, int] = {}  # zone: until when it is taken for silent

    def answered(self, zone: int, now: int) -> None:
        """A host of the zone has answered."""
        self.answered_at[zone] = now
        self.silent_until.pop(zone, None)

    def attempt_sent(self, zone: int, now: int) -> None:
        """A silent zone is on trial: one attempt at a time until an answer comes."""
        if zone in self.silent_until:
            self.silent_until[zone] = now + EVIDENCE_LIFETIME

    def check(self, now: int) -> None:
        """Look for zones that have become silent."""
        unanswered = Counter(
            [host.zone for host in self.hosts.active if host.overdue and self._unanswered(host)]
        )
        for zone, count in unanswered.items():
            if count >= SILENT_HOSTS:
                self.silent_until[zone] = now + EVIDENCE_LIFETIME

    def _unanswered(self, host: Host) -> bool:
        """Whether no host of the zone has answered since the host's last overdue attempt."""
        last_overdue = max([host.in_flight[key] for key in host.overdue])
        return last_overdue > self.answered_at.get(host.zone, -1)
