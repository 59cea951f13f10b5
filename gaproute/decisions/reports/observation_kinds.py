"""The kinds of observations that gateways exchange, and which observations are rejected.

A subject is a tuple of the kind and the names that the observation is about; subjects and values have the
same form on disk and on the wire. Times are ns.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from gaproute.units import SECOND

# Older observations are rejected: no instance stays loaded so long, and clocks are not accurate enough
MAX_OBSERVATION_AGE = 300 * SECOND
MAX_LANES = 1024  # requests that one instance runs at a time

Subject = tuple[str, ...]  # (kind, name, ...)
Value = tuple[Any, ...]  # numbers and texts, as `KIND_RULES` lists them for the kind


class ObservationKind(StrEnum):
    """The kinds, by their texts in stored data; `KIND_RULES` has the names and values of each."""

    WARM_INSTANCE = "warm"
    LISTED_STATE = "listed"
    FAILURE = "doubt"
    SLOWDOWN = "pace"
    USUAL_TIME = "usual"
    LOAD_TIME = "load"
    REQUEST_SHARE = "share"


class ListedState(StrEnum):
    """The state of a host by the list of the gateway that observed it."""

    ACTIVE = "active"
    DRAINING = "draining"
    GONE = "gone"


class ObservationRejection(StrEnum):
    """Why an observation was not taken, or not used; the texts are shown to operators."""

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
    """An observation of one subject; the newer one is the greater."""

    observed_at: int  # by this gateway's clock, ns
    origin: str  # the gateway that observed it
    hops: int  # 0: this gateway in its last run, 1: a peer itself
    value: Value


class KindRule(NamedTuple):
    """How many names a subject of the kind has, and a check of its value: why it is invalid, or None."""

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
    # host, function: (lanes, start of the host by the origin's list)
    ObservationKind.WARM_INSTANCE: KindRule(2, _instance_rejection),
    # host: (state by the origin's list, start)
    ObservationKind.LISTED_STATE: KindRule(1, _listed_state_rejection),
    # host, request class: (weight of the last bad result, 0 to 1)
    ObservationKind.FAILURE: KindRule(2, _share_rejection),
    # host: (times slower than usual)
    ObservationKind.SLOWDOWN: KindRule(1, _slowdown_rejection),
    # function: (answer time where an instance is warm)
    ObservationKind.USUAL_TIME: KindRule(1, _time_rejection),
    # nothing: (answer time where a load is waited for)
    ObservationKind.LOAD_TIME: KindRule(0, _time_rejection),
    # function: (share of the origin's last requests)
    ObservationKind.REQUEST_SHARE: KindRule(1, _share_rejection),
}
