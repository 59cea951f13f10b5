"""Defines the kinds of observations that gateways exchange, and the reasons to reject observations.

The subject of an observation is a tuple of its kind and the names that the observation is about. Subjects and
values have the same form on disk and on the wire. Times are ns.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from gaproute.units import SECOND

# Age above which an observation is rejected: no instance stays loaded for so long, and clocks are not
# accurate enough.
MAX_OBSERVATION_AGE = 300 * SECOND
MAX_LANES = 1024  # limit of the requests that one instance runs at a time

Subject = tuple[str, ...]  # (kind, name, ...)
Value = tuple[Any, ...]  # numbers and strings, as `KIND_RULES` lists them for each kind


class ObservationKind(StrEnum):
    """The kinds of observations; the values are the texts in stored data. See also `KIND_RULES`."""

    WARM_INSTANCE = "warm"
    LISTED_STATE = "listed"
    FAILURE = "doubt"
    SLOWDOWN = "pace"
    USUAL_TIME = "usual"
    LOAD_TIME = "load"
    REQUEST_SHARE = "share"


class ListedState(StrEnum):
    """The state of a host in the list of the gateway that observed it."""

    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class ObservationRejection(StrEnum):
    """The reason why an observation was not stored or not used; the values are shown to operators."""

    INVALID_AGE = "age"
    UNKNOWN_KIND = "kind"
    INVALID_NAME = "name"
    TOO_MANY_OBSERVATIONS = "too many"
    INVALID_LANES = "lanes"
    INVALID_START = "start"
    INVALID_STATE = "state"
    INVALID_TIME = "time"
    INVALID_SHARE = "share"
    INVALID_SLOWDOWN = "pace"
    NOT_LISTED = "not listed"
    OTHER_INCARNATION = "another life"
    GONE_SINCE = "gone since"
    EXPIRED = "faded"
    UNKNOWN_REQUEST_CLASS = "track"


class SharedObservation(NamedTuple):
    """An observation of one subject. Of two observations, the more recent one compares as greater."""

    observed_at: int  # ns by this gateway's clock
    origin: str  # name of the gateway that made the observation
    hops: int  # 0: this gateway made it in its previous run; 1: a peer made it and sent it
    value: Value


class KindRule(NamedTuple):
    """The number of names in a subject of the kind, and the check of its value.

    `value_rejection` takes the elements of the value and returns the reason to reject it, or None.
    """

    name_count: int
    value_rejection: Callable[..., ObservationRejection | None]


def _instance_rejection(lanes: int, started: int) -> ObservationRejection | None:
    if started < 0:
        return ObservationRejection.INVALID_START
    return None if 1 <= lanes <= MAX_LANES else ObservationRejection.INVALID_LANES


def _listed_state_rejection(state: str, started: int) -> ObservationRejection | None:
    if state not in tuple(ListedState):
        return ObservationRejection.INVALID_STATE
    return ObservationRejection.INVALID_START if started < 0 else None


def _time_rejection(duration: float) -> ObservationRejection | None:
    return None if 0 < duration <= MAX_OBSERVATION_AGE else ObservationRejection.INVALID_TIME


def _share_rejection(share: float) -> ObservationRejection | None:
    return None if 0 < share <= 1 else ObservationRejection.INVALID_SHARE


def _slowdown_rejection(factor: float) -> ObservationRejection | None:
    return None if 1 <= factor < float("inf") else ObservationRejection.INVALID_SLOWDOWN


KIND_RULES: Mapping[str, KindRule] = {
    # Names: host, function. Value: lanes, start time of the host in the origin's list.
    ObservationKind.WARM_INSTANCE: KindRule(2, _instance_rejection),
    # Name: host. Value: state in the origin's list, start time.
    ObservationKind.LISTED_STATE: KindRule(1, _listed_state_rejection),
    # Names: host, request class. Value: weight of the latest failure, 0 to 1.
    ObservationKind.FAILURE: KindRule(2, _share_rejection),
    # Name: host. Value: factor by which the host is slower than usual.
    ObservationKind.SLOWDOWN: KindRule(1, _slowdown_rejection),
    # Name: function. Value: answer time with a warm instance.
    ObservationKind.USUAL_TIME: KindRule(1, _time_rejection),
    # No names. Value: answer time of requests that wait for a load.
    ObservationKind.LOAD_TIME: KindRule(0, _time_rejection),
    # Name: function. Value: its share of the origin's latest requests.
    ObservationKind.REQUEST_SHARE: KindRule(1, _share_rejection),
}
