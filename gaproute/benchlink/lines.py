"""The lines that the simulator sends, split into their fields; the values are still text."""

from typing import NamedTuple

from gaproute.errors import GaprouteError

ABSENT = "-"  # stands for a missing value


class WireFormatError(GaprouteError, ValueError):
    """A line breaks the wire format."""


class Sync(NamedTuple):
    """The begin of a batch."""

    clock: str
    sequence: str


class EndOfBatch(NamedTuple):
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


class DefineList(NamedTuple):
    """The begin of a host list with that many rows."""

    number: str
    row_count: str


class ListRow(NamedTuple):
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
    Sync
    | EndOfBatch
    | SelectInstance
    | OpenInstance
    | KillInstance
    | DefineList
    | ListRow
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
LINES: dict[str, type[Line]] = {
    "SYNC": Sync,
    "OVER_TO_YOU": EndOfBatch,
    "FOR": SelectInstance,
    "OPEN_INSTANCE": OpenInstance,
    "CRASH_NOW": KillInstance,
    "LIST": DefineList,
    "M": ListRow,
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
FREE_TEXT_LAST = frozenset(("OPEN_INSTANCE", "ALARM"))


class LineFormat(NamedTuple):
    """How a line is split into fields."""

    kind: type[Line]
    field_count: int
    max_splits: int  # -1: as many as there are


def _format_of(name: str, kind: type[Line]) -> LineFormat:
    count = len(kind._fields)
    return LineFormat(kind, count, count - 1 if name in FREE_TEXT_LAST else -1)


FORMATS = {name: _format_of(name, kind) for name, kind in LINES.items()}


def split_line(text: str) -> tuple[str, Line]:
    """Name and fields of one line. Errors: WireFormatError."""
    name, _, rest = text.partition(" ")
    if name not in FORMATS:
        raise WireFormatError(f"unknown message {name!r}")
    kind, field_count, max_splits = FORMATS[name]
    fields = rest.split(" ", max_splits) if rest or name in FREE_TEXT_LAST else []
    if len(fields) != field_count:
        raise WireFormatError(f"{name} has {len(fields)} values, {field_count} expected")
    return name, kind(*fields)
