"""The messages between the processes of a maintenance run; gossip and lease messages go as they are."""

from collections.abc import Mapping
from dataclasses import dataclass

from gaproute.maintenance.host_report import HostReport, OrderMark


@dataclass(frozen=True, slots=True)
class ProbeMessage:
    """Asks a host for its state."""

    number: int


@dataclass(frozen=True, slots=True)
class ProbeReply:
    """The answer to the probe of this number; the report's `asked_at` is for the receiver to fill in."""

    number: int
    report: HostReport


@dataclass(frozen=True, slots=True)
class RunRequest:
    """A request of production for a host. `duration`: ns that it runs."""

    duration: int


@dataclass(frozen=True, slots=True)
class Drain:
    """The host is to take no new requests."""

    mark: OrderMark


@dataclass(frozen=True, slots=True)
class Serve:
    """The host is to take requests again."""

    mark: OrderMark


@dataclass(frozen=True, slots=True)
class LoadCopy:
    """The host is to load a copy of this function."""

    function: str


@dataclass(frozen=True, slots=True)
class Restart:
    """A worker restarts the host, which must still drain by `mark`."""

    fencing_token: int
    mark: OrderMark
    round_name: str


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Lanes in use by function."""

    lanes: Mapping[str, int]


@dataclass(frozen=True, slots=True)
class ReadyHostsQuery:
    """A worker asks a scheduler which hosts it may restart."""

    number: int


@dataclass(frozen=True, slots=True)
class HostHandover:
    """The answer to a query of this number: one host that the worker may restart.

    `time_left`: ns, counted from when the worker asked, until which it may begin.
    """

    number: int
    host: str
    fencing_token: int
    mark: OrderMark
    time_left: int
    round_name: str
