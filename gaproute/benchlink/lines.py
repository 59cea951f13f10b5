"""The lines that the simulator sends, split into their fields; the values are still text."""

from typing import NamedTuple

from gaproute.errors import GaprouteError

ABSENT = "-"  # stands for a missing value


class WireFormatError(GaprouteError, ValueError):
    """A line breaks the wire format."""


class BatchStart(NamedTuple):
    """The begin of a batch."""

    clock: str
    sequence: str


class BatchEnd(NamedTuple):
    """The end of a batch, which is to be answered."""


class SelectInstance(NamedTuple):
    """The instance for which the next events are."""

    instance: str


class OpenInstance(NamedTuple):
    """The start of an instance."""

    seed: str
    settings: str


class KillInstance(NamedTuple):
    """An instance is killed with all its state."""


class HostListStart(NamedTuple):
    """The begin of a host list with that many rows."""

    number: str
    row_count: str


class HostListRow(NamedTuple):
    """A host in the list."""

    host: str
    zone: str
    machine_type: str
    cell: str
    state: str
    capacity: str
    started: str


class HostListUpdate(NamedTuple):
    """A host list, or its changes, for the instance."""

    revision: str
    kind: str
    list_number: str


class RequestReceived(NamedTuple):
    """A client's request."""

    id: str
    tenant: str
    time_left: str
    flags: str
    function: str
    work: str
    lanes: str
    load_time: str
    memory: str
    request_class: str


class StreamStarted(NamedTuple):
    """The begin of a streamed answer."""

    request: str
    host: str
    elapsed: str
    attempt: str


class AttemptEnded(NamedTuple):
    """The outcome of an attempt."""

    request: str
    attempt: str
    host: str
    result: str
    elapsed: str
    ended: str
    remark: str
    report: str


class ClientLeft(NamedTuple):
    """The client has left, or its deadline has passed."""

    request: str


class TimerFired(NamedTuple):
    """A timer is due."""

    tag: str


class ProbeAnswered(NamedTuple):
    """The answer to a health check."""

    host: str
    elapsed: str
    result: str
    report: str


class PeerMessage(NamedTuple):
    """A message of another instance."""

    sender: str
    payload: str


class LoadOrderAnswered(NamedTuple):
    """The answer to a load order."""

    host: str
    function: str
    result: str
    elapsed: str
    copies: str


Line = (
    BatchStart
    | BatchEnd
    | SelectInstance
    | OpenInstance
    | KillInstance
    | HostListStart
    | HostListRow
    | HostListUpdate
    | RequestReceived
    | StreamStarted
    | AttemptEnded
    | ClientLeft
    | TimerFired
    | ProbeAnswered
    | PeerMessage
    | LoadOrderAnswered
)
LINE_TYPES: dict[str, type[Line]] = {
    "SYNC": BatchStart,
    "OVER_TO_YOU": BatchEnd,
    "FOR": SelectInstance,
    "OPEN_INSTANCE": OpenInstance,
    "CRASH_NOW": KillInstance,
    "LIST": HostListStart,
    "M": HostListRow,
    "TARGETS": HostListUpdate,
    "CALL": RequestReceived,
    "ACCEPTED": StreamStarted,
    "REPLY": AttemptEnded,
    "GONE": ClientLeft,
    "ALARM": TimerFired,
    "HEALTH_RESULT": ProbeAnswered,
    "PEER_DATA": PeerMessage,
    "STANDS": LoadOrderAnswered,
}
# Lines whose last field goes on to the end of the line
LINES_WITH_FREE_TEXT = frozenset(("OPEN_INSTANCE", "ALARM"))


class LineFormat(NamedTuple):
    """How a line is split into fields."""

    line_type: type[Line]
    field_count: int
    max_splits: int  # -1: as many as there are


def _line_format(name: str, line_type: type[Line]) -> LineFormat:
    count = len(line_type._fields)
    return LineFormat(line_type, count, count - 1 if name in LINES_WITH_FREE_TEXT else -1)


LINE_FORMATS = {name: _line_format(name, line_type) for name, line_type in LINE_TYPES.items()}


def split_line(text: str) -> tuple[str, Line]:
    """Name and fields of one line. Errors: WireFormatError."""
    name, _, rest = text.partition(" ")
    if name not in LINE_FORMATS:
        raise WireFormatError(f"unknown message {name!r}")
    line_type, field_count, max_splits = LINE_FORMATS[name]
    fields = rest.split(" ", max_splits) if rest or name in LINES_WITH_FREE_TEXT else []
    if len(fields) != field_count:
        raise WireFormatError(f"{name} has {len(fields)} values, {field_count} expected")
    return name, line_type(*fields)
