"""Hints: what other gateways or an earlier run of this one observed, and how far this gateway relies on it.

A hint expires like an observation of this gateway and is replaced by any of its own. It gives hosts that warm
up no credit, causes no load order and lifts no limit. Only a gateway that gets the observations of others
(`decisions/reports/shared_observations.py`) has hints.
"""

from collections.abc import Sequence

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.measurements import Measurements
from gaproute.decisions.routing.parameters import (
    ERROR_WEIGHT,
    EVIDENCE_LIFETIME,
    MIX_SIZE,
    SPREAD_FACTOR,
)
from gaproute.decisions.routing.ranking import rendezvous_keys
from gaproute.decisions.routing.tables import Tables
from gaproute.interface import InstanceStatus

MAX_WRONG_HINTS = 2  # wrong hints after which none is followed: one may be of an instance that has just gone
MAX_TRIALS = 2  # hints on trial at a time: a right one costs a tenth of a second, a wrong one a load
MIN_RIGHT_HINTS = 8  # right hints, with none wrong, before the function mix of others is taken over
MIN_CHOICES = 2  # hosts among which one is drawn where the first choice of the hash was not hinted


class Hints:
    """Takes hints and follows a few of them at a time on trial, until too many have proved wrong."""

    def __init__(self, tables: Tables, measurements: Measurements, random: RandomGenerator) -> None:
        self.hosts, self.functions, self.function_mix, self.ranking = tables
        self.answer_times, self.outliers = measurements.answer_times, measurements.outliers
        self.random = random
        self.trials: dict[tuple[str, str], int] = {}  # (function, host): when a hint was first followed
        self.right_count, self.wrong_count = 0, 0  # hints that proved so
        self.hinted_function_mix: Sequence[str] | None = None  # see `set_function_mix`

    def add_instance(self, host_id: str, name: str, lanes: int, seen: int) -> bool:
        """An instance was seen at the host. The hint is considered when a request of the function comes."""
        host = self.hosts.by_id.get(host_id)
        if host is None or not host.active or seen <= host.instances_lost_at:
            return False
        function = self.functions.find_or_add(name, lanes)
        function.used_at = max(function.used_at, seen)
        if function.proven_at or function.hinted_at.get(host_id, -1) >= seen:
            return False
        function.hinted_at[host_id] = seen
        return True

    def add_failure(self, host_id: str, request_class: int, failure_weight: float, seen: int) -> bool:
        """Attempts of the class failed at the host: one failure is recorded where it has no results yet."""
        host = self._active_host_running_since(host_id, seen)
        if host is None or host.results:
            return False
        self.outliers.record(host, seen, request_class, ERROR_WEIGHT * failure_weight)
        return True

    def add_slowdown(self, host_id: str, slowdown: float, seen: int) -> bool:
        """The host answered that many times slower than usual; taken where its pace is not known yet."""
        host = self._active_host_running_since(host_id, seen)
        if host is None or host.relative_answer_times:
            return False
        host.slowdown, host.slowdown_until = slowdown, seen + EVIDENCE_LIFETIME
        return True

    def _active_host_running_since(self, host_id: str, seen: int) -> Host | None:
        """The host, where it is active and has run since before that time."""
        host = self.hosts.by_id.get(host_id)
        return host if host is not None and host.active and seen > host.instances_lost_at else None

    def add_usual_time(self, name: str | None, took: int) -> bool:
        """The usual answer time (ns) of a function, or of loads (`name` None); taken where none is known."""
        if name is None:
            times = self.answer_times.load_times
        elif name in self.functions.by_name:
            times = self.functions.by_name[name].answer_times
        else:
            return False
        if times:
            return False
        times.append(took)
        return True

    def set_function_mix(self, names: Sequence[str]) -> None:
        """The functions of the last requests that other gateways served.

        They are taken over once hints have proved right: a function mix spreads the hot functions over hosts
        of which this gateway knows only by hints whether they have instances.
        """
        self.hinted_function_mix = names[: MIX_SIZE // 2]

    def follow_hint(self, now: int, name: str, function: Function) -> None:
        """Follow a hint on the instances of a function of which this gateway has seen none itself.

        A wrong hint costs a load that the stable hash would have avoided, so only two hints are on trial at a
        time, and none is followed once two have proved wrong. Right ones do not make up for wrong ones: a hot
        function has instances at nearly every host, so any hint on it proves right. The first choice of the
        hash is tried where it was hinted, else one of the next choices.
        """
        hinted, function.hinted_at = function.hinted_at, {}
        order = self._ranked(name, hinted)
        if function.proven_at or not order or self.wrong_count >= MAX_WRONG_HINTS:
            return
        self.trials = {key: at for key, at in self.trials.items() if now - at < EVIDENCE_LIFETIME}
        if len(self.trials) >= MAX_TRIALS:
            function.hinted_at = hinted  # its turn comes with a later request
            return
        choices = max(MIN_CHOICES, int(SPREAD_FACTOR * self.function_mix.host_demand(name)))
        if self.ranking.ranks(name, function).get(order[0]) == 0:
            choices = 1
        host_id = order[self.random.below(min(choices, len(order)))]  # not all gateways try the same
        self.trials[name, host_id] = now
        function.last_used.setdefault(host_id, hinted[host_id])

    def _ranked(self, name: str, host_ids: Sequence[str] | dict[str, int]) -> list[str]:
        """The active ones of these hosts, by the stable hash."""
        known = [self.hosts.by_id[host_id] for host_id in host_ids if host_id in self.hosts.by_id]
        keys = rendezvous_keys(name, [host for host in known if host.active])
        return [host_id for _, host_id in sorted(keys)]

    def verify(self, name: str, host_id: str, found: InstanceStatus) -> None:
        """Record whether a hint on trial was right, by what an attempt found at the host."""
        if self.trials.pop((name, host_id), None) is None or found is InstanceStatus.UNKNOWN:
            return
        if found is not InstanceStatus.WARM:
            self.wrong_count += 1
            return
        self.right_count += 1
        proven = self.right_count >= MIN_RIGHT_HINTS and not self.wrong_count
        if self.hinted_function_mix and proven and len(self.function_mix.recent) < MIX_SIZE // 2:
            self.function_mix.prepend(self.hinted_function_mix)
            self.hinted_function_mix = None
