"""What the parts that communicate with other gateways need of their neighbours.

Simulations and tests hand in neighbours of their own. Times are ns.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sized
from typing import NamedTuple, Protocol

from gaproute.decisions.reports.ports import ObservationSource
from gaproute.loop.timers import Callback, Timer
from gaproute.peers.membership_wire import PayloadKind
from gaproute.shared.dissemination.messages import BusyAnswer, ChangesAnswer, PartAnswer, Pull
from gaproute.shared.membership import Membership
from gaproute.shared.raft.messages import RaftMessage

DatagramHandler = Callable[[bytes], None]
PayloadHandler = Callable[[str, bytes], None]  # takes the sender's name and the data
RaftMessageHandler = Callable[[str, RaftMessage], None]  # takes the sender's name and the message
PullAnswer = ChangesAnswer | PartAnswer | BusyAnswer
PullCallback = Callable[[PullAnswer | None], object]  # takes None if no answer came


class Peer(Protocol):
    """A configured gateway."""

    @property
    def name(self) -> str:
        """The name by which other gateways know it."""

    @property
    def where(self) -> str:
        """The address at which other gateways reach it."""


class EventLog(Protocol):
    """The log of events for operators: `gaproute.telemetry.record.GatewayRecord`."""

    def event(self, level: str, name: str, /, **fields: object) -> None:
        """Logs one event; `level`: "info", "warning" or "error"."""


class TimerLoop(Protocol):
    """The clock and the timers of an event loop: `gaproute.loop.Loop`."""

    def now(self) -> int:
        """The time."""

    def call_at(self, when: int, call: Callback, /, *args: object) -> Timer:
        """Calls `call(*args)` at the time `when`; returns the timer."""


class CallbackLoop(TimerLoop, Protocol):
    """A loop that also calls back in its present or next turn."""

    def call_soon(self, call: Callback, /, *args: object) -> object:
        """Calls `call(*args)` after the callbacks that are due now."""


class DatagramSocket(Protocol):
    """An open socket for datagrams: `gaproute.loop.datagrams.DatagramSocket`."""

    def send(self, data: bytes, where: str, /) -> None:
        """Sends one datagram to the address, or drops it."""

    def close(self) -> None:
        """Closes the socket."""


# Opens a socket at an address, and has the handler called with each datagram. Errors: OSError
OpenDatagrams = Callable[[str, DatagramHandler], DatagramSocket]


class PayloadTransport(Protocol):
    """The part of `MembershipTransport` that sends and receives payloads of other parts."""

    @property
    def membership(self) -> Membership:
        """The members and their states."""

    def register(self, kind: PayloadKind, handler: PayloadHandler) -> None:
        """Has the handler called with each payload of that kind."""

    def unregister(self, kind: PayloadKind) -> None:
        """From now on payloads of that kind are ignored."""

    def send_payload(self, address: str, kind: PayloadKind, data: bytes) -> None:
        """Sends a payload to the gateway with that address."""


class RaftMessageTransport(Protocol):
    """Sends Raft messages to peers: `gaproute.peers.raft.RaftTransport`."""

    counts: Counter[str]  # messages by what became of them

    def send(self, to: str, message: RaftMessage, /) -> None:
        """Sends a message to the peer of that name, or drops it."""

    def close(self) -> None:
        """Ends sending and receiving."""


class BusyHost(Protocol):
    """A host of which the number of attempts in flight is read."""

    @property
    def in_flight(self) -> Sized:
        """The attempts in flight at the host."""


class GossipSource(ObservationSource, Protocol):
    """Decisions whose attempts in flight and warm instances are sent to other gateways."""

    @property
    def hosts_by_id(self) -> Mapping[str, BusyHost]:
        """All hosts by name."""


class PullSender(Protocol):
    """Requests the cell table of other gateways, one pull at a time."""

    def ask(self, where: str, pull: Pull, done: PullCallback, /) -> None:
        """Sends a pull to the gateway with that address, in place of the one that is open.

        `done` is called once, later; it is not called for a pull that is replaced or dropped.
        """

    def drop(self) -> None:
        """Ends the open pull."""


class PullReply(NamedTuple):
    """The reply to one pull; `status`: of HTTP."""

    status: int
    body: bytes


PullHandler = Callable[[bytes], PullReply]  # takes the encoded pull


class PullListener(Protocol):
    """Receives the pulls of other gateways and sends the replies."""

    @property
    def address(self) -> str:
        """The address to which other gateways send their pulls."""

    def serve(self, handler: PullHandler, /) -> None:
        """From now on pulls are answered with what the handler returns."""

    def stop(self) -> None:
        """From now on pulls are rejected."""
