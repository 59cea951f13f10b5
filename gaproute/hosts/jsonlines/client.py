"""The client of hosts that take lines of JSON: attempts, load orders and probes, many on one connection.

The client chooses no host and retries nothing. `ConnectionPool.submit` finds a connection for a request,
`ConnectionPool.update` takes over the host list, and `gaproute.hosts.results` says what the end of a
connection proves about the requests on it.
"""

from collections.abc import Callable
from functools import partial

from gaproute.core.in_flight import AttemptHandle, AttemptResult
from gaproute.core.ports import OnProbeEnded
from gaproute.decisions.connections.pooling import Pooling
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

DEFAULT_ORDER_TIMEOUT = 10 * SECOND  # where the settings have none


class JsonLinesClient(ConnectionPool):
    """Sends to hosts by name, on the connections of the pool."""

    def __init__(
        self, loop: Loop, pooling: Pooling, deployment: DeploymentSettings, max_connections: int
    ) -> None:
        super().__init__(loop, pooling, deployment, max_connections)
        self.probe_timeout = self.connect_timeout
        self.order_timeout = deployment.order_time or DEFAULT_ORDER_TIMEOUT
        self.counts_reported = deployment.same_function_counted
        self.last_tag = 0
        self.unexpected = 0  # replies that do not fit the kind of their request

    def send(
        self,
        host_name: str,
        call: Call,
        idempotency: Idempotency,
        request: str,
        limit: int,
        until: int,
        on_ended: OnAttemptEnded,
    ) -> AttemptHandle:
        """Send one attempt of a request; `request` is the gateway's id of it, which is not sent.

        `on_ended(result)` is called once, and never before this method has returned. The attempt begins
        before `until` (ns of the loop's clock) and while its client is present, or never. `limit`: when the
        request's final answer is owed (ns).
        """
        host = self.hosts.get(host_name)
        if host is None or not host.active:
            return UnsentAttempt(self.loop, on_ended, Result.CONNECT_FAILED)

        def ended(outcome: Reply | Result) -> bool:
            if isinstance(outcome, Result):
                attempt = AttemptResult(outcome, None)
            else:
                attempt = self._attempt_result(outcome)
            on_ended(attempt)
            return attempt.result is Result.OK

        def encode(now: int) -> bytes:
            return messages.encode_attempt(call, limit - now)

        pending = self.submit(host, call.request_id, encode, until, idempotency, ended, call.client_present)
        return pending or UnsentAttempt(self.loop, on_ended, Result.NOT_SENT)

    def _attempt_result(self, reply: Reply) -> AttemptResult:
        result = messages.decode_attempt(reply, with_count=self.counts_reported)
        if result is None:
            self.unexpected += 1
            return AttemptResult(Result.ERROR, None)
        return result

    def order(self, host_name: str, function: str, copies: int, on_ended: OnLoadOrderEnded) -> None:
        """Send a load order; `on_ended(result, instances that are loaded)` is called once, later.

        If the host does not reply in time and the connection was silent, the connection is closed, so that
        the order does not arrive later.
        """

        def ended(outcome: Reply | Result) -> None:
            if isinstance(outcome, Result):
                on_ended(outcome, 0)
            else:
                on_ended(*(messages.decode_load_order(outcome) or (Result.ERROR, 0)))

        tag = self._next_tag()
        self._submit_tagged(
            host_name,
            tag,
            messages.encode_load_order(tag, function, copies),
            ended,
            unavailable=partial(on_ended, Result.CONNECT_FAILED, 0),
            timeout=self.order_timeout,
            overdue=partial(on_ended, Result.TIMEOUT, 0),
            end_silent=True,
        )

    def probe(self, host_name: str, on_ended: OnProbeEnded) -> None:
        """Ask a host for its readiness and load; `on_ended` is called with both once, later.

        It is not called where this machine had no connection or descriptor for the probe, as that shows
        nothing about the host.
        """

        def ended(outcome: Reply | Result) -> None:
            if outcome is Result.NOT_SENT:
                return
            health = None if isinstance(outcome, Result) else messages.decode_health(outcome)
            ready, report = health or (False, None)
            on_ended(report, good=ready)

        tag, not_ready = self._next_tag(), partial(on_ended, None, good=False)
        self._submit_tagged(
            host_name,
            tag,
            messages.encode_probe(tag),
            ended,
            unavailable=not_ready,
            timeout=self.probe_timeout,
            overdue=not_ready,
        )

    def _next_tag(self) -> str:
        self.last_tag += 1
        return f"g{self.last_tag}"

    def _submit_tagged(
        self,
        host_name: str,
        tag: str,
        data: bytes,
        on_ended: Callable[[Reply | Result], object],
        *,
        unavailable: Callable[[], object],
        timeout: int,
        overdue: Callable[[], object],
        end_silent: bool = False,
    ) -> None:
        """Submit a load order or a probe under the id `tag`, which is used once.

        One of three callbacks is called, once and later: `unavailable()` where the host takes no requests,
        `overdue()` after `timeout` ns, else `on_ended`. `end_silent`: after a timeout, close the connection
        if nothing has been received on it since the request was made.
        """
        host = self.hosts.get(host_name)
        if host is None or not host.active:
            self.loop.call_soon(unavailable)
            return

        def ended(outcome: Reply | Result) -> bool:
            timer.cancel()
            on_ended(outcome)
            return True

        def timed_out(host: Host, request: PendingRequest) -> None:
            connection = request.connection
            request.cancel()
            silent = connection.is_silent_since(request.created_at)
            if end_silent and silent and connection in host.connections:
                connection.fail(TimeoutError("nothing came back"))
            overdue()

        request = self.submit(host, tag, lambda now: data, NO_DEADLINE, Idempotency.IDEMPOTENT, ended)
        if request is None:  # no further connection can be had here
            self.loop.call_soon(on_ended, Result.NOT_SENT)
            return
        timer = self.loop.call_later(timeout, timed_out, host, request)
