"""Hints: what other gateways or an earlier run of this gateway observed, and how far they are followed.

A hint expires like an observation of this gateway and is replaced by any observation of its own. A hint gives
no credit to hosts that warm up, causes no load order and lifts no limit. Only a gateway that receives the
observations of others (`decisions/reports/shared_observations.py`) has hints.
"""

from collections.abc import MutableSequence, Sequence

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

# Wrong hints after which no hint is followed: one may be of an instance that was unloaded a moment ago.
MAX_WRONG_HINTS = 2
MAX_TRIALS = 2  # hints on trial at a time: a right hint costs a tenth of a second, a wrong hint a load
MIN_RIGHT_HINTS = 8  # right hints, with no wrong one, before the function mix of others is adopted
MIN_CHOICES = 2  # hosts from which one is drawn if the first choice of the hash has no hint


class Hints:
    """Stores hints and follows a few at a time on trial, until too many have proved wrong."""

    def __init__(self, tables: Tables, measurements: Measurements, random: RandomGenerator) -> None:
        self.hosts, self.functions, self.function_mix, self.ranking = tables
        self.answer_times, self.outliers = measurements.answer_times, measurements.outliers
        self.random = random
        self.trials: dict[tuple[str, str], int] = {}  # (function, host): when a hint was first followed
        self.right_count, self.wrong_count = 0, 0  # hints that proved right or wrong
        self.hinted_function_mix: Sequence[str] | None = None  # see `set_function_mix`

    def add_instance(self, host_id: str, name: str, lanes: int, seen: int) -> bool:
        """Stores that an instance was seen at the host, for the next request of the function."""
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
        """Records one failure of the class at a host that has no results yet."""
        host = self._active_host_running_since(host_id, seen)
        if host is None or host.results:
            return False
        self.outliers.record(host, seen, request_class, ERROR_WEIGHT * failure_weight)
        return True

    def add_slowdown(self, host_id: str, slowdown: float, seen: int) -> bool:
        """Records how many times slower than usual a host with unknown answer times is."""
        host = self._active_host_running_since(host_id, seen)
        if host is None or host.relative_answer_times:
            return False
        host.slowdown, host.slowdown_until = slowdown, seen + EVIDENCE_LIFETIME
        return True

    def _active_host_running_since(self, host_id: str, seen: int) -> Host | None:
        """Returns the host if it is active and has not restarted since that time."""
        host = self.hosts.by_id.get(host_id)
        return host if host is not None and host.active and seen > host.instances_lost_at else None

    def add_usual_time(self, name: str | None, duration: int) -> bool:
        """Records the usual answer time (ns) of a function, or of loads if `name` is None, unless known."""
        times: MutableSequence[int]
        if name is None:
            times = self.answer_times.load_times
        elif name in self.functions.by_name:
            times = self.functions.by_name[name].answer_times
        else:
            return False
        if times:
            return False
        times.append(duration)
        return True

    def set_function_mix(self, names: Sequence[str]) -> None:
        """Stores the functions of the last requests that other gateways served.

        They are adopted once hints have proved right: a function mix spreads the hot functions over hosts
        whose instances this gateway knows only from hints.
        """
        self.hinted_function_mix = names[: MIX_SIZE // 2]

    def follow_hint(self, now: int, name: str, function: Function) -> None:
        """Follows a hint on an instance of a function of which this gateway has seen no instance itself.

        A wrong hint costs a load that the stable hash would have avoided, so only two hints are on trial at a
        time, and no hint is followed once two have proved wrong. Right hints do not offset wrong ones: a hot
        function has instances at nearly every host, so any hint on it proves right. The first choice of the
        hash is tried if it has a hint, otherwise one of the next choices.
        """
        hinted, function.hinted_at = function.hinted_at, {}
        order = self._ranked(name, hinted)
        if function.proven_at or not order or self.wrong_count >= MAX_WRONG_HINTS:
            return
        self.trials = {key: at for key, at in self.trials.items() if now - at < EVIDENCE_LIFETIME}
        if len(self.trials) >= MAX_TRIALS:
            function.hinted_at = hinted  # a later request follows the hint
            return
        choices = max(MIN_CHOICES, int(SPREAD_FACTOR * self.function_mix.host_demand(name)))
        if self.ranking.ranks(name, function).get(order[0]) == 0:
            choices = 1
        # Drawn at random, so that not all gateways try the same host.
        host_id = order[self.random.below(min(choices, len(order)))]
        self.trials[name, host_id] = now
        function.last_used.setdefault(host_id, hinted[host_id])

    def _ranked(self, name: str, host_ids: Sequence[str] | dict[str, int]) -> list[str]:
        """Returns the ids of the active hosts among these, in the order of the stable hash."""
        known = [self.hosts.by_id[host_id] for host_id in host_ids if host_id in self.hosts.by_id]
        keys = rendezvous_keys(name, [host for host in known if host.active])
        return [host_id for _, host_id in sorted(keys)]

    def verify(self, name: str, host_id: str, found: InstanceStatus) -> None:
        """Records whether a hint on trial was right, by what an attempt found at the host."""
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
