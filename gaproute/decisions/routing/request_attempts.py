"""The attempts of one request, and whether the request may have run."""

from typing import NamedTuple

from gaproute.decisions.routing.host import Host
from gaproute.interface import NEVER_RAN, Result


class SentAttempt(NamedTuple):
    """A sent attempt."""

    host: Host
    sent_at: int  # ns


class RequestAttempts:
    """Tracks the attempts of one request and where it may have run first."""

    __slots__ = ("in_flight", "may_have_run", "first_possible_run", "failed_hosts", "attempt_count")

    def __init__(self) -> None:
        self.in_flight: dict[int, SentAttempt] = {}
        self.may_have_run: list[SentAttempt] = []  # ended attempts that may have run
        # The earliest attempt that may have run or may still run.
        self.first_possible_run: SentAttempt | None = None
        # Hosts of ended attempts, whatever their result, except those whose result is NOT_LOADED.
        self.failed_hosts: list[Host] = []
        self.attempt_count = 0  # attempts sent so far

    def record_sent(self, attempt: int, host: Host, now: int) -> None:
        """Registers a sent attempt."""
        sent = self.in_flight[attempt] = SentAttempt(host, now)
        self.attempt_count += 1
        self.first_possible_run = self.first_possible_run or sent

    def record_end(self, attempt: int, result: Result) -> None:
        """Records the end of an attempt; one that provably did not run does not restrict further attempts."""
        sent = self.in_flight.pop(attempt)
        if result not in NEVER_RAN:
            self.may_have_run.append(sent)
        self.first_possible_run = min(
            [*self.may_have_run, *self.in_flight.values()], key=lambda each: each.sent_at, default=None
        )
        if result is not Result.NOT_LOADED:
            self.failed_hosts.append(sent.host)
