"""Encodes and decodes shared observations as protobuf; does no I/O. Ages are sent in microseconds."""

import math
from collections.abc import Callable, Iterable

from google.protobuf.message import DecodeError

from gaproute.decisions.reports.exchange_limits import MAX_ANSWER_BYTES
from gaproute.decisions.reports.observation_kinds import (
    ListedState,
    ObservationKind,
    SharedObservation,
    Subject,
    Value,
)
from gaproute.decisions.reports.shared_observations import SharedObservations
from gaproute.peers import observation_pb2
from gaproute.peers.observation_messages import FigureMessage, ObservationAnswer, ObservationRequest
from gaproute.units import MICRO

PROTOCOL_VERSION = 2
HTTP_TARGET = b"/lore"  # request target of requests for observations
PEER_HOPS = 1  # hops of an observation that came straight from the peer that made it
INVALID_TIME = -1  # replaces a decoded time that is not finite; later checks reject it like any invalid time
FIGURE_KINDS = (  # kinds that are sent as `Figure`: names and one number
    ObservationKind.FAILURE,
    ObservationKind.SLOWDOWN,
    ObservationKind.USUAL_TIME,
    ObservationKind.LOAD_TIME,
    ObservationKind.REQUEST_SHARE,
)
TIME_KINDS = (
    ObservationKind.USUAL_TIME,
    ObservationKind.LOAD_TIME,
)  # kinds whose number is a whole number of ns

# Takes the subject, the value and the age in microseconds.
AddObservation = Callable[[Subject, Value, int], None]


def encode_request(cursor: int = 0, run_id: int = 0, mark: int = 0) -> bytes:
    """Encodes a request for observations."""
    request = observation_pb2.Ask(version=PROTOCOL_VERSION, cursor=cursor, life=run_id, mark=mark)
    return bytes(request.SerializeToString())


def decode_request(data: bytes) -> ObservationRequest:
    """Decodes a request. Raises DecodeError if it is malformed."""
    request: ObservationRequest = observation_pb2.Ask.FromString(data)
    return request


def decode_answer(data: bytes) -> ObservationAnswer | None:
    """Decodes an answer; None if it is malformed, too long or of an unsupported version."""
    if len(data) > MAX_ANSWER_BYTES:
        return None
    try:
        answer: ObservationAnswer = observation_pb2.Told.FromString(data)
    except DecodeError:
        return None
    return answer if abs(answer.version - PROTOCOL_VERSION) <= 1 else None


def add_observation(answer: ObservationAnswer, subject: Subject, value: Value, age: int) -> int:
    """Appends an observation to the answer; `age` is in ns. Returns the total length of its names."""
    kind, *names = subject
    age_us = max(0, age) // MICRO
    if kind == ObservationKind.WARM_INSTANCE:
        lanes, started = value
        answer.warm.add(worker=names[0], function=names[1], lanes=lanes, started_ns=started, age_us=age_us)
    elif kind == ObservationKind.LISTED_STATE:
        _add_listed_host(answer, names[0], value, age_us)
    else:
        getattr(answer, kind).add(names=names, value=value[0], age_us=age_us)
    return sum([len(name) for name in names])


def _add_listed_host(answer: ObservationAnswer, host: str, value: Value, age_us: int) -> None:
    state, started = value
    if state == ListedState.GONE:
        answer.gone.add(worker=host, age_us=age_us)
    else:
        answer.listed.add(worker=host, state=state, started_ns=started, age_us=age_us)


def read_observations(
    answer: ObservationAnswer, requested_at: int, origin: str, observations: SharedObservations
) -> None:
    """Adds the observations of an answer that was requested from the peer `origin` at `requested_at` (ns)."""

    def add(subject: Subject, value: Value, age_us: int) -> None:
        observed_at = observations.earliest_observation_time(requested_at, (age_us + answer.held_us) * MICRO)
        if observed_at is not None:
            observations.add(subject, SharedObservation(observed_at, origin, PEER_HOPS, value))

    _read_host_observations(answer, add)
    _read_figures(answer, add)


def _read_host_observations(answer: ObservationAnswer, add: AddObservation) -> None:
    listed, warm = ObservationKind.LISTED_STATE.value, ObservationKind.WARM_INSTANCE.value
    for host in answer.listed:
        add((listed, host.worker), (host.state, host.started_ns), host.age_us)
    for gone_host in answer.gone:
        add((listed, gone_host.worker), (ListedState.GONE.value, 0), gone_host.age_us)
    for instance in answer.warm:
        subject = (warm, instance.worker, instance.function)
        add(subject, (instance.lanes, instance.started_ns), instance.age_us)


def _read_figures(answer: ObservationAnswer, add: AddObservation) -> None:
    for kind in FIGURE_KINDS:
        figures: Iterable[FigureMessage] = getattr(answer, kind)
        for each in figures:
            value = _whole_nanoseconds(each.value) if kind in TIME_KINDS else each.value
            add((kind.value, *each.names), (value,), each.age_us)


def _whole_nanoseconds(duration: float) -> int:
    return int(duration) if math.isfinite(duration) else INVALID_TIME
