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
MIN_AGE_SHARE = 0.35
# Added at random, so that gateways that get the same observations at one moment rank the warm hosts
# differently and do not all send to one.
RANDOM_AGE_SHARE = 0.35
RANDOM_STEPS = 1000
# Instances of a function that are hinted at least, the freshest ones: the stable hash picks among them, and
# wrong observations of several origins mostly name different hosts
MIN_INSTANCES = 4
# Instances hinted for each host that a function could fill: about as many as the decisions use
INSTANCE_SPREAD = 2.5
MAX_SLOWDOWN = 8.0  # a larger slowdown of a host counts as this

# Kinds that are not hinted one by one: instances are ranked first, the others only decide about hints
NOT_FOLLOWED_SINGLY = (
    ObservationKind.WARM_INSTANCE,
    ObservationKind.LISTED_STATE,
    ObservationKind.REQUEST_SHARE,
)

Starts = Mapping[str, int]  # by active host of this gateway's list: its start, ns since 1970; 0: unknown


class WarmHint(NamedTuple):
    """A warm instance that the decisions may be given as a hint."""

    host: str
    function: str
    lanes: int
    seen: int  # ns; used as the time of the last use of the instance


class _Candidate(NamedTuple):
    observed_at: int
    hint: WarmHint


class ObservationFollower:
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

    def follow(self, gateway: HintReceiver, now: int, starts: Starts, subjects: Collection[Subject]) -> int:
        """Hands the decisions the observations of these subjects as hints; returns how many they use."""
        functions = [subject[2] for subject in subjects if subject[0] == ObservationKind.WARM_INSTANCE]
        taken = sum([int(gateway.hint_instance(*hint)) for hint in self.warm_hints(now, starts, functions)])
        for subject in subjects:
            observation = self.observations.by_subject.get(subject)
            if observation is not None and subject[0] not in NOT_FOLLOWED_SINGLY:
                taken += self._follow_one(gateway, starts, subject, observation)
        return taken

    def warm_hints(self, now: int, starts: Starts, functions: Iterable[str] | None = None) -> list[WarmHint]:
        """Instances that may be hinted, of all functions if none are named.

        Of each function these are the freshest ones: as many as its share of the requests could fill, and
        `MIN_INSTANCES` at least.
        """
        warm_hosts = self.observations.warm_hosts
        hints: list[WarmHint] = []
        for function in sorted(warm_hosts if functions is None else warm_hosts.keys() & set(functions)):
            candidates = self._candidates(now, starts, function)
            candidates.sort(key=lambda candidate: (-candidate.observed_at, candidate.hint.host))
            useful = round(INSTANCE_SPREAD * self.observations.share(function) * len(starts))
            hints += [candidate.hint for candidate in candidates[: max(MIN_INSTANCES, useful)]]
        return hints

    def _candidates(self, now: int, starts: Starts, function: str) -> list[_Candidate]:
        candidates = []
        for host in sorted(self.observations.warm_hosts[function]):
            subject = (ObservationKind.WARM_INSTANCE.value, host, function)
            observation = self.observations.by_subject[subject]
            lanes, started = observation.value
            seen = min(observation.observed_at, now - self._random_age())
            reason = self._void_reason(host, observation, started, starts)
            if reason is None and now - seen >= self._keep_alive:
                reason = ObservationRejection.EXPIRED
            if reason is not None:
                self.observations.rejections[reason] += 1
                continue
            candidates.append(_Candidate(observation.observed_at, WarmHint(host, function, lanes, seen)))
        return candidates

    def _random_age(self) -> int:
        share = MIN_AGE_SHARE + RANDOM_AGE_SHARE * self._random.below(RANDOM_STEPS) / RANDOM_STEPS
        return int(share * self._keep_alive)

    def _void_reason(
        self, host: str, observation: SharedObservation, started: int | None, starts: Starts
    ) -> ObservationRejection | None:
        """Why an observation of a host is not to be used, or None.

        `started`: the host's start by the list of the observing gateway; None if the observation has none.
        """
        if host not in starts:
            return ObservationRejection.NOT_LISTED
        if started is not None and starts[host] != started:
            return ObservationRejection.OTHER_INCARNATION
        listed = self.observations.by_subject.get((ObservationKind.LISTED_STATE, host))
        if (
            listed is not None
            and listed.value[0] != ListedState.ACTIVE
            and listed.observed_at >= observation.observed_at
        ):
            return ObservationRejection.GONE_SINCE
        return None

    def _follow_one(
        self, gateway: HintReceiver, starts: Starts, subject: Subject, observation: SharedObservation
    ) -> int:
        """Hands the decisions one observation that is not of an instance; returns how many hints they use."""
        kind, *names = subject
        value = observation.value[0]
        if kind == ObservationKind.USUAL_TIME:
            return int(gateway.hint_usual_time(names[0], value))
        if kind == ObservationKind.LOAD_TIME:
            return int(gateway.hint_usual_time(None, value))
        reason = self._void_reason(names[0], observation, None, starts)
        if reason is None and kind == ObservationKind.SLOWDOWN:
            return int(gateway.hint_slowdown(names[0], min(value, MAX_SLOWDOWN), observation.observed_at))
        if reason is None and names[1] not in self._request_classes:
            reason = ObservationRejection.REQUEST_CLASS
        if reason is not None:
            self.observations.rejections[reason] += 1
            return 0
        request_class = self._request_classes[names[1]]
        return int(gateway.hint_failures(names[0], request_class, value, observation.observed_at))
