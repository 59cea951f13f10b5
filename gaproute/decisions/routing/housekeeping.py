"""Polls of the host list, probes of hosts and cleanup, independent of requests."""

from collections.abc import Generator
from typing import Any

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing.load_report_sharing import LoadReportSharing
from gaproute.decisions.routing.tables import Tables
from gaproute.interface import Action, PollHostList, Probe, RoutingSettings, Wait
from gaproute.units import MILLI, SECOND

PROBE_INTERVAL = 700 * MILLI  # between probes of one host if load reports come only in answer to probes
BUDGET_CHECK_INTERVAL = 100 * MILLI  # between checks whether the budget allows a probe
CLEANUP_INTERVAL = SECOND  # between cleanups: a cleanup costs CPU, and unused functions need little memory


class Housekeeping:
    """Polls the host list if it has to be polled, probes hosts that report only to probes, and cleans up."""

    def __init__(
        self,
        settings: RoutingSettings,
        tables: Tables,
        sharing: LoadReportSharing,
        random: RandomGenerator,
    ) -> None:
        self.hosts, self.functions = tables.hosts, tables.functions
        self.report_sharing, self.random = sharing, random
        self.probing = settings.probes_allowed and settings.reports_by_probe
        self.host_list_wanted = settings.host_list_polled

    def run(self, now: int) -> Generator[Action, Any, None]:
        """Runs the housekeeping of one gateway as long as the gateway runs."""
        cleaned_at = now
        while True:
            if self.host_list_wanted:
                self.host_list_wanted = False
                yield PollHostList()
            if self.probing:
                host = self.report_sharing.host_to_probe(now, self.hosts.active, PROBE_INTERVAL, self.random)
                if host is not None:
                    yield Probe(host.id)
            if now - cleaned_at >= CLEANUP_INTERVAL:
                cleaned_at = now
                self.forget_departed()
                self.functions.forget_unused(now)
            now, _ = yield Wait(now + self._interval())

    def _interval(self) -> int:
        if not self.probing:
            return CLEANUP_INTERVAL
        if not self.report_sharing.can_afford_probe():
            return BUDGET_CHECK_INTERVAL
        return PROBE_INTERVAL // max(1, len(self.hosts.active))

    def forget_departed(self) -> None:
        """Forgets hosts that left the list and have no attempt in flight."""
        self.hosts.remove_departed()
