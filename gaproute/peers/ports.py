"""Interfaces that `gaproute.peers` requires of the components that it uses.

Simulations and tests pass implementations of their own. Times are ns.
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
PayloadHandler = Callable[[str, bytes], None]  # takes the sender's name and the payload
RaftMessageHandler = Callable[[str, RaftMessage], None]  # takes the sender's name and the message
PullAnswer = ChangesAnswer | PartAnswer | BusyAnswer
PullCallback = Callable[[PullAnswer | None], object]  # takes None if no answer came


class Peer(Protocol):
    """A configured gateway."""

    @property
    def name(self) -> str:
        """The gateway's name."""

    @property
    def where(self) -> str:
        """The address at which the gateway listens for its peers."""


class EventLog(Protocol):
    """Logs events for operators; implemented by `gaproute.telemetry.record.GatewayRecord`."""

    def event(self, level: str, name: str, /, **fields: object) -> None:
        """Logs one event; `level` is "info", "warning" or "error"."""


class TimerLoop(Protocol):
    """The clock and timers of an event loop; implemented by `gaproute.loop.Loop`."""

    def now(self) -> int:
        """The time on the loop's monotonic clock."""

    def call_at(self, when: int, call: Callback, /, *args: object) -> Timer:
        """Schedules `call(*args)` for the time `when`; returns the timer."""


class CallbackLoop(TimerLoop, Protocol):
    """A loop that can also schedule a callback without a timer."""

    def call_soon(self, call: Callback, /, *args: object) -> object:
        """Schedules `call(*args)` to run after the callbacks that are already due."""


class DatagramSocket(Protocol):
    """An open datagram socket; implemented by `gaproute.loop.datagrams.DatagramSocket`."""

    def send(self, data: bytes, address: str, /) -> None:
        """Sends a datagram to the address; drops it if it cannot be sent."""

    def close(self) -> None:
        """Closes the socket."""


# Opens a socket that is bound to the address and calls the handler with each datagram. Raises OSError.
OpenDatagrams = Callable[[str, DatagramHandler], DatagramSocket]


class PayloadTransport(Protocol):
    """The part of `MembershipTransport` that sends and receives the payloads of other components."""

    @property
    def membership(self) -> Membership:
        """The members and their states."""

    def register(self, kind: PayloadKind, handler: PayloadHandler) -> None:
        """Calls the handler with each payload of that kind that arrives from now on."""

    def unregister(self, kind: PayloadKind) -> None:
        """Removes the handler; later payloads of that kind are ignored."""

    def send_payload(self, address: str, kind: PayloadKind, data: bytes) -> None:
        """Sends a payload to the gateway with that address."""


class RaftMessageTransport(Protocol):
    """Sends Raft messages to peers; implemented by `gaproute.peers.raft.RaftTransport`."""

    counts: Counter[str]  # number of messages, by what became of them

    def send(self, peer: str, message: RaftMessage, /) -> None:
        """Sends a message to the peer of that name; drops it if it cannot be sent."""

    def close(self) -> None:
        """Stops sending and receiving."""


class HostWithAttempts(Protocol):
    """A host whose number of attempts in flight is gossiped."""

    @property
    def in_flight(self) -> Sized:
        """The attempts in flight at the host."""


class GossipSource(ObservationSource, Protocol):
    """The routing decisions, whose attempts in flight and warm instances are gossiped to other gateways."""

    @property
    def hosts_by_id(self) -> Mapping[str, HostWithAttempts]:
        """All hosts, by name."""


class PullSender(Protocol):
    """Pulls the cell table from other gateways, one pull at a time."""

    def send_pull(self, address: str, pull: Pull, on_answer: PullCallback, /) -> None:
        """Sends a pull to the gateway at that address and cancels the open pull, if any.

        `on_answer` is called once, after this method returns, unless the pull is cancelled or replaced first.
        """

    def cancel_pull(self) -> None:
        """Cancels the open pull, if any."""


class PullReply(NamedTuple):
    """The reply to one pull; `status` is an HTTP status code."""

    status: int
    body: bytes


PullHandler = Callable[[bytes], PullReply]  # takes the encoded pull


class PullListener(Protocol):
    """Receives the pulls of other gateways and sends the replies."""

    @property
    def address(self) -> str:
        """The address to which other gateways send pulls."""

    def serve(self, handler: PullHandler, /) -> None:
        """Answers pulls from now on with the replies of the handler."""

    def stop(self) -> None:
        """Rejects pulls from now on."""
