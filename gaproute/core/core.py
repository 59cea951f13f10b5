"""The core of a running gateway: requests from any front, actions to the hosts, one final answer for each.

A front (the server of one client protocol) hands in a `Call` and gets one `Final` for it; the hosts report
one `AttemptResult` for each attempt. Fronts and hosts do not know of each other.
"""

from collections.abc import Callable, Sequence
from functools import partial

from gaproute import interface
from gaproute.core.attempts import AttemptRunner
from gaproute.core.in_flight import RequestInFlight
from gaproute.core.ports import DecisionModule, Hosts
from gaproute.interface.call import Call, Final
from gaproute.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.telemetry.record import Record
from gaproute.units import MILLI


class Core(AttemptRunner):
    """One gateway's requests, its decisions and its hosts. Times are ns of the loop's clock."""

    def __init__(
        self,
        loop: Loop,
        gateway: DecisionModule,
        terms: interface.Terms,
        hosts: Hosts,
        record: Record,
        name: str,
    ) -> None:
        """`name` begins the ids of its requests: no two gateways have the same."""
        super().__init__(gateway, loop, record, hosts, terms.request_classes)
        self.name = name
        self.wait_timers: dict[str, Timer] = {}  # by key
        self.submitted = 0  # requests so far
        self.send_to_peers: Callable[[bytes], None] | None = None  # None: no other gateways
        self.on_arrival: Callable[[int, str, int], None] | None = None  # (now, function, class) of each

    # From the fronts

    def submit(
        self,
        call: Call,
        request_class: int,
        tenant: int,
        lanes: int,
        load_time: int | None,
        first_byte_at: int,
        time_left: int,
        on_final: Callable[[Final], None],
    ) -> str:
        """Takes a request and returns the gateway's id for it.

        `request_class` and `tenant` are indices in the terms; `lanes` is the number of requests that one
        instance runs at a time. The client waits for `time_left` ns from `first_byte_at` on. `on_final` is
        called once, and never before this method has returned.
        """
        self.submitted += 1
        key = f"{self.name}-{self.submitted:x}"
        now = self.loop.now()
        left = max(0, first_byte_at + time_left - now)
        deadline = now + left
        deadline_timer = self.loop.call_at(deadline, self._deadline_passed, key)
        request = RequestInFlight(key, call, request_class, on_final, first_byte_at, deadline, deadline_timer)
        self.in_flight[key] = request
        self._record_arrival(request, now, left)
        try:
            self.start_request(
                now, interface.Request(key, tenant, left, call.function, lanes, load_time, request_class)
            )
        except Exception as error:  # noqa: BLE001 - whatever it is, the other requests go on
            self._decisions_failed(key, error)
        return key

    def _record_arrival(self, request: RequestInFlight, now: int, left: int) -> None:
        call = request.call
        self.record.request_received(request.request_class)
        if self.on_arrival is not None:
            self.on_arrival(now, call.function, request.request_class)
        if self.record.is_traced(call.request_id):
            request.log_step = partial(self.record.log_step, call.request_id)
            request.log_step(
                "received",
                gateway_request_id=request.id,
                request_class=call.request_class,
                function=call.function,
                time_left_ms=left // MILLI,
            )

    def client_left(self, key: str) -> None:
        """Notes that the client has left: no attempt of its request begins from now on."""
        request = self.in_flight.get(key)
        if request is None or request.on_final is None:
            return
        request.on_final = None
        self.record.client_left(request.request_class)
        if request.log_step is not None:
            request.log_step("client_left", attempts=len(request.attempts))
        self._guard(key, self.abandon, self.loop.now(), key)
        self._withdraw_attempts(request)
        self._release_if_complete(request)

    def end_by(self, when: int) -> None:
        """Has each request get its final answer by `when`, as the process ends soon."""
        self.gateway.end_by = when
        self.loop.call_at(when, self._end_all)

    def _end_all(self) -> None:
        for request in list(self.in_flight.values()):
            self._guard(request.id, self.wait_elapsed, request.id, self.loop.now())
            for number in request.attempts:
                self._withdraw(request, number)

    # Waits

    def wait(self, key: str, until: int, now: int) -> None:
        """Resumes the key's generator at `until`, in place of any earlier wait."""
        self.cancel_wait(key)
        self.wait_timers[key] = self.loop.call_at(until, self._wait_elapsed, key)

    def cancel_wait(self, key: str) -> None:
        """Cancels the wait of the key, if there is one."""
        timer = self.wait_timers.pop(key, None)
        if timer is not None:
            timer.cancel()

    def _wait_elapsed(self, key: str) -> None:
        self.wait_timers.pop(key, None)
        self._guard(key, self.wait_elapsed, key, self.loop.now())

    # Hosts

    def update_hosts(self, rows: Sequence[interface.ListedHost], *, complete: bool) -> None:
        """Takes over the host list (`complete`), or a change of it."""
        now = self.loop.now()
        self.gateway.update_hosts(now, rows, complete=complete)
        self.start_housekeeping(now)

    def watch_hosts(self) -> None:
        """Does nothing: a running gateway gets its host list without asking for it."""

    def order(self, host: str, function: str, copies: int) -> None:
        """Orders a host to load a function."""
        self.record.load_ordered(host)
        ordered_at = self.loop.now()
        self.hosts.order(
            host, function, copies, partial(self._order_answered, ordered_at, host, function, copies)
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

    def probe(self, host: str) -> None:
        """Checks a host's health."""
        self.hosts.probe(host, partial(self._probe_answered, host))

    def _probe_answered(self, host: str, report: interface.Report | None, *, good: bool) -> None:
        self.probe_answered(self.loop.now(), host, report, good=good)

    # Other gateways

    def broadcast(self, payload: bytes) -> None:
        """Sends a payload to all other gateways, where there are any."""
        if self.send_to_peers is not None:
            self.send_to_peers(payload)

    def receive_broadcast(self, payload: bytes, /) -> None:
        """Takes a payload of another gateway; one that cannot be decoded is ignored."""
        self.gateway.peer_message_received(self.loop.now(), payload)
