"""An attempt on a connection to a host, and what its end says."""

from gaproute.core.in_flight import AttemptResult
from gaproute.hosts import orca, results
from gaproute.hosts.kserve.host_connections import HostConnections
from gaproute.http1 import Exchange, NoResponseError, Response
from gaproute.interface import Result
from gaproute.interface.call import Answer

PASSED_HEADERS = (b"content-type", b"inference-header-content-length", b"content-encoding")


class SentAttempt:
    """An attempt on a connection to a host, or waiting for one.

    `forwards`: it went to another gateway, which may not have sent it to a host yet.
    """

    __slots__ = ("host", "exchange", "forwards")

    def __init__(self, host: HostConnections, exchange: Exchange, *, forwards: bool) -> None:
        self.host, self.exchange, self.forwards = host, exchange, forwards

    @property
    def started(self) -> bool:
        """Whether it has a connection."""
        return self.exchange.connection is not None

    @property
    def cancellable(self) -> bool:
        """Whether it is cancelled, though it started, once nobody waits for its answer."""
        return self.forwards or not self.exchange.all_bytes_sent

    def cancel(self) -> None:
        """End it and its connection; its callback is not called any more."""
        self.host.cancel(self.exchange)


def attempt_result(outcome: Response | NoResponseError) -> AttemptResult:
    """What the answer, or the failure, of an exchange says of its attempt."""
    if isinstance(outcome, NoResponseError):
        return AttemptResult(Result.NOT_SENT if outcome.expired else results.of_undelivered(outcome), None)
    answer = outcome
    reported = orca.decode_headers(answer.headers)
    result, passed = results.of_status(answer.status), None
    if result is Result.OK:
        fields = tuple((name, answer.headers[name]) for name in PASSED_HEADERS if name in answer.headers)
        passed = Answer(answer.status, fields, answer.body)
    return AttemptResult(result, passed, reported.found, reported.same_function_requests, reported.report)
