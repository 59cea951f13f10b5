"""What the core needs of its neighbours: the decision module above it and the hosts below it."""

from collections.abc import Callable, Generator, Sequence
from typing import Protocol

from gaproute import interface as face
from gaproute.core.in_flight import AttemptHandle, AttemptResult
from gaproute.interface.call import Call

Action = (
    face.Attempt
    | face.Wait
    | face.Cancel
    | face.LoadOrder
    | face.Probe
    | face.PollHostList
    | face.Reject
    | face.Fail
)
# What a generator is resumed with: nothing, an attempt's number, or the time and what ended its wait.
Resumption = tuple[int, face.Outcome | None] | int | None
Actions = Generator[Action, Resumption, None]


class DecisionModule(Protocol):
    """The decisions of one gateway; `now` is ns of the monotonic clock."""

    end_by: int  # when each request must have its final answer

    def serve(self, now: int, request: face.Request, /) -> Actions:
        """The generator of one request, up to its final answer."""

    def housekeep(self, now: int, /) -> Actions:
        """The generator of health checks and cleanup, for as long as the gateway runs."""

    def attempt_ended(self, now: int, outcome: face.Outcome, /) -> None:
        """Accounts for the outcome of an attempt."""

    def probe_ended(self, now: int, host: str, good: bool, report: face.Report | None, /) -> bytes | None:
        """Accounts for a health check. Returns what is to be sent to all other gateways, or None."""

    def peer_message_received(self, now: int, payload: bytes, /) -> None:
        """Takes what another gateway sent; what cannot be read is passed over."""

    def update_hosts(self, now: int, rows: Sequence[face.ListedHost], complete: bool, /) -> None:
        """Takes the host list (`complete`) or a change of it."""

    def host_list_poll_failed(self, now: int, /) -> None:
        """The host list was asked for and did not come."""

    def load_order_ended(
        self, now: int, host: str, function: str, result: face.Result | None, copies: int, /
    ) -> None:
        """Accounts for the answer to a load order: so many copies stand."""


class RequestSender(Protocol):
    """Whatever sends requests. Each `done` is called once and never from within the call itself."""

    def send(
        self,
        host: str,
        call: Call,
        idempotency: face.Idempotency,
        request: str,
        limit: int,
        until: int,
        done: Callable[[AttemptResult], None],
        /,
    ) -> AttemptHandle:
        """Sends a request to one host, before `until` or never; its client waits until `limit`."""


class Hosts(RequestSender, Protocol):
    """Whatever reaches hosts; `done` as for `RequestSender`."""

    def order(
        self, host: str, function: str, copies: int, done: Callable[[face.Result, int], None], /
    ) -> None:
        """Orders a host to load a function; `done` is given the copies that stand."""

    def probe(self, host: str, done: Callable[[bool, face.Report | None], None], /) -> None:
        """Checks a host's health; `done` is not called where the check could not be sent."""
