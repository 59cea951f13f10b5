"""Defines the interfaces of the decision module and of the hosts that the core uses."""

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
# Value that resumes a generator: None, the number of an attempt, or the time and the outcome that ended its
# wait.
Resumption = tuple[int, interface.Outcome | None] | int | None
ActionGenerator = Generator[Action, Resumption, None]


class DecisionModule(Protocol):
    """The decisions of one gateway; `now` is ns of the monotonic clock."""

    end_by: int  # time by which each request must have its final answer

    def serve(self, now: int, request: interface.Request, /) -> ActionGenerator:
        """Creates the generator of one request, which runs up to the final answer."""

    def housekeep(self, now: int, /) -> ActionGenerator:
        """Creates the generator of health checks and cleanup, which runs as long as the gateway."""

    def attempt_ended(self, now: int, outcome: interface.Outcome, /) -> None:
        """Accounts for the outcome of an attempt."""

    def probe_ended(
        self, now: int, host: str, report: interface.HostLoadReport | None, /, *, good: bool
    ) -> bytes | None:
        """Accounts for the end of a health check; returns the message for all other gateways, or None."""

    def peer_message_received(self, now: int, payload: bytes, /) -> None:
        """Handles a message of another gateway; ignores a message that cannot be decoded."""

    def update_hosts(self, now: int, rows: Sequence[interface.ListedHost], /, *, complete: bool) -> None:
        """Applies a host list (`complete`) or changes of it."""

    def host_list_poll_failed(self, now: int, /) -> None:
        """Handles the refusal of a poll of the host list."""

    def load_order_ended(
        self, now: int, host: str, function: str, result: interface.Result | None, copies: int, /
    ) -> None:
        """Accounts for the end of a load order; `copies`: instances of the function loaded at the host."""


class RequestSender(Protocol):
    """Sends requests. Each `done` is called once, and never before the method that takes it returns."""

    def send(
        self,
        host: str,
        call: Call,
        idempotency: interface.Idempotency,
        request_id: str,
        client_deadline: int,
        latest_start: int,
        done: Callable[[AttemptResult], None],
        /,
    ) -> AttemptHandle:
        """Sends a request to one host; `request_id` is the id that the gateway assigned to the request.

        The attempt starts before `latest_start` or never. The client waits until `client_deadline`. Times are
        ns.
        """


class OnProbeEnded(Protocol):
    """The callback for the end of a health check."""

    def __call__(self, report: interface.HostLoadReport | None, /, *, good: bool) -> object:
        """`report`: the load report of the host; `good`: whether the host can serve requests."""


class Hosts(RequestSender, Protocol):
    """Sends requests, load orders and health checks to hosts; for `done`, see `RequestSender`."""

    def order(
        self, host: str, function: str, copies: int, done: Callable[[interface.Result, int], None], /
    ) -> None:
        """Sends a load order; `done` takes the result and the number of instances loaded at the host."""

    def probe(self, host: str, done: OnProbeEnded, /) -> None:
        """Sends a health check to a host; `done` is not called if it could not be sent."""
