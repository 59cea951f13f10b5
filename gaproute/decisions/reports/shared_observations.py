"""What other gateways and this gateway's last run observed of the fleet, merged.

An observation has a subject, a value, the time by this gateway's clock, who observed it, and over how many
hops it came: 0 for this gateway's own last run, 1 for a peer. Only what a gateway observed itself is sent, so
nothing travels further, and nothing that a host's end has made void comes back by a third gateway. Merging
takes the greater of two by one total order, so it is commutative, associative and idempotent. A host that is
gone is remembered as such (a tombstone), never as an absence. Times are in ns.
"""

from collections import Counter
from collections.abc import Iterable

from gaproute.decisions.reports.observation_kinds import (
    KIND_RULES,
    MAX_AGE,
    ObservationKind,
    ObservationRejection,
    SharedObservation,
    Subject,
)

MAX_OBSERVATIONS = 50_000  # 300 hosts with 160 functions each; beyond it new subjects are rejected
MAX_NAME = 256  # characters: what is longer was never a host or a model
MIX_SIZE = 128  # names that stand for the mix of requests: half of what the decisions keep of their own
MIX_STRIDE = 37  # shares no factor with a power of two: no function's requests stand together


class SharedObservations:
    """Observations of many origins, one of each subject. What cannot be is rejected and counted."""

    def __init__(self) -> None:
        self.by_subject: dict[Subject, SharedObservation] = {}
        self.warm_hosts: dict[str, list[str]] = {}  # by function: hosts where an instance was seen
        self.rejections: Counter[ObservationRejection] = Counter()

    def observed_at(self, asked: int, age: int) -> int | None:
        """The earliest time that an observation of that age can be of; None where the age is rejected.

        `asked`: when it was asked for. The answer was written after that, so a long round trip makes an
        observation older, never younger.
        """
        if not 0 <= age <= MAX_AGE:
            self.rejections[ObservationRejection.AGE] += 1
            return None
        return asked - age

    def add(self, subject: Subject, observation: SharedObservation) -> None:
        """Takes an observation where it is newer than what is known."""
        known = self.by_subject.get(subject)
        reason = _rejection_reason(subject, observation)
        if reason is None and known is None and len(self.by_subject) >= MAX_OBSERVATIONS:
            reason = ObservationRejection.TOO_MANY
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
        """Takes all that another one holds, and its counts."""
        self.rejections.update(other.rejections)
        for subject, observation in other.by_subject.items():
            self.add(subject, observation)

    def rejected(self) -> dict[str, int]:
        """How many were rejected or not followed, by the reason's text."""
        return {reason.value: count for reason, count in self.rejections.items()}

    def share(self, function: str) -> float:
        """The function's share of the requests; 0 where it is not known."""
        observation = self.by_subject.get((ObservationKind.REQUEST_SHARE, function))
        return observation.value[0] if observation else 0.0

    def request_mix(self, size: int = MIX_SIZE) -> list[str]:
        """`size` names that stand for the mix of functions, "" for those not known, evenly mixed."""
        shares = sorted(self._shares())
        total = max(1.0, sum(share for _, share in shares))
        names: list[str] = []
        reached = 0.0
        for name, share in shares:
            reached += share / total * size
            names += [name] * (round(reached) - len(names))
        names += [""] * (size - len(names))
        return [names[position * MIX_STRIDE % size] for position in range(size)]

    def _shares(self) -> Iterable[tuple[str, float]]:
        for subject, observation in self.by_subject.items():
            if subject[0] == ObservationKind.REQUEST_SHARE:
                yield subject[1], observation.value[0]


def _rejection_reason(subject: Subject, observation: SharedObservation) -> ObservationRejection | None:
    kind, *names = subject
    rule = KIND_RULES.get(kind)
    if rule is None:
        return ObservationRejection.KIND
    if len(names) != rule.names or not all(0 < len(name) <= MAX_NAME for name in names):
        return ObservationRejection.NAME
    return rule.invalid(*observation.value)
