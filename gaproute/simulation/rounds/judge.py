"""What all rounds did to the true capacity at the hosts, judged with a view of all hosts.

Defined before anything was measured. At each change, for each row of the capacity floor (by the true demand;
of a round as long as it runs), W is the lanes of hosts that truly take new requests. `taken` is what the
hosts that rounds have in hand (draining, away, or back without all that they had) gave before and do not give
now.

- W >= floor: the floor is kept.
- W < floor and W + taken < floor: `own`: it would be broken without any round too. Counted, no breach.
- W < floor <= W + taken: a breach: without the round it would be kept. It is `promised` where what failed by
  itself is no more than the round had to look ahead for (one host, rack or zone, by `survive`; nothing where
  that is empty) and demand has not risen since the round took its last host; else `beyond`.

A host that failed by itself counts as failed until it has again what it had; one that gave nothing just then
does not count.
"""

from collections.abc import Callable, Collection, Iterable, Mapping
from enum import StrEnum
from typing import NamedTuple, TypeAlias

from gaproute.maintenance import MaintenanceHost, RoundController, RoundSpec, capacity_floor
from gaproute.maintenance.capacity_floor import CapacityKey

WarmLanes: TypeAlias = Mapping[str, Mapping[str, int]]  # lanes by host and function


class BreachKind(StrEnum):
    """What a breach of the floor says of the round; see the module."""

    PROMISED = "promised"
    BEYOND = "beyond"


class FloorBreach(NamedTuple):
    """The floor of a row was broken by a round.

    `causes`: what had failed by then; `failed_domains`: how many hosts, racks or zones that were;
    `last_change`: what had just happened.
    """

    time: int
    round_name: str
    row: CapacityKey
    floor: int
    lanes: int
    kind: BreachKind
    causes: tuple[str, ...]
    failed_domains: int
    last_change: str


class RoundEnd(NamedTuple):
    """How a round ended: its last stage, and why."""

    time: int
    stage: str
    why: str


class LogLine(NamedTuple):
    """What a round logged at a scheduler."""

    time: int
    scheduler: str
    line: tuple[str, ...]


class Failure(NamedTuple):
    """Why a host failed by itself, and the functions that it had warm."""

    cause: str
    copies: tuple[str, ...]


class FloorJudge:
    """Records everything that happens to hosts and rounds; `judge` looks at the floor. Times are true times.

    `changed`: something happened since the last look. `violations`: texts for the run's checks.
    """

    def __init__(self, hosts: Mapping[str, MaintenanceHost], true_time: Callable[[], int]) -> None:
        self.hosts, self.true_time = hosts, true_time
        self.breaches: list[FloorBreach] = []
        self.own_breaches = 0
        self.violations: list[str] = []
        self.log: list[LogLine] = []
        self.ends: dict[str, RoundEnd] = {}  # by round
        self.restarts = self.lost_requests = 0
        self.changed = True
        self._last_change = ""
        self._in_hand: dict[str, tuple[str, ...]] = {}  # by host in a round's hands: the copies it had
        self._failed: dict[str, Failure] = {}  # by host
        self._demand_rose = False  # since a round last took a host
        self._warm: WarmLanes = {}  # at the last look
        self._standing: set[tuple[str, CapacityKey]] = set()  # breaches by round and row; membership only

    # What happens

    def record_drain(self, host: str, copies: Collection[str]) -> None:
        """A round takes the host, which has these copies."""
        self._in_hand.setdefault(host, tuple(copies))
        self._demand_rose = False
        self._record_change(f"drain {host}")

    def record_serve(self, host: str, copies: Collection[str]) -> None:
        """A round gives the host back, which has these copies."""
        self.changed = True
        if set(copies) >= set(self._in_hand.get(host, ())):
            self._in_hand.pop(host, None)

    def record_restart(self, host: str, in_flight: int) -> None:
        """A worker restarts the host, whose requests in flight are lost."""
        self.restarts += 1
        self._record_change(f"out {host}")
        if in_flight:
            self.lost_requests += in_flight
            self.violations.append(f"no restart with requests in flight: {in_flight} at {host}")

    def record_failure(self, host: str, cause: str) -> None:
        """The host fails by itself. One that gave nothing takes nothing with it."""
        if lanes := self._warm.get(host):
            self._failed.setdefault(host, Failure(cause, tuple(lanes)))
        self._record_change(f"{cause} {host}")

    def record_demand_rise(self) -> None:
        """The true demand has risen."""
        self._demand_rose = True
        self._record_change("demand")

    def record_progress(self, scheduler: str, controller: RoundController) -> None:
        """Takes away what the round has logged."""
        now = self.true_time()
        self.log += [LogLine(now, scheduler, tuple(line)) for line in controller.log.take_events()]
        stage, name = controller.log.stage, controller.spec.name
        if stage in ("ended", "refused") and name not in self.ends:
            self.ends[name] = RoundEnd(now, stage, controller.log.reason)
            self.changed = True

    def _record_change(self, change: str) -> None:
        self.changed, self._last_change = True, change

    # Judging

    def judge(
        self,
        warm: WarmLanes,
        cold: Collection[str],
        floors: Iterable[tuple[RoundSpec, Mapping[CapacityKey, int]]],
    ) -> None:
        """Looks at the floors of the rounds that run. `warm`: true lanes now; `cold`: hosts that warm up."""
        self._forget_recovered(warm, cold)
        self._warm, self.changed = warm, False
        untouched = {
            name: dict.fromkeys(self._in_hand[name], self.hosts[name].lanes)
            if name in self._in_hand
            else lanes
            for name, lanes in warm.items()
        }
        have = capacity_floor.available_lanes(self.hosts, warm)
        without_rounds = capacity_floor.available_lanes(self.hosts, untouched)
        for spec, floor in floors:
            for row, needed in floor.items():
                lanes = have.get(row, 0)
                if lanes >= needed:
                    self._standing.discard((spec.name, row))
                elif (spec.name, row) not in self._standing:
                    self._standing.add((spec.name, row))
                    self._count_breach(spec, row, needed, lanes, own=without_rounds.get(row, 0) < needed)

    def _forget_recovered(self, warm: WarmLanes, cold: Collection[str]) -> None:
        """Hosts that have again what they had are in no round's hands and failed no more."""
        for name in [
            name
            for name, copies in self._in_hand.items()
            if set(warm[name]) >= set(copies) and name not in cold
        ]:
            del self._in_hand[name]
        for name in [
            name for name, failure in self._failed.items() if set(warm[name]) >= set(failure.copies)
        ]:
            del self._failed[name]

    def _count_breach(self, spec: RoundSpec, row: CapacityKey, needed: int, lanes: int, *, own: bool) -> None:
        """`own`: the floor would be broken without any round too."""
        if own:
            self.own_breaches += 1
        else:
            self.breaches.append(self._breach(spec, row, needed, lanes))

    def _breach(self, spec: RoundSpec, row: CapacityKey, needed: int, lanes: int) -> FloorBreach:
        level = spec.survivable_failure
        domains = {
            name if level in ("", "host") else getattr(self.hosts[name], level) for name in self._failed
        }
        promised = not self._demand_rose and len(domains) <= (1 if level else 0)
        causes = {failure.cause for failure in self._failed.values()}
        if self._demand_rose:
            causes.add("demand")
        return FloorBreach(
            time=self.true_time(),
            round_name=spec.name,
            row=row,
            floor=needed,
            lanes=lanes,
            kind=BreachKind.PROMISED if promised else BreachKind.BEYOND,
            causes=tuple(sorted(causes)),
            failed_domains=len(domains),
            last_change=self._last_change,
        )
