"""What all processes of a maintenance run are made from, and the truth that outlives them."""

from dataclasses import dataclass, field

from gaproute.maintenance import RoundSpec
from gaproute.maintenance.host_report import NO_ORDER, OrderMark
from gaproute.simulation.rounds.fleet import DrawnFleet
from gaproute.simulation.rounds.judge import FloorJudge
from gaproute.simulation.rounds.kinds import RunKind


@dataclass(slots=True)
class HostMemory:
    """What a host's supervisor stores over the host's restarts.

    `fencing_token` and `mark` are the greatest that were accepted, `restarted_for` is the last round whose
    worker restarted the host.
    """

    fencing_token: int = 0
    mark: OrderMark = NO_ORDER
    restarted_for: str = ""


@dataclass(slots=True)
class RoundsScene:
    """`out_time`: ns that a host is away for maintenance. `demand`: the true one, lanes by function."""

    kind: RunKind
    fleet: DrawnFleet
    rounds: list[RoundSpec]
    out_time: int
    demand: dict[str, int]
    judge: FloorJudge
    memories: dict[str, HostMemory] = field(default_factory=dict)  # by host, once it was started
    never_back: set[str] = field(default_factory=set)  # hosts that do not come back
    handed_out: dict[str, int] = field(default_factory=dict)  # by host: the last fencing token handed out

    @property
    def all_hosts_started(self) -> bool:
        """Whether every host was started at least once."""
        return len(self.memories) == len(self.fleet.hosts)
