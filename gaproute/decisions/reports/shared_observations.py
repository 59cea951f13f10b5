"""The merged observations of other gateways and of this gateway's last run.

An observation has a subject, a value, the time by this gateway's clock, the gateway that observed it, and the
number of hops over which it came: 0 from this gateway's last run, 1 from a peer. Gateways send only what they
observed themselves, so observations travel no further, and an observation that a host's end has made invalid
cannot return by way of a third gateway. Merging takes the greater of two observations in one total order, so
it is commutative, associative and idempotent. A host that is gone is stored as such (a tombstone). Times are
ns.
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

MAX_OBSERVATIONS = 50_000  # 300 hosts with 160 functions each; above it new subjects are rejected
MAX_NAME_LENGTH = 256  # characters; no host or model has a longer name
REQUEST_MIX_SIZE = (
    128  # names that represent the mix of functions: half of what the decisions store of their own
)
REQUEST_MIX_STRIDE = (
    37  # has no factor in common with a power of two, so that the names of a function are spread
)


class SharedObservations:
    """Observations of many origins, one for each subject. Invalid ones are rejected and counted."""

    def __init__(self) -> None:
        self.by_subject: dict[Subject, SharedObservation] = {}
        self.warm_hosts: dict[str, list[str]] = {}  # by function: hosts at which an instance was seen
        self.rejections: Counter[ObservationRejection] = Counter()

    def earliest_observation_time(self, requested_at: int, age: int) -> int | None:
        """The earliest time that an observation of that age can have; None if the age is rejected.

        `requested_at`: when the observation was requested. The answer was written later, so a long round trip
        makes an observation seem older, never younger.
        """
        if not 0 <= age <= MAX_OBSERVATION_AGE:
            self.rejections[ObservationRejection.INVALID_AGE] += 1
            return None
        return requested_at - age

    def add(self, subject: Subject, observation: SharedObservation) -> None:
        """Stores an observation if it is newer than that of its subject."""
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
        """Takes over the observations and counts of another object."""
        self.rejections.update(other.rejections)
        for subject, observation in other.by_subject.items():
            self.add(subject, observation)

    def rejection_counts(self) -> dict[str, int]:
        """By reason: how many observations were rejected or not used."""
        return {reason.value: count for reason, count in self.rejections.items()}

    def request_share(self, function: str) -> float:
        """The function's share of the requests; 0 where it is not known."""
        observation = self.by_subject.get((ObservationKind.REQUEST_SHARE, function))
        return observation.value[0] if observation else 0.0

    def request_mix(self, size: int = REQUEST_MIX_SIZE) -> list[str]:
        """`size` names that represent the mix of functions, evenly mixed; "" for functions that are not
        known.
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
