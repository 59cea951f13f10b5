"""The kinds of observations that gateways exchange, and which observations are rejected.

A subject is a tuple of the kind and the names that the observation is about; subjects and values have the
same form on disk and on the wire. Times are ns.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from typing import Any, NamedTuple

from gaproute.units import SECOND

# Older observations are rejected: no instance stays loaded so long, and clocks are not accurate enough
MAX_AGE = 300 * SECOND
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

    AGE = "age"
    KIND = "kind"
    NAME = "name"
    TOO_MANY = "too many"
    LANES = "lanes"
    START = "start"
    STATE = "state"
    TIME = "time"
    SHARE = "share"
    SLOWDOWN = "pace"
    NOT_LISTED = "not listed"
    OTHER_INCARNATION = "another life"
    GONE_SINCE = "gone since"
    EXPIRED = "faded"
    REQUEST_CLASS = "track"


class SharedObservation(NamedTuple):
    """An observation of one subject; the newer one is the greater."""

    observed_at: int  # by this gateway's clock, ns
    origin: str  # the gateway that observed it
    hops: int  # 0: this gateway in its last run, 1: a peer itself
    value: Value


class KindRule(NamedTuple):
    """How many names a subject of the kind has, and a check of its value: why it is invalid, or None."""

    names: int
    invalid: Callable[..., ObservationRejection | None]


def _invalid_instance(lanes: int, started: int) -> ObservationRejection | None:
    if started < 0:
        return ObservationRejection.START
    return None if 1 <= lanes <= MAX_LANES else ObservationRejection.LANES


def _invalid_listed(state: str, started: int) -> ObservationRejection | None:
    if state not in tuple(ListedState):
        return ObservationRejection.STATE
    return ObservationRejection.START if started < 0 else None


def _invalid_time(duration: float) -> ObservationRejection | None:
    return None if 0 < duration <= MAX_AGE else ObservationRejection.TIME


def _invalid_share(share: float) -> ObservationRejection | None:
    return None if 0 < share <= 1 else ObservationRejection.SHARE


def _invalid_slowdown(factor: float) -> ObservationRejection | None:
    return None if 1 <= factor < float("inf") else ObservationRejection.SLOWDOWN


KIND_RULES: Mapping[str, KindRule] = {
    # host, function: (lanes, start of the host by the origin's list)
    ObservationKind.WARM_INSTANCE: KindRule(2, _invalid_instance),
    # host: (state by the origin's list, start)
    ObservationKind.LISTED_STATE: KindRule(1, _invalid_listed),
    # host, request class: (weight of the last bad result, 0 to 1)
    ObservationKind.FAILURE: KindRule(2, _invalid_share),
    # host: (times slower than usual)
    ObservationKind.SLOWDOWN: KindRule(1, _invalid_slowdown),
    # function: (answer time where an instance is warm)
    ObservationKind.USUAL_TIME: KindRule(1, _invalid_time),
    # nothing: (answer time where a load is waited for)
    ObservationKind.LOAD_TIME: KindRule(0, _invalid_time),
    # function: (share of the origin's last requests)
    ObservationKind.REQUEST_SHARE: KindRule(1, _invalid_share),
}
