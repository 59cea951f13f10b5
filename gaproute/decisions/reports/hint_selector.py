"""Decides which shared observations are used as hints, and hands them to the decisions.

The host list of this gateway, and whatever it observed itself, takes precedence over every hint. No hint
orders a load, makes a host active or lifts a limit. Times are ns.
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

# The least age of a hint, as a share of the keep-alive: another gateway's observation counts for less than an
# own one, however fresh it is. At this age the decay leaves 0.985 of its weight.
MIN_HINT_AGE_SHARE = 0.35
# Added at random, so that gateways that get the same observations at one moment rank the warm hosts
# differently and do not all send to one.
RANDOM_HINT_AGE_SHARE = 0.35
RANDOM_AGE_STEPS = 1000
# Instances of a function that are hinted at least, the freshest ones: the stable hash picks among them, and
# wrong observations of several origins mostly name different hosts
MIN_HINTED_INSTANCES = 4
# Instances hinted for each host that a function could fill: about as many as the decisions use
HINTED_INSTANCES_PER_HOST = 2.5
MAX_SLOWDOWN = 8.0  # a larger slowdown of a host counts as this

# Kinds that are not hinted one by one: instances are ranked first, the others only decide about hints
NOT_APPLIED_SINGLY = (
    ObservationKind.WARM_INSTANCE,
    ObservationKind.LISTED_STATE,
    ObservationKind.REQUEST_SHARE,
)

HostStartTimes = Mapping[
    str, int
]  # by active host of this gateway's list: its start, ns since 1970; 0: unknown


class WarmHint(NamedTuple):
    """A warm instance that the decisions may be given as a hint."""

    host: str
    function: str
    lanes: int
    seen_at: int  # ns; used as the time of the last use of the instance


class _Candidate(NamedTuple):
    observed_at: int
    hint: WarmHint


class HintSelector:
    """Makes hints of shared observations.

    `request_classes`: by name, the number of the class in the decisions; `keep_alive`: how long an idle
    instance stays loaded, ns.
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
        self, gateway: HintReceiver, now: int, start_times: HostStartTimes, subjects: Collection[Subject]
    ) -> int:
        """Hands the decisions the observations of these subjects as hints; returns how many they use."""
        functions = [subject[2] for subject in subjects if subject[0] == ObservationKind.WARM_INSTANCE]
        used_count = sum(
            [int(gateway.hint_instance(*hint)) for hint in self.warm_hints(now, start_times, functions)]
        )
        for subject in subjects:
            observation = self.observations.by_subject.get(subject)
            if observation is not None and subject[0] not in NOT_APPLIED_SINGLY:
                used_count += self._apply_hint(gateway, start_times, subject, observation)
        return used_count

    def warm_hints(
        self, now: int, start_times: HostStartTimes, functions: Iterable[str] | None = None
    ) -> list[WarmHint]:
        """Instances that may be hinted, of all functions if none are named.

        Of each function these are the freshest ones: as many as its share of the requests could fill, and
        `MIN_HINTED_INSTANCES` at least.
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
        """Why an observation of a host is not to be used, or None.

        `host_start`: the host's start by the list of the observing gateway; None if the observation has none.
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
        gateway: HintReceiver,
        start_times: HostStartTimes,
        subject: Subject,
        observation: SharedObservation,
    ) -> int:
        """Hands the decisions one observation that is not of an instance; returns how many hints they use."""
        kind, *names = subject
        value = observation.value[0]
        if kind == ObservationKind.USUAL_TIME:
            return int(gateway.hint_usual_time(names[0], value))
        if kind == ObservationKind.LOAD_TIME:
            return int(gateway.hint_usual_time(None, value))
        reason = self._rejection_reason(names[0], observation, None, start_times)
        if reason is None and kind == ObservationKind.SLOWDOWN:
            return int(gateway.hint_slowdown(names[0], min(value, MAX_SLOWDOWN), observation.observed_at))
        if reason is None and names[1] not in self._request_classes:
            reason = ObservationRejection.UNKNOWN_REQUEST_CLASS
        if reason is not None:
            self.observations.rejections[reason] += 1
            return 0
        request_class = self._request_classes[names[1]]
        return int(gateway.hint_failures(names[0], request_class, value, observation.observed_at))
