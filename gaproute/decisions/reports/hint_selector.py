"""Selects the shared observations that are used as hints, and passes them to the decisions.

The host list of this gateway and its own observations take precedence over every hint. No hint orders a load,
makes a host active or lifts a limit. Times are ns.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from gaproute.decisions.reports.observation_kinds import (
    ListedState,
    ObservationKind,
    ObservationRejection,
    SharedObservation,
    Subject,
)
from gaproute.decisions.reports.ports import HintReceiver
from gaproute.decisions.reports.shared_observations import SharedObservations
from gaproute.shared.randomness import RandomSource

# Smallest age of a hint, as a share of the keep-alive time: however recent another gateway's observation is,
# it has less weight than an observation of this gateway. At this age the decay leaves 0.985 of its weight.
MIN_HINT_AGE_SHARE = 0.35
# Share of the keep-alive time up to which a random age is added. Gateways that receive the same observations
# at the same moment then rank the warm hosts differently and do not all send to the same host.
RANDOM_HINT_AGE_SHARE = 0.35
RANDOM_AGE_STEPS = 1000
# Number of the most recent instances of a function that are hinted in any case. The stable hash chooses among
# them, and wrong observations of several origins mostly name different hosts.
MIN_HINTED_INSTANCES = 4
# Number of hinted instances for each host that the requests of a function could fill: about as many as the
# decisions use.
HINTED_INSTANCES_PER_HOST = 2.5
MAX_SLOWDOWN = 8.0  # value that replaces any larger slowdown of a host

# Kinds of which no single observation becomes a hint: warm instances are compared with each other first, and
# the other kinds only influence the selection.
NOT_APPLIED_SINGLY = (
    ObservationKind.WARM_INSTANCE,
    ObservationKind.LISTED_STATE,
    ObservationKind.REQUEST_SHARE,
)

# Start time (ns since 1970; 0: unknown) of each host that is active in this gateway's list.
HostStartTimes = Mapping[str, int]


class WarmHint(NamedTuple):
    """A warm instance that may become a hint."""

    host: str
    function: str
    lanes: int
    seen_at: int  # ns; the decisions take it as the time of the last use of the instance


class _Candidate(NamedTuple):
    observed_at: int
    hint: WarmHint


class HintSelector:
    """Selects hints from the shared observations and applies them.

    `keep_alive`: the time (ns) for which an idle instance stays loaded; `request_classes`: by the name of a
    request class, its number in the decisions.
    """

    def __init__(
        self,
        observations: SharedObservations,
        keep_alive: int,
        request_classes: Mapping[str, int],
        random: RandomSource,
    ) -> None:
        self.observations = observations
        self._keep_alive, self._request_classes, self._random = keep_alive, request_classes, random

    def apply_hints(
        self, receiver: HintReceiver, now: int, start_times: HostStartTimes, subjects: Collection[Subject]
    ) -> int:
        """Passes the observations of these subjects to the decisions; returns the number of hints used."""
        functions = [subject[2] for subject in subjects if subject[0] == ObservationKind.WARM_INSTANCE]
        used_count = sum(
            [int(receiver.hint_instance(*hint)) for hint in self.warm_hints(now, start_times, functions)]
        )
        for subject in subjects:
            observation = self.observations.by_subject.get(subject)
            if observation is not None and subject[0] not in NOT_APPLIED_SINGLY:
                used_count += self._apply_hint(receiver, start_times, subject, observation)
        return used_count

    def warm_hints(
        self, now: int, start_times: HostStartTimes, functions: Iterable[str] | None = None
    ) -> list[WarmHint]:
        """Returns the warm instances of these functions that become hints; None stands for all functions.

        Of each function, the most recent observations are selected: enough for the hosts that its share of
        the requests could fill, and at least `MIN_HINTED_INSTANCES`.
        """
        warm_hosts = self.observations.warm_hosts
        hints: list[WarmHint] = []
        for function in sorted(warm_hosts if functions is None else warm_hosts.keys() & set(functions)):
            candidates = self._candidates(now, start_times, function)
            candidates.sort(key=lambda candidate: (-candidate.observed_at, candidate.hint.host))
            useful_count = round(
                HINTED_INSTANCES_PER_HOST * self.observations.request_share(function) * len(start_times)
            )
            hints += [candidate.hint for candidate in candidates[: max(MIN_HINTED_INSTANCES, useful_count)]]
        return hints

    def _candidates(self, now: int, start_times: HostStartTimes, function: str) -> list[_Candidate]:
        candidates = []
        for host in sorted(self.observations.warm_hosts[function]):
            subject = (ObservationKind.WARM_INSTANCE.value, host, function)
            observation = self.observations.by_subject[subject]
            lanes, host_start = observation.value
            seen_at = min(observation.observed_at, now - self._random_age())
            reason = self._rejection_reason(host, observation, host_start, start_times)
            if reason is None and now - seen_at >= self._keep_alive:
                reason = ObservationRejection.EXPIRED
            if reason is not None:
                self.observations.rejections[reason] += 1
                continue
            candidates.append(_Candidate(observation.observed_at, WarmHint(host, function, lanes, seen_at)))
        return candidates

    def _random_age(self) -> int:
        share = (
            MIN_HINT_AGE_SHARE
            + RANDOM_HINT_AGE_SHARE * self._random.below(RANDOM_AGE_STEPS) / RANDOM_AGE_STEPS
        )
        return int(share * self._keep_alive)

    def _rejection_reason(
        self, host: str, observation: SharedObservation, host_start: int | None, start_times: HostStartTimes
    ) -> ObservationRejection | None:
        """Returns the reason to ignore an observation of a host, or None if it can be used.

        `host_start`: the start time of the host in the list of the gateway that observed it; None if the
        observation has none.
        """
        if host not in start_times:
            return ObservationRejection.NOT_LISTED
        if host_start is not None and start_times[host] != host_start:
            return ObservationRejection.OTHER_INCARNATION
        listed = self.observations.by_subject.get((ObservationKind.LISTED_STATE, host))
        if (
            listed is not None
            and listed.value[0] != ListedState.ACTIVE
            and listed.observed_at >= observation.observed_at
        ):
            return ObservationRejection.GONE_SINCE
        return None

    def _apply_hint(
        self,
        receiver: HintReceiver,
        start_times: HostStartTimes,
        subject: Subject,
        observation: SharedObservation,
    ) -> int:
        """Passes one observation of a kind that is applied singly; returns the number of hints used."""
        kind, *names = subject
        value = observation.value[0]
        if kind == ObservationKind.USUAL_TIME:
            return int(receiver.hint_usual_time(names[0], value))
        if kind == ObservationKind.LOAD_TIME:
            return int(receiver.hint_usual_time(None, value))
        reason = self._rejection_reason(names[0], observation, None, start_times)
        if reason is None and kind == ObservationKind.SLOWDOWN:
            return int(receiver.hint_slowdown(names[0], min(value, MAX_SLOWDOWN), observation.observed_at))
        if reason is None and names[1] not in self._request_classes:
            reason = ObservationRejection.UNKNOWN_REQUEST_CLASS
        if reason is not None:
            self.observations.rejections[reason] += 1
            return 0
        request_class = self._request_classes[names[1]]
        return int(receiver.hint_failures(names[0], request_class, value, observation.observed_at))
