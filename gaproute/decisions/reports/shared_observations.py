"""Stores the merged observations of other gateways and of this gateway's previous run.

An observation has a subject, a value, the time by this gateway's clock, the gateway that made it, and the
number of hops over which it arrived: 0 from this gateway's previous run, 1 from a peer. Gateways send only
observations that they made themselves. An observation therefore travels no further than one hop, and after
its host is gone it cannot return by way of a third gateway. A merge takes the greater of two observations in
a total order, so it is commutative, associative and idempotent. A host that is gone is stored with the state
gone (a tombstone). Times are ns.
"""

from collections import Counter
from collections.abc import Iterable

from gaproute.decisions.reports.observation_kinds import (
    KIND_RULES,
    MAX_OBSERVATION_AGE,
    ObservationKind,
    ObservationRejection,
    SharedObservation,
    Subject,
)

MAX_OBSERVATIONS = 50_000  # limit of the stored subjects: 300 hosts with 160 functions each
MAX_NAME_LENGTH = 256  # characters; no host or model has a longer name
# Number of function names that represent the request mix: half of the names that the decisions store of the
# gateway's own requests.
REQUEST_MIX_SIZE = 128
# Step between the positions of consecutive names in the request mix. As the step is coprime to every power of
# two, the names of one function are spread over the mix.
REQUEST_MIX_STRIDE = 37


class SharedObservations:
    """Stores one observation of each subject, of any origin; rejects and counts invalid observations."""

    def __init__(self) -> None:
        self.by_subject: dict[Subject, SharedObservation] = {}
        self.warm_hosts: dict[str, list[str]] = {}  # by function: hosts observed to have a warm instance
        self.rejections: Counter[ObservationRejection] = Counter()

    def earliest_observation_time(self, requested_at: int, age: int) -> int | None:
        """Returns the earliest possible time of an observation of that age; None if the age is rejected.

        `requested_at`: the time of the request for the observation. As the answer was written later, a long
        round trip makes an observation appear older, never younger.
        """
        if not 0 <= age <= MAX_OBSERVATION_AGE:
            self.rejections[ObservationRejection.INVALID_AGE] += 1
            return None
        return requested_at - age

    def add(self, subject: Subject, observation: SharedObservation) -> None:
        """Stores a valid observation if it is greater than the stored one of the same subject."""
        known = self.by_subject.get(subject)
        reason = _rejection_reason(subject, observation)
        if reason is None and known is None and len(self.by_subject) >= MAX_OBSERVATIONS:
            reason = ObservationRejection.TOO_MANY_OBSERVATIONS
        if reason is not None:
            self.rejections[reason] += 1
            return
        if known is not None:
            self.by_subject[subject] = max(known, observation)
            return
        self.by_subject[subject] = observation
        if subject[0] == ObservationKind.WARM_INSTANCE:
            _, host, function = subject
            self.warm_hosts.setdefault(function, []).append(host)

    def merge(self, other: "SharedObservations") -> None:
        """Adds the observations and the counts of rejections of `other`."""
        self.rejections.update(other.rejections)
        for subject, observation in other.by_subject.items():
            self.add(subject, observation)

    def rejection_counts(self) -> dict[str, int]:
        """Returns by reason the number of observations that were rejected or not used."""
        return {reason.value: count for reason, count in self.rejections.items()}

    def request_share(self, function: str) -> float:
        """Returns the function's share of the requests; 0 if it is unknown."""
        observation = self.by_subject.get((ObservationKind.REQUEST_SHARE, function))
        return observation.value[0] if observation else 0.0

    def request_mix(self, size: int = REQUEST_MIX_SIZE) -> list[str]:
        """Returns `size` function names in proportion to the shares of the functions, evenly mixed.

        The name "" fills the places of functions whose share is unknown.
        """
        shares = sorted(self._request_shares())
        total = max(1.0, sum(share for _, share in shares))
        names: list[str] = []
        reached = 0.0
        for name, share in shares:
            reached += share / total * size
            names += [name] * (round(reached) - len(names))
        names += [""] * (size - len(names))
        return [names[position * REQUEST_MIX_STRIDE % size] for position in range(size)]

    def _request_shares(self) -> Iterable[tuple[str, float]]:
        for subject, observation in self.by_subject.items():
            if subject[0] == ObservationKind.REQUEST_SHARE:
                yield subject[1], observation.value[0]


def _rejection_reason(subject: Subject, observation: SharedObservation) -> ObservationRejection | None:
    kind, *names = subject
    rule = KIND_RULES.get(kind)
    if rule is None:
        return ObservationRejection.UNKNOWN_KIND
    if len(names) != rule.name_count or not all(0 < len(name) <= MAX_NAME_LENGTH for name in names):
        return ObservationRejection.INVALID_NAME
    return rule.value_rejection(*observation.value)
