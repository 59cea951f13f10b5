"""The client of hosts that speak KServe v2: attempts, load orders and probes on pooled connections.

The client chooses no host and retries nothing. `decisions.connections.pooling` says which idle connection may
be used, `gaproute.hosts.results` what the end of an exchange proves. `update` takes over the endpoint list.
"""

from collections.abc import Callable, Iterable
from functools import partial
from typing import TypeAlias

from gaproute.core.in_flight import AttemptHandle
from gaproute.core.ports import OnProbeEnded
from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.hosts import orca, results
from gaproute.hosts.attempts import OnAttemptEnded, OnLoadOrderEnded, UnsentAttempt
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve import messages
from gaproute.hosts.kserve.attempts import SentAttempt, attempt_result
from gaproute.hosts.kserve.host_connections import HostConnections
from gaproute.hosts.kserve.settings import DEFAULT_SETTINGS, ClientSettings
from gaproute.http1 import Exchange, NoResponseError, Response
from gaproute.interface import Idempotency, ListedHostState, Result
from gaproute.interface.call import Call
from gaproute.loop import Loop
from gaproute.units import SECOND

OK_STATUS = 200
LOAD_REFUSED_STATUSES = (404, 409, 429)  # of a load order: no such model, or no space for it
SWEEP_INTERVAL = SECOND
REUSE_RACE_WINDOW = SECOND  # a reused connection that ends this soon was perhaps closed as it was used

OnExchangeEnded: TypeAlias = Callable[[Response | NoResponseError], object]
RequestBytes: TypeAlias = bytes | Callable[[int], bytes]  # or a function of the loop's time, ns


class KServeClient:
    """Sends to hosts by name, and owns the connections to them."""

    forwards = False  # whether requests go to other gateways instead of hosts

    def __init__(
        self,
        loop: Loop,
        pooling: ConnectionReusePolicy,
        settings: ClientSettings = DEFAULT_SETTINGS,
        gateway_name: str = "gaproute",
    ) -> None:
        self.loop, self.pooling, self.settings, self.gateway_name = (
            loop,
            pooling,
            settings,
            gateway_name.encode(),
        )
        self.hosts: dict[str, HostConnections] = {}
        self.connections_opened = self.connections_reused = self.reuse_races = 0
        self.sweep()

    def update(self, endpoints: Iterable[Endpoint], *, complete: bool) -> None:
        """Takes over the complete endpoint list, or changes of it if `complete` is false.

        Hosts that drain or are gone get no further request, not even one that waits for its connection.
        Their requests in flight continue.
        """
        named = set()
        for endpoint in endpoints:
            named.add(endpoint.listed.host)
            self._update_host(endpoint)
        for host in list(self.hosts.values()):
            missing = complete and host.name not in named
            if missing:
                host.active = False
            if host.active:
                continue
            host.close_idle()
            host.abandon_connecting("host is draining or gone")
            if missing and not host.open_connections:
                del self.hosts[host.name]
                self.pooling.forget_host(host.name)

    def _update_host(self, endpoint: Endpoint) -> None:
        name = endpoint.listed.host
        host = self.hosts.get(name)
        if host is None:
            host = self.hosts[name] = HostConnections(self.loop, self.pooling, name, endpoint.address)
        elif endpoint.address.encode() != host.address_text:
            host.close_idle()
            host.set_address(endpoint.address)
        host.active = endpoint.listed.state is ListedHostState.ACTIVE

    def sweep(self) -> None:
        """Closes connections that have been idle too long; runs every second."""
        for host in self.hosts.values():
            host.close_expired()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self.sweep)

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
        of the request is owed by `deadline`. Both are times of the loop's clock, ns.
        """
        if not call.client_present():
            return UnsentAttempt(self.loop, on_ended, Result.NOT_SENT)
        host = self.hosts[host_name]

        def ended(outcome: Response | NoResponseError) -> None:
            on_ended(attempt_result(outcome))

        data = self.encode_attempt(call, gateway_request_id, host, start_before)
        exchange = self._start_exchange(host, data, idempotency, ended, start_before, call.client_present)
        if exchange is None:
            return UnsentAttempt(self.loop, on_ended, Result.FULL)
        return SentAttempt(host, exchange, forwards=self.forwards)

    def encode_attempt(
        self, call: Call, gateway_request_id: str, host: HostConnections, start_before: int
    ) -> RequestBytes:
        """The bytes of an attempt, or a function that makes them when the attempt is sent."""
        return messages.encode_infer(call, gateway_request_id, host.address_text)

    def order(self, host_name: str, function: str, instance_count: int, on_ended: OnLoadOrderEnded) -> None:
        """Sends a load order; `on_ended(result, number of loaded instances)` is called once, and later."""
        host = self.hosts[host_name]

        def ended(outcome: Response | NoResponseError) -> None:
            if isinstance(outcome, NoResponseError):
                on_ended(results.result_of_failed_exchange(outcome), 0)
            elif outcome.status == OK_STATUS:
                on_ended(Result.OK, messages.decode_load_response(outcome.body))
            else:
                on_ended(Result.FULL if outcome.status in LOAD_REFUSED_STATUSES else Result.ERROR, 0)

        data = messages.encode_load_order(function, instance_count, host.address_text, self.gateway_name)
        timeout = self.settings.order_timeout
        if not self._start_exchange_with_timeout(
            host, data, timeout, ended, partial(on_ended, Result.TIMEOUT, 0)
        ):
            self.loop.call_soon(on_ended, Result.FULL, 0)

    def probe(self, host_name: str, on_ended: OnProbeEnded) -> None:
        """Asks a host for its readiness and load; `on_ended` is called with both once, and later.

        It is not called if this machine has no connection or descriptor for the probe, as that shows nothing
        about the host.
        """
        host = self.hosts[host_name]

        def ended(outcome: Response | NoResponseError) -> None:
            if isinstance(outcome, NoResponseError):
                if results.result_of_failed_exchange(outcome) is not Result.NOT_SENT:
                    on_ended(None, good=False)
            elif outcome.status == OK_STATUS:
                on_ended(orca.decode_headers(outcome.headers).report, good=True)
            else:
                on_ended(None, good=False)

        data = messages.encode_probe(host.address_text)
        timeout = self.settings.probe_timeout
        self._start_exchange_with_timeout(host, data, timeout, ended, partial(on_ended, None, good=False))

    def close(self) -> None:
        """Closes every connection and ends the sweeps."""
        self.sweep_timer.cancel()
        for host in self.hosts.values():
            host.close()

    def _start_exchange_with_timeout(
        self,
        host: HostConnections,
        data: bytes,
        timeout: int,
        on_ended: OnExchangeEnded,
        on_timeout: Callable[[], object],
    ) -> bool:
        """Starts an idempotent exchange with a timeout in ns; False where the host has no free connection."""
        timer = None

        def ended(outcome: Response | NoResponseError) -> None:
            if timer is not None:
                timer.cancel()
            on_ended(outcome)

        def timed_out(exchange: Exchange) -> None:
            host.cancel(exchange)
            on_timeout()

        exchange = self._start_exchange(host, data, Idempotency.IDEMPOTENT, ended)
        if exchange is None:
            return False
        timer = self.loop.call_later(timeout, timed_out, exchange)
        return True

    def _start_exchange(
        self,
        host: HostConnections,
        data: RequestBytes,
        idempotency: Idempotency,
        on_ended: OnExchangeEnded,
        start_before: int | None = None,
        still_wanted: Callable[[], bool] | None = None,
    ) -> Exchange | None:
        """Sends a request on an idle connection that pooling allows for it, else on a new one.

        None where the host has the maximum number of connections. `on_ended` is called once, and later.
        """
        reused = host.take_idle(idempotency)

        def ended(response: Response | None, failure: NoResponseError | None) -> None:  # one is None
            host.connecting_exchanges.pop(exchange, None)
            if exchange.connection is not None:
                host.release(exchange.connection)
            if response is not None:
                on_ended(response)
            elif failure is not None:
                if failure.any_byte_sent and reused is not None:
                    self._count_reuse_race(exchange)
                on_ended(failure)

        exchange = Exchange(self.loop, data, ended, start_before, still_wanted)
        if reused is not None:
            self.connections_reused += 1
            exchange.send_on(reused)
            return exchange
        if len(host.open_connections) >= self.settings.max_connections:
            return None
        self.connections_opened += 1
        host.connecting_exchanges[exchange] = None
        exchange.connect(
            host.address,
            self.settings.connect_timeout,
            self.settings.max_head_bytes,
            self.settings.max_response_bytes,
            partial(host.on_connected, exchange),
        )
        return exchange

    def _count_reuse_race(self, exchange: Exchange) -> None:
        if self.loop.now() - exchange.started_at < REUSE_RACE_WINDOW:
            self.reuse_races += 1
