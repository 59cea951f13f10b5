"""Which Raft group is played, and how hard."""

from dataclasses import dataclass
from enum import StrEnum

from gaproute.shared.leases.commands import CLOCK_ERROR_PER_MILLE
from gaproute.units import SECOND

# The drift that leases allow for, in millionths; CLOCK_ERROR_PER_MILLE is per mille.
ALLOWED_DRIFT = CLOCK_ERROR_PER_MILLE * 1_000


class RunKind(StrEnum):
    """What a run is about. The values are what commands take.

    `common`: all faults; half of the runs lose disks.
    `tight`: one resource that all clients want; the nodes' clocks are fast and the clients' slow as far as is
    allowed, so that a lease expires at the group as shortly after its client's expiry as may be.
    `forgotten`: all nodes lose their disks at once while a client is cut off.
    """

    COMMON = "common"
    TIGHT = "tight"
    FORGOTTEN = "forgotten"


# Of a lease, which is also the longest one. common: short enough for a run to see many expire; forgotten:
# longer than a new group needs to begin.
LEASE_DURATIONS = {
    RunKind.COMMON: 2 * SECOND,
    RunKind.TIGHT: 3 * SECOND,
    RunKind.FORGOTTEN: 8 * SECOND,
}


@dataclass(frozen=True, kw_only=True, slots=True)
class RaftGroupSetup:
    """A group of `nodes` and a spare one, with `clients` of its leases. `max_drift`: millionths."""

    kind: RunKind = RunKind.COMMON
    nodes: int = 3
    clients: int = 3
    max_drift: int = ALLOWED_DRIFT

    @property
    def lease_duration(self) -> int:
        """Of a lease, ns."""
        return LEASE_DURATIONS[self.kind]

    @property
    def size(self) -> int:
        """All processes: nodes, the spare node, clients, in this order."""
        return self.nodes + 1 + self.clients


DEFAULT_SETUP = RaftGroupSetup()
