"""The client of hosts that speak JSON Lines: attempts, load orders and probes, many on one connection.

The client chooses no host and retries nothing. `ConnectionPool.submit` finds a connection for a request,
`ConnectionPool.update` takes over the endpoint list, and `gaproute.hosts.results` says what the end of a
connection proves about the requests on it.
"""

from collections.abc import Callable
from functools import partial

from gaproute.core.in_flight import AttemptHandle, AttemptResult
from gaproute.core.ports import OnProbeEnded
from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.hosts.attempts import OnAttemptEnded, OnLoadOrderEnded, UnsentAttempt
from gaproute.hosts.jsonlines import messages
from gaproute.hosts.jsonlines.connection_pool import ConnectionPool
from gaproute.hosts.jsonlines.host import Host
from gaproute.hosts.jsonlines.messages import Reply
from gaproute.hosts.jsonlines.pending_request import NO_DEADLINE, PendingRequest
from gaproute.interface import Idempotency, Result
from gaproute.interface.call import Call
from gaproute.loop import Loop
from gaproute.settings import DeploymentSettings
from gaproute.units import SECOND

DEFAULT_ORDER_TIMEOUT = 10 * SECOND  # if the settings have no order timeout


class JsonLinesClient(ConnectionPool):
    """Sends to hosts by name, on the connections of its pool."""

    def __init__(
        self, loop: Loop, pooling: ConnectionReusePolicy, deployment: DeploymentSettings, max_connections: int
    ) -> None:
        super().__init__(loop, pooling, deployment, max_connections)
        self.probe_timeout = self.connect_timeout
        self.order_timeout = deployment.order_time or DEFAULT_ORDER_TIMEOUT
        self.same_function_counted = deployment.same_function_counted
        self.last_request_number = 0
        self.unexpected_replies = 0  # replies to attempts, of a type that attempts never get

    def send(
        self,
        host_name: str,
        call: Call,
        idempotency: Idempotency,
        gateway_request_id: str,
        deadline: int,
        start_before: int,
        on_ended: OnAttemptEnded,
    ) -> AttemptHandle:
        """Sends one attempt; `on_ended(result)` is called once, and never before this method returns.

        The attempt starts before `start_before` and while its client is present, or never. The final answer
        of the request is owed by `deadline`. Both are times of the loop's clock, ns. `gateway_request_id` is
        not sent, as hosts get the client's id of the request.
        """
        host = self.hosts.get(host_name)
        if host is None or not host.active:
            return UnsentAttempt(self.loop, on_ended, Result.CONNECT_FAILED)

        def ended(outcome: Reply | Result) -> bool:
            if isinstance(outcome, Result):
                attempt_result = AttemptResult(outcome, None)
            else:
                attempt_result = self._decode_attempt_reply(outcome)
            on_ended(attempt_result)
            return attempt_result.result is Result.OK

        def encode(now: int) -> bytes:
            return messages.encode_attempt(call, deadline - now)

        pending_request = self.submit(
            host, call.request_id, encode, start_before, idempotency, ended, call.client_present
        )
        return pending_request or UnsentAttempt(self.loop, on_ended, Result.NOT_SENT)

    def _decode_attempt_reply(self, reply: Reply) -> AttemptResult:
        result = messages.decode_attempt_reply(reply, same_function_counted=self.same_function_counted)
        if result is None:
            self.unexpected_replies += 1
            return AttemptResult(Result.ERROR, None)
        return result

    def order(self, host_name: str, function: str, instance_count: int, on_ended: OnLoadOrderEnded) -> None:
        """Sends a load order; `on_ended(result, number of loaded instances)` is called once, and later.

        If the host does not reply in time and nothing was received on the connection, the connection is
        closed, so that the order does not arrive later.
        """

        def ended(outcome: Reply | Result) -> None:
            if isinstance(outcome, Result):
                on_ended(outcome, 0)
            else:
                on_ended(*(messages.decode_load_order_reply(outcome) or (Result.ERROR, 0)))

        request_id = self._next_request_id()
        self._submit_with_timeout(
            host_name,
            request_id,
            messages.encode_load_order(request_id, function, instance_count),
            ended,
            on_unavailable=partial(on_ended, Result.CONNECT_FAILED, 0),
            timeout=self.order_timeout,
            on_timeout=partial(on_ended, Result.TIMEOUT, 0),
            close_if_silent=True,
        )

    def probe(self, host_name: str, on_ended: OnProbeEnded) -> None:
        """Asks a host for its readiness and load; `on_ended` is called with both once, and later.

        It is not called if this machine has no connection or descriptor for the probe, as that shows nothing
        about the host.
        """

        def ended(outcome: Reply | Result) -> None:
            if outcome is Result.NOT_SENT:
                return
            health = None if isinstance(outcome, Result) else messages.decode_probe_reply(outcome)
            ready, report = health or (False, None)
            on_ended(report, good=ready)

        request_id, not_ready = self._next_request_id(), partial(on_ended, None, good=False)
        self._submit_with_timeout(
            host_name,
            request_id,
            messages.encode_probe(request_id),
            ended,
            on_unavailable=not_ready,
            timeout=self.probe_timeout,
            on_timeout=not_ready,
        )

    def _next_request_id(self) -> str:
        self.last_request_number += 1
        return f"g{self.last_request_number}"

    def _submit_with_timeout(
        self,
        host_name: str,
        request_id: str,
        data: bytes,
        on_ended: Callable[[Reply | Result], object],
        *,
        on_unavailable: Callable[[], object],
        timeout: int,
        on_timeout: Callable[[], object],
        close_if_silent: bool = False,
    ) -> None:
        """Submits a load order or a probe, whose id is used only once.

        One of three callbacks is called, once and later: `on_unavailable()` if the host takes no requests,
        `on_timeout()` after `timeout` ns, else `on_ended`. `close_if_silent`: after a timeout, closes the
        connection if nothing has been received on it since the request was created.
        """
        host = self.hosts.get(host_name)
        if host is None or not host.active:
            self.loop.call_soon(on_unavailable)
            return

        def ended(outcome: Reply | Result) -> bool:
            timer.cancel()
            on_ended(outcome)
            return True

        def timed_out(host: Host, request: PendingRequest) -> None:
            connection = request.connection
            request.cancel()
            silent = connection.is_silent_since(request.created_at)
            if close_if_silent and silent and connection in host.connections:
                connection.fail(TimeoutError("host sent nothing before the load order timed out"))
            on_timeout()

        request = self.submit(host, request_id, lambda now: data, NO_DEADLINE, Idempotency.IDEMPOTENT, ended)
        if request is None:  # no connection can be used or opened
            self.loop.call_soon(on_ended, Result.NOT_SENT)
            return
        timer = self.loop.call_later(timeout, timed_out, host, request)
