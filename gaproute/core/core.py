"""Connects the fronts, the decisions and the hosts of a running gateway.

A front (the server of one client protocol) submits a `Call` and receives one `FinalAnswer` for it. The hosts
report one `AttemptResult` for each attempt. Fronts and hosts do not depend on each other.
"""

from collections.abc import Callable, Sequence
from functools import partial

from gaproute import interface
from gaproute.core.attempts import AttemptRunner
from gaproute.core.in_flight import RequestInFlight
from gaproute.core.ports import DecisionModule, Hosts
from gaproute.interface.call import Call, FinalAnswer
from gaproute.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.telemetry.record import GatewayRecord
from gaproute.units import MILLI


class Core(AttemptRunner):
    """Drives the decisions of one gateway on its requests and its hosts. Times are ns of the loop's clock."""

    def __init__(
        self,
        loop: Loop,
        gateway: DecisionModule,
        routing_settings: interface.RoutingSettings,
        hosts: Hosts,
        record: GatewayRecord,
        id_prefix: str,
    ) -> None:
        """`id_prefix`: the prefix of the gateway's ids of requests, which no other gateway may have."""
        super().__init__(gateway, loop, record, hosts, routing_settings.request_classes)
        self.id_prefix = id_prefix
        self.wait_timers: dict[str, Timer] = {}  # by key
        self.submitted_count = 0  # number of submitted requests
        self.send_to_peers: Callable[[bytes], None] | None = None  # None: there are no other gateways
        self.on_arrival: Callable[[int, str, int], None] | None = None  # takes time, function, request class

    # Requests of the fronts

    def submit(
        self,
        call: Call,
        request_class: int,
        tenant: int,
        lanes: int,
        load_time: int | None,
        first_byte_at: int,
        time_left: int,
        on_final: Callable[[FinalAnswer], None],
    ) -> str:
        """Accepts a request and returns the id that the gateway assigns to it.

        `request_class` and `tenant` are indices in the routing settings; `lanes` is the number of requests
        that one instance runs at a time. The client waits for `time_left` ns from `first_byte_at` on.
        `on_final` is called once, and never before this method returns.
        """
        self.submitted_count += 1
        key = f"{self.id_prefix}-{self.submitted_count:x}"
        now = self.loop.now()
        remaining_time = max(0, first_byte_at + time_left - now)
        deadline = now + remaining_time
        deadline_timer = self.loop.call_at(deadline, self._deadline_passed, key)
        request = RequestInFlight(key, call, request_class, on_final, first_byte_at, deadline, deadline_timer)
        self.in_flight[key] = request
        self.request_memory.add(len(call.body))
        self._record_arrival(request, now, remaining_time)
        try:
            self.start_request(
                now,
                interface.Request(
                    key, tenant, remaining_time, call.function, lanes, load_time, request_class
                ),
            )
        except Exception as error:  # noqa: BLE001 - no error may affect other requests
            self._handle_decision_error(key, error)
        return key

    def _record_arrival(self, request: RequestInFlight, now: int, remaining_time: int) -> None:
        call = request.call
        self.record.count_request(request.request_class)
        if self.on_arrival is not None:
            self.on_arrival(now, call.function, request.request_class)
        if self.record.is_traced(call.request_id):
            request.log_step = partial(self.record.log_step, call.request_id)
            request.log_step(
                "received",
                gateway_request_id=request.id,
                request_class=call.request_class,
                function=call.function,
                time_left_ms=remaining_time // MILLI,
            )

    def client_left(self, key: str) -> bool:
        """Handles the departure of a client: no further attempt of its request starts.

        Returns whether the request may have run, or may yet. One that has its final answer counts as run.
        """
        request = self.in_flight.get(key)
        if request is None or request.on_final is None:
            return True
        may_have_run = request.may_have_run or any(
            handle.started and not handle.cancellable for _, _, handle in request.attempts.values()
        )
        request.on_final = None
        self.record.count_client_left(request.request_class)
        if request.log_step is not None:
            request.log_step("client_left", attempts=len(request.attempts))
        self._call_guarded(key, self.abandon_request, self.loop.now(), key)
        self._withdraw_attempts(request)
        self._release_if_complete(request)
        return may_have_run

    def end_requests_by(self, when: int) -> None:
        """Ensures that each request gets its final answer by `when`, as the process ends soon."""
        self.gateway.end_by = when
        self.loop.call_at(when, self._end_all_requests)

    def _end_all_requests(self) -> None:
        for request in list(self.in_flight.values()):
            self._call_guarded(request.id, self.wait_elapsed, request.id, self.loop.now())
            for number in request.attempts:
                self._withdraw_attempt(request, number)

    # Waits

    def start_wait(self, key: str, until: int, now: int) -> None:
        """Schedules the end of the generator's wait at `until`; replaces an earlier wait of the key."""
        self.cancel_wait(key)
        self.wait_timers[key] = self.loop.call_at(until, self._wait_elapsed, key)

    def cancel_wait(self, key: str) -> None:
        """Cancels the wait of the key, if there is one."""
        timer = self.wait_timers.pop(key, None)
        if timer is not None:
            timer.cancel()

    def _wait_elapsed(self, key: str) -> None:
        self.wait_timers.pop(key, None)
        self._call_guarded(key, self.wait_elapsed, key, self.loop.now())

    # Hosts

    def update_hosts(self, rows: Sequence[interface.ListedHost], *, complete: bool) -> None:
        """Applies a host list (`complete`) or changes of it."""
        now = self.loop.now()
        self.gateway.update_hosts(now, rows, complete=complete)
        self.start_housekeeping(now)

    def watch_host_list(self) -> None:
        """Does nothing: a running gateway receives its host list without a request."""

    def order_load(self, host: str, function: str, instances: int) -> None:
        """Sends a load order to a host."""
        self.record.count_load_order(host)
        ordered_at = self.loop.now()
        self.hosts.order(
            host, function, instances, partial(self._order_answered, ordered_at, host, function, instances)
        )

    def _order_answered(
        self,
        ordered_at: int,
        host: str,
        function: str,
        copies: int,
        result: interface.Result,
        copies_loaded: int,
    ) -> None:
        now = self.loop.now()
        if self.record.is_traced(function):
            self.record.log_load_order(
                function,
                host=host,
                copies=copies,
                result=result.value,
                copies_loaded=copies_loaded,
                took_ms=(now - ordered_at) // MILLI,
            )
        self.gateway.load_order_ended(now, host, function, result, copies_loaded)

    def probe_host(self, host: str) -> None:
        """Sends a health check to a host."""
        self.hosts.probe(host, partial(self._probe_answered, host))

    def _probe_answered(self, host: str, report: interface.HostLoadReport | None, *, good: bool) -> None:
        self.probe_answered(self.loop.now(), host, report, good=good)

    # Other gateways

    def broadcast(self, payload: bytes) -> None:
        """Sends a payload to all other gateways, if there are any."""
        if self.send_to_peers is not None:
            self.send_to_peers(payload)

    def receive_broadcast(self, payload: bytes, /) -> None:
        """Passes a payload of another gateway to the decisions, which ignore a malformed one."""
        self.gateway.peer_message_received(self.loop.now(), payload)
