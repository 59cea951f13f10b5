"""What the core needs of its neighbours: the decision module above it and the hosts below it."""

from collections.abc import Callable, Generator, Sequence
from typing import Protocol

from gaproute import interface
from gaproute.core.in_flight import AttemptHandle, AttemptResult
from gaproute.interface.call import Call

Action = (
    interface.Attempt
    | interface.Wait
    | interface.Cancel
    | interface.LoadOrder
    | interface.Probe
    | interface.PollHostList
    | interface.Reject
    | interface.Fail
)
# What a generator is resumed with: nothing, an attempt's number, or the time and what ended its wait.
Resumption = tuple[int, interface.Outcome | None] | int | None
Actions = Generator[Action, Resumption, None]


class DecisionModule(Protocol):
    """The decisions of one gateway; `now` is ns of the monotonic clock."""

    end_by: int  # when each request must have its final answer

    def serve(self, now: int, request: interface.Request, /) -> Actions:
        """The generator of one request, up to its final answer."""

    def housekeep(self, now: int, /) -> Actions:
        """The generator of health checks and cleanup, for as long as the gateway runs."""

    def attempt_ended(self, now: int, outcome: interface.Outcome, /) -> None:
        """Accounts for the outcome of an attempt."""

    def probe_ended(
        self, now: int, host: str, report: interface.HostLoadReport | None, /, *, good: bool
    ) -> bytes | None:
        """Accounts for a health check. Returns the message for all other gateways, or None."""

    def peer_message_received(self, now: int, payload: bytes, /) -> None:
        """Takes a message of another gateway; one that cannot be decoded is ignored."""

    def update_hosts(self, now: int, rows: Sequence[interface.ListedHost], /, *, complete: bool) -> None:
        """Takes over the host list (`complete`) or a change of it."""

    def host_list_poll_failed(self, now: int, /) -> None:
        """Notes that a poll of the host list was refused."""

    def load_order_ended(
        self, now: int, host: str, function: str, result: interface.Result | None, copies: int, /
    ) -> None:
        """Accounts for the end of a load order; `copies`: instances that are loaded at the host now."""


class RequestSender(Protocol):
    """Sends requests. Each `done` is called once, and never before the call that it was given to returns."""

    def send(
        self,
        host: str,
        call: Call,
        idempotency: interface.Idempotency,
        request: str,
        limit: int,
        until: int,
        done: Callable[[AttemptResult], None],
        /,
    ) -> AttemptHandle:
        """Sends a request to one host; `request` is the gateway's id of it.

        The attempt begins before `until` or never; the client waits until `limit`. Both are ns.
        """


class OnProbeEnded(Protocol):
    """Called once a health check has ended."""

    def __call__(self, report: interface.HostLoadReport | None, /, *, good: bool) -> object:
        """`report`: what the host said of its load; `good`: whether it can serve requests."""


class Hosts(RequestSender, Protocol):
    """Sends requests, load orders and health checks to hosts; `done` as for `RequestSender`."""

    def order(
        self, host: str, function: str, copies: int, done: Callable[[interface.Result, int], None], /
    ) -> None:
        """Orders a host to load a function; `done` gets the result and how many instances are loaded."""

    def probe(self, host: str, done: OnProbeEnded, /) -> None:
        """Checks a host's health; `done` is not called where the check could not be sent."""
