"""What may happen in a maintenance run, and who takes part in it."""

from enum import StrEnum

from gaproute.simulation.seeded_random import SeededRandom

RAFT_NODES = ("k1", "k2", "k3")
GATEWAYS = ("g1", "g2")
# The name of the process that restarts hosts. The random numbers of a process follow from its name, so that
# another name would give other runs.
WORKER = "crew"


class RunKind(StrEnum):
    """What happens in a run. The values are what tests and results name."""

    NONE = "none"
    LINKS = "links"  # all faults of links, clocks and processes, but few of them
    HOST_DIES = "died"
    TWO_HOSTS_DIE = "died two"
    ZONE_CUT = "zone cut"
    DEMAND = "demand"  # demand doubles
    KILLED = "killed"  # schedulers are killed
    TWO_ROUNDS = "two rounds"
    WITHDRAWN = "withdrawn"  # the round is withdrawn
    NEVER_BACK = "never back"  # a host does not come back
    PULLED = "pulled"  # a host is taken out although nobody allowed it
    ALL = "all"  # links and two rounds for certain, the others by chance

    def includes(self, kind: "RunKind") -> bool:
        """Whether a run of this kind may have what happens in those of `kind`."""
        return self in (kind, RunKind.ALL)

    def draw(self, random: SeededRandom, *kinds: "RunKind") -> bool:
        """Whether a run of this kind has what happens in those of `kinds`; of those with all, one in two."""
        return self in kinds or self is RunKind.ALL and random.below(2) == 1

    @property
    def has_two_rounds(self) -> bool:
        """Whether two schedulers run a round each."""
        return self.includes(RunKind.TWO_ROUNDS)

    @property
    def schedulers(self) -> tuple[str, ...]:
        """The names of the schedulers."""
        return ("s1", "s2") if self.has_two_rounds else ("s1",)
