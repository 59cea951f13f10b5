"""The client of hosts that speak KServe v2: attempts, load orders and probes on open connections.

It reports what it sees and chooses nothing: `decisions.connections.pooling` says which open connection may be
used, `gaproute.hosts.results` what an end proves. `update` brings the endpoint list.
"""

from collections.abc import Callable, Iterable
from functools import partial
from typing import TypeAlias

from gaproute.core.in_flight import AttemptHandle
from gaproute.core.ports import OnProbeEnded
from gaproute.decisions.connections.pooling import Pooling
from gaproute.hosts import orca, results
from gaproute.hosts.attempts import OnAttemptEnded, OnLoadOrderEnded, UnsentAttempt
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.kserve import messages
from gaproute.hosts.kserve.attempts import SentAttempt, attempt_result
from gaproute.hosts.kserve.host_connections import HostConnections
from gaproute.hosts.kserve.settings import DEFAULT_SETTINGS, ClientSettings
from gaproute.http1 import Exchange, NoResponseError, Response
from gaproute.interface import Idempotency, Result, State
from gaproute.interface.call import Call
from gaproute.loop import Loop
from gaproute.units import SECOND

OK_STATUS = 200
REFUSED_STATUSES = (404, 409, 429)  # of a load order: there is no space for it, or no such model
SWEEP_INTERVAL = SECOND
REUSE_RACE_WINDOW = SECOND  # an open connection that ends within it was perhaps closed just as it was used

OnExchangeEnded: TypeAlias = Callable[[Response | NoResponseError], object]
RequestBytes: TypeAlias = bytes | Callable[[int], bytes]  # or what makes them at a time of the loop's clock


class KServeClient:
    """All hosts by name, with their connections."""

    forwards = False  # whether what is reached are other gateways

    def __init__(
        self,
        loop: Loop,
        pooling: Pooling,
        settings: ClientSettings = DEFAULT_SETTINGS,
        gateway: str = "gaproute",
    ) -> None:
        self.loop, self.pooling, self.settings, self.gateway = loop, pooling, settings, gateway.encode()
        self.hosts: dict[str, HostConnections] = {}
        self.opened = self.reused = self.reuse_races = 0
        self.sweep()

    def update(self, endpoints: Iterable[Endpoint], *, complete: bool) -> None:
        """Take over the endpoint list, or with `complete` False changes of it.

        From now on nothing more goes to hosts that drain or are gone, also what waits for its connection;
        what they have in flight runs on.
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
            host.abandon_connecting("the host drains or is gone")
            if missing and not host.open:
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
        host.active = endpoint.listed.state is State.ACTIVE

    def sweep(self) -> None:
        """Close connections that have been idle too long, and go on doing so."""
        for host in self.hosts.values():
            host.close_expired()
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self.sweep)

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
        """Send one attempt of the request with that id; `on_ended(result)` once, never at once.

        It begins before `until`, by the loop's clock, while its client is present, or never. `limit`: when
        the request's final answer is owed.
        """
        if not call.client_present():
            return UnsentAttempt(self.loop, on_ended, Result.NOT_SENT)
        host = self.hosts[host_name]

        def ended(outcome: Response | NoResponseError) -> None:
            on_ended(attempt_result(outcome))

        data = self.encode_attempt(call, request, host, until)
        exchange = self._start_exchange(host, data, idempotency, ended, until, call.client_present)
        if exchange is None:
            return UnsentAttempt(self.loop, on_ended, Result.FULL)
        return SentAttempt(host, exchange, forwards=self.forwards)

    def encode_attempt(self, call: Call, request: str, host: HostConnections, until: int) -> RequestBytes:
        """The bytes of an attempt, or what makes them when they are sent."""
        return messages.encode_infer(call, request, host.address_text)

    def order(self, host_name: str, function: str, copies: int, on_ended: OnLoadOrderEnded) -> None:
        """Send a load order; `on_ended(result, instances that are loaded)` once, never at once."""
        host = self.hosts[host_name]

        def ended(outcome: Response | NoResponseError) -> None:
            if isinstance(outcome, NoResponseError):
                on_ended(results.of_undelivered(outcome), 0)
            elif outcome.status == OK_STATUS:
                on_ended(Result.OK, messages.decode_load(outcome.body))
            else:
                on_ended(Result.FULL if outcome.status in REFUSED_STATUSES else Result.ERROR, 0)

        data = messages.encode_load(function, copies, host.address_text, self.gateway)
        timeout = self.settings.order_timeout
        if not self._exchange_within(host, data, timeout, ended, partial(on_ended, Result.TIMEOUT, 0)):
            self.loop.call_soon(on_ended, Result.FULL, 0)

    def probe(self, host_name: str, on_ended: OnProbeEnded) -> None:
        """Ask for readiness and load; `on_ended` is called with both once, never at once.

        It is not called where this machine had no connection or descriptor for the probe: that says nothing
        of the host.
        """
        host = self.hosts[host_name]

        def ended(outcome: Response | NoResponseError) -> None:
            if isinstance(outcome, NoResponseError):
                if results.of_undelivered(outcome) is not Result.NOT_SENT:
                    on_ended(None, good=False)
            elif outcome.status == OK_STATUS:
                on_ended(orca.decode_headers(outcome.headers).report, good=True)
            else:
                on_ended(None, good=False)

        data = messages.encode_ready(host.address_text)
        timeout = self.settings.probe_timeout
        self._exchange_within(host, data, timeout, ended, partial(on_ended, None, good=False))

    def close(self) -> None:
        """Close every connection, and sweep no more."""
        self.sweep_timer.cancel()
        for host in self.hosts.values():
            host.close()

    def _exchange_within(
        self,
        host: HostConnections,
        data: bytes,
        timeout: int,
        on_ended: OnExchangeEnded,
        on_timeout: Callable[[], object],
    ) -> bool:
        """An idempotent exchange that is cancelled after `timeout` ns; False where it cannot be sent."""
        timer = None

        def ended(outcome: Response | NoResponseError) -> None:
            if timer is not None:
                timer.cancel()
            on_ended(outcome)

        def overdue(exchange: Exchange) -> None:
            host.cancel(exchange)
            on_timeout()

        exchange = self._start_exchange(host, data, Idempotency.IDEMPOTENT, ended)
        if exchange is None:
            return False
        timer = self.loop.call_later(timeout, overdue, exchange)
        return True

    def _start_exchange(
        self,
        host: HostConnections,
        data: RequestBytes,
        idempotency: Idempotency,
        on_ended: OnExchangeEnded,
        until: int | None = None,
        wanted: Callable[[], bool] | None = None,
    ) -> Exchange | None:
        """Send a request on an open connection that may be trusted with it, else on a new one.

        None where the host has as many connections as it may. `on_ended` is called once, never at once.
        """
        reused = host.take_idle(idempotency)

        def ended(answer: Response | None, undelivered: NoResponseError | None) -> None:  # one is None
            host.connecting.pop(exchange, None)
            if exchange.connection is not None:
                host.release(exchange.connection)
            if answer is not None:
                on_ended(answer)
            elif undelivered is not None:
                if undelivered.any_byte_sent and reused is not None:
                    self._count_reuse_race(exchange)
                on_ended(undelivered)

        exchange = Exchange(self.loop, data, ended, until, wanted)
        if reused is not None:
            self.reused += 1
            exchange.send_on(reused)
            return exchange
        if len(host.open) >= self.settings.max_connections:
            return None
        self.opened += 1
        host.connecting[exchange] = None
        exchange.connect(
            host.address,
            self.settings.connect_timeout,
            self.settings.max_head_bytes,
            self.settings.max_answer_bytes,
            partial(host.connected, exchange),
        )
        return exchange

    def _count_reuse_race(self, exchange: Exchange) -> None:
        if self.loop.now() - exchange.started_at < REUSE_RACE_WINDOW:
            self.reuse_races += 1
