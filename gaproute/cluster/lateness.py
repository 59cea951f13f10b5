"""How late the harness ran: an emulator, client or parent that ran late measures itself, not the program."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from statistics import median
from typing import NamedTuple

from gaproute.cluster.clients import ClusterClients
from gaproute.cluster.context import ClusterContext
from gaproute.cluster.gateways import ClusterGateways, CpuWait
from gaproute.cluster.link_emulators import LinkEmulators
from gaproute.cluster.links.counts import LinkCounts
from gaproute.cluster.links.messages import ReportCounts
from gaproute.cluster.play_record import PlayRecord
from gaproute.scenarios.processes import Routine
from gaproute.units import MILLI, SECOND

CHECK_INTERVAL = 20 * MILLI  # between looks at the parent's own clock
# ms that the parent may be late whatever the script allows: it judges nobody, it begins and ends faults and
# notes when. A later one plays another script.
PARENT_ALLOWANCE = 500
# Share of the day for which the median gateway may have been ready without a core: beyond it the machine is
# measured, which other work or too many processes crowd.
MAX_CPU_WAIT = 0.05
MAX_SHOWN_ERRORS = 3


class Lateness(NamedTuple):
    """The longest lateness of each part, ms. The keys of `as_json` are those of a verdict."""

    parent: float
    clients: float
    hosts: float
    links: float

    def as_json(self) -> dict[str, float]:
        """The latenesses by part, as a verdict has them."""
        return {"parent": self.parent, "clients": self.clients, "hosts": self.hosts, "wires": self.links}


class HarnessLateness:
    """Watches a play. `host_latenesses()`: what the hosts noted of themselves during the day, ns.

    `cpu_wait`: the share of the day for which the median gateway was ready and had no core. `link_counts`:
    what each link emulator reported at the end, None where it reported nothing.
    """

    def __init__(
        self,
        context: ClusterContext,
        record: PlayRecord,
        *,
        emulators: LinkEmulators,
        gateways: ClusterGateways,
        clients: ClusterClients,
        host_latenesses: Callable[[], list[int]],
    ) -> None:
        self.context, self.loop, self.record = context, context.loop, record
        self.emulators, self.gateways, self.clients = emulators, gateways, clients
        self.host_latenesses = host_latenesses
        self.cpu_wait = 0.0
        self.link_counts: list[LinkCounts | None] = []
        self._parent = 0  # ns
        self._over = False
        self._waits_before: dict[int, CpuWait] = {}

    def watch(self) -> Routine:
        """A coroutine: watches the parent until `finish`. Lateness before the day does not count."""
        self.emulators.send(ReportCounts())
        due = self.loop.now()
        self._waits_before = self.gateways.cpu_waits()
        while not self._over:
            now = self.loop.now()
            self._parent = max(self._parent, now - due)
            due = now + CHECK_INTERVAL
            self.context.tap.flush()  # the folder tells of a run that is cut off as well
            yield self.loop.sleep(CHECK_INTERVAL)

    def finish(self) -> Routine:
        """A coroutine: takes the last figures. The day is over, and the gateways still run."""
        self._over, self.record.ended_at = True, self.loop.now()
        before = self._waits_before
        shares = [
            (wait.waited - before[pid].waited) / (wait.at - before[pid].at)
            for pid, wait in self.gateways.cpu_waits().items()
            if pid in before
        ]
        self.cpu_wait = median(shares) if shares else 0.0
        self.link_counts = yield from self.emulators.report()

    def longest(self) -> Lateness:
        """The longest lateness of each part until now."""
        links = [counts.late_ns for counts in self.link_counts if counts is not None]
        return Lateness(
            parent=self._parent / MILLI,
            clients=max(self.clients.latenesses(), default=0) / MILLI,
            hosts=max(self.host_latenesses(), default=0) / MILLI,
            links=max(links, default=0) / MILLI,
        )

    def void_reasons(self) -> Iterator[str]:
        """Why the measurement is void, as text."""
        settings = self.context.settings
        yield from self._late_parts(settings.late / MILLI)
        if self.cpu_wait > MAX_CPU_WAIT:
            yield (
                f"gateways were ready without a core for {self.cpu_wait:.0%} of the day, "
                f"{MAX_CPU_WAIT:.0%} are allowed"
            )
        if len(self.clients.latenesses()) < settings.clients:
            yield "clients did not end in time"
        for place, counts in enumerate(self.link_counts):
            yield from _emulator_faults(place, counts)
        errors = self.emulators.errors[:MAX_SHOWN_ERRORS]
        yield from (f"a wire did not follow: {error}" for error in errors)
        ready_after = self.record.ready_after
        if ready_after is not None and ready_after > settings.ready:
            yield (
                f"all were up after {ready_after / SECOND:.0f} s, {settings.ready / SECOND:.0f} are allowed"
            )

    def _late_parts(self, allowed: float) -> Iterator[str]:
        for part, late in self.longest().as_json().items():
            limit = max(allowed, PARENT_ALLOWANCE) if part == "parent" and allowed else allowed
            if late > limit:
                yield f"{part} ran up to {late:.0f} ms late, {limit:.0f} ms are allowed"


def _emulator_faults(place: int, counts: LinkCounts | None) -> Iterator[str]:
    if counts is None:
        yield f"wire {place} said nothing at the end"
        return
    faults = {
        "overrun": counts.overrun,
        "spilt": counts.discarded,
        "errors": counts.errors,
        "breaches": counts.violations,
    }
    yield from (f"wire {place}: {found} {what}" for what, found in faults.items() if found)
