"""Splits the lines of the simulator into fields, whose values stay text."""

from typing import NamedTuple

from gaproute.errors import GaprouteError

ABSENT = "-"  # value of an absent field


class WireFormatError(GaprouteError, ValueError):
    """A line that breaks the wire format."""


class BatchStart(NamedTuple):
    """The start of a batch."""

    clock: str
    sequence: str


class BatchEnd(NamedTuple):
    """The end of a batch, which requires a reply."""


class SelectInstance(NamedTuple):
    """The choice of the instance that the next events concern."""

    instance: str


class OpenInstance(NamedTuple):
    """The start of an instance."""

    seed: str
    settings: str


class KillInstance(NamedTuple):
    """The kill of an instance, which loses all its state."""


class HostListStart(NamedTuple):
    """The start of a host list with `row_count` rows."""

    number: str
    row_count: str


class HostListRow(NamedTuple):
    """A row of a host list: one host."""

    host: str
    zone: str
    machine_type: str
    cell: str
    state: str
    capacity: str
    started: str


class HostListUpdate(NamedTuple):
    """A host list or changes of it, or the refusal of a poll, for the instance."""

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
    """The start of a streamed answer."""

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
    """The departure of a client, or the end of its deadline."""

    request: str


class TimerFired(NamedTuple):
    """A timer that has fired."""

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
# Lines whose last field extends to the end of the line and may contain spaces
LINES_WITH_FREE_TEXT = frozenset(("OPEN_INSTANCE", "ALARM"))


class LineFormat(NamedTuple):
    """The rule by which a line is split into fields."""

    line_type: type[Line]
    field_count: int
    max_splits: int  # -1: at every space


def _line_format(name: str, line_type: type[Line]) -> LineFormat:
    count = len(line_type._fields)
    return LineFormat(line_type, count, count - 1 if name in LINES_WITH_FREE_TEXT else -1)


LINE_FORMATS = {name: _line_format(name, line_type) for name, line_type in LINE_TYPES.items()}


def split_line(text: str) -> tuple[str, Line]:
    """Splits one line; returns its name and its fields. Errors: WireFormatError."""
    name, _, rest = text.partition(" ")
    if name not in LINE_FORMATS:
        raise WireFormatError(f"unknown line {name!r}")
    line_type, field_count, max_splits = LINE_FORMATS[name]
    fields = rest.split(" ", max_splits) if rest or name in LINES_WITH_FREE_TEXT else []
    if len(fields) != field_count:
        raise WireFormatError(f"{name} has {len(fields)} values, {field_count} expected")
    return name, line_type(*fields)
