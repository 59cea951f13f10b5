"""An attempt on a connection to a host, and the result of its exchange."""

from gaproute.core.in_flight import AttemptResult
from gaproute.hosts import orca, results
from gaproute.hosts.kserve.host_connections import HostConnections
from gaproute.http1 import Exchange, NoResponseError, Response
from gaproute.interface import Result
from gaproute.interface.call import Answer

PASSED_ON_HEADERS = (b"content-type", b"inference-header-content-length", b"content-encoding")


class SentAttempt:
    """The handle of an attempt that is on a connection to a host, or waits for a new connection.

    `forwards`: whether the attempt goes to another gateway, which may not have sent it to a host yet.
    """

    __slots__ = ("host", "exchange", "forwards")

    def __init__(self, host: HostConnections, exchange: Exchange, *, forwards: bool) -> None:
        self.host, self.exchange, self.forwards = host, exchange, forwards

    @property
    def started(self) -> bool:
        """Whether the attempt has a connection."""
        return self.exchange.connection is not None

    @property
    def cancellable(self) -> bool:
        """Whether a started attempt may still be withdrawn: it is forwarded, or not completely sent."""
        return self.forwards or not self.exchange.all_bytes_sent

    def cancel(self) -> None:
        """Ends the attempt and closes its connection; its callback is not called any more."""
        self.host.cancel(self.exchange)


def attempt_result(outcome: Response | NoResponseError) -> AttemptResult:
    """The result of an attempt by the response or the failure of its exchange."""
    if isinstance(outcome, NoResponseError):
        return AttemptResult(
            Result.NOT_SENT if outcome.expired else results.result_of_failed_exchange(outcome), None
        )
    response = outcome
    reported = orca.decode_headers(response.headers)
    result, passed_on = results.result_of_status(response.status), None
    if result is Result.OK:
        fields = tuple(
            (name, response.headers[name]) for name in PASSED_ON_HEADERS if name in response.headers
        )
        passed_on = Answer(response.status, fields, response.body)
    return AttemptResult(result, passed_on, reported.found, reported.same_function_requests, reported.report)
