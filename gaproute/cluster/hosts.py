"""The hosts of a cluster: the link emulators learn where each listens, and which are down."""

from __future__ import annotations

import random

from gaproute.cluster.context import ClusterContext
from gaproute.cluster.link_emulators import LinkEmulators
from gaproute.cluster.processes import ClusterProcesses
from gaproute.cluster.slot_sets import NamedSlot
from gaproute.cluster.start_limiter import StartLimiter
from gaproute.scenarios.context import DayModel
from gaproute.scenarios.hosts import DayHost, DayHosts
from gaproute.scenarios.processes import Routine
from gaproute.scenarios.script_lines import DayFaultLine


class ClusterHosts(DayHosts):
    """All hosts of one play. `models`: what they can load."""

    def __init__(
        self,
        context: ClusterContext,
        processes: ClusterProcesses,
        models: list[DayModel],
        *,
        starts: StartLimiter,
        emulators: LinkEmulators,
    ) -> None:
        chance = random.Random(context.seed)
        super().__init__(context.script, context.seed, processes, models, chance)
        self.context, self.starts, self.emulators = context, starts, emulators

    def start(self, host: DayHost, *, warm: bool) -> Routine:
        """A coroutine: starts the host's process, at the address that it had before, if any."""
        yield from self.starts.run(super().start(host, warm=warm))
        self.place(host)

    def kill(self, host: DayHost) -> None:
        """Kills the host's process.

        Connections to it are refused from then on: one that is accepted and then reset would prove less.
        """
        super().kill(host)
        self.place(host, refuses=True)

    def place(self, host: DayHost, *, refuses: bool = False) -> None:
        """Sends the link emulators the host's address, and whether connections to it are refused."""
        self.emulators.place_slots(self.context.plan.host_slot(host, refuses=refuses))

    def choose(self, line: DayFaultLine) -> list[DayHost]:
        """The hosts that a line of the script concerns, drawn by its own chance."""
        candidates = self.candidates(line)
        return self.context.line_random(line).sample(candidates, min(line.hosts, len(candidates)))

    def named_slots(self) -> list[NamedSlot]:
        """All slots of the cluster that there are now, for a script's sets."""
        return self.context.plan.named_slots(self.by_name.values())
