"""What the judge knows of a day: the events of its taps as typed records.

All times are ns of the machine's one monotonic clock.
"""

from enum import StrEnum
from typing import NamedTuple

GatewayId = int | str  # its number in the taps; its name where no number is known


class WarmUp(NamedTuple):
    """How a host that started cold comes to its full capacity. Times are ns."""

    started_at: int
    capacity: float  # in cores, once it is warm
    initial_share: float  # of the capacity, at first
    duration: int
    overload_factor: float  # how many times its capacity overloads it,
    overload_window: int  # summed over so long


class Attempt(NamedTuple):
    """A request as it reached a host."""

    at: int
    host: str
    run: int  # which start of the host's process, from 0
    connection: object
    request: str
    request_class: str
    idempotency_key: object
    work: int  # ns of one core, as the request class has it
    time_left: (
        int | None
    )  # ns until its deadline, as it was passed to the host; None where the protocol has none


class LoadOrderArrival(NamedTuple):
    """A load order as it reached a host; so many instances are to be loaded."""

    at: int
    host: str
    run: int
    connection: object
    instances: int
    gateway_name: str  # empty where the order bears none


HostArrival = Attempt | LoadOrderArrival


class HostAnswer(NamedTuple):
    """A host answered a request in full."""

    at: int
    request: str
    status: int


class HostRun(NamedTuple):
    """What one process of a host saw, in its order."""

    warm_up: WarmUp | None  # None: it was warm from its start
    arrivals: list[HostArrival]
    answers: list[HostAnswer]

    @property
    def attempts(self) -> list[Attempt]:
        """The requests that reached it."""
        return [arrival for arrival in self.arrivals if isinstance(arrival, Attempt)]

    @property
    def load_orders(self) -> list[LoadOrderArrival]:
        """The load orders that reached it and ask for an instance."""
        return [each for each in self.arrivals if isinstance(each, LoadOrderArrival) and each.instances > 0]


class EndKind(StrEnum):
    """How a request ended at its client."""

    ANSWERED = "answer"
    ANSWERED_LATE = "answered late"  # after its deadline, while its client still waited
    OVERDUE = "overdue"  # no answer came
    CLIENT_LEFT = "left"
    BROKEN = "broken"  # its connection ended


class RequestEnd(NamedTuple):
    """The end of a request as its client saw it."""

    kind: EndKind
    at: int  # where no answer came in time: when it was due
    request: str
    request_class: str
    gateway: int
    sent_at: int
    patience: int  # ns that the client waits from `sent_at` on
    outcome: str  # as the answer names it; empty without one
    status: int
    text: str  # how the connection ended
    late_by: int = 0  # ns from the deadline until the answer, where that came late

    @property
    def answered(self) -> bool:
        """Whether an answer came, in time or late."""
        return self.kind in (EndKind.ANSWERED, EndKind.ANSWERED_LATE)

    @property
    def deadline(self) -> int:
        """Until when the client waits, ns."""
        return self.sent_at + self.patience


class UnmatchedAnswer(NamedTuple):
    """A gateway sent an answer that no request waited for."""

    at: int
    gateway: int
    text: str | None


class GatewayEventKind(StrEnum):
    """What happened to a gateway's process."""

    STARTED = "started"
    TERMINATING = "ending"  # it got a SIGTERM
    ENDED = "ended"  # by itself
    KILLED = "killed"
    PAUSED = "stopped"  # by SIGSTOP
    RESUMED = "continued"


class GatewayEvent(NamedTuple):
    """Something happened to a gateway's process."""

    at: int
    kind: GatewayEventKind
    gateway: int
    name: str


class ProcessCpuWait(NamedTuple):
    """Between `begin` and `end` a process was ready to run, and waited for a core for `waited` ns.

    The process is that of a gateway, or one of the clients' where `gateway` is None.
    """

    begin: int
    end: int
    gateway: int | None
    waited: int


class ListNotification(NamedTuple):
    """The host list notified one gateway, or all where `gateway` is None, of a host's state."""

    at: int
    host: str
    state: str
    gateway: int | None


class LinkFaultEvent(NamedTuple):
    """A fault between gateways and hosts began or ended, under which bytes may arrive late."""

    at: int
    fault: str
    begins: bool
    delay: int  # ns by which bytes may be late at most
    after_effect: int  # ns after its end until which they may still be late
    links: list[tuple[frozenset[int], frozenset[str]]]  # (gateways, hosts), each with each
