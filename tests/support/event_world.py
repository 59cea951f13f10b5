"""The core, the real decisions and the client of JSON lines hosts, on scripted streams in memory.

A test causes one event after the other: sent and received bytes, ends of streams, changes of hosts. The time
stands still between the events. Each request that a host receives is checked at the moment at which it is
sent.
"""

import errno
import json
from types import SimpleNamespace

from helpers import ROUTING_SETTINGS, row
from scripted import MILLI, SECOND, HeldDials

from gaproute import interface
from gaproute.core.core import Core
from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.decisions.routing import Gateway
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.jsonlines import connection as connections
from gaproute.hosts.jsonlines.client import JsonLinesClient
from gaproute.interface.call import Call, FinalResult
from gaproute.loop import Loop, SteppedClock
from gaproute.telemetry.record import GatewayRecord

HOSTS = ("a", "b")
CLIENT_TIME_LEFT = 3 * SECOND  # for which each client waits
REPEAT_WINDOW = 300 * MILLI  # for which hosts recognize an idempotency key
REQUEST_CLASSES = tuple(
    request_class._replace(deduplication_window=REPEAT_WINDOW, latency_objective=200 * MILLI)
    for request_class in ROUTING_SETTINGS.request_classes
)
NEVER_RAN_ANSWERS = ("overload", "not_here", "nobody")
ANSWERS = ("served", "served", "served", "crashed", "garbled", *NEVER_RAN_ANSWERS)
STREAM_ENDS = (None, ConnectionResetError(errno.ECONNRESET, "reset"))
CONNECT_ERRORS = (
    ConnectionRefusedError(errno.ECONNREFUSED, "refused"),
    OSError(errno.EMFILE, "too many open files"),
    TimeoutError("no answer"),
)


class TickingClock(SteppedClock):
    """A clock that advances by a microsecond each time it is read, so that no answer takes no time."""

    def __call__(self):
        self.now += 1000
        return self.now


class ScriptedStream:
    """Replaces a `Stream`. The kernel accepts `World.send_capacity` bytes at a time.

    The rest of the bytes waits for `flush`.
    """

    def __init__(self, loop, incarnation, on_bytes, on_end):
        self.world, self.incarnation = incarnation.world, incarnation
        self.on_bytes, self.on_end = on_bytes, on_end
        self.on_writable, self.bytes_sent, self.bytes_unsent, self.open = None, 0, 0, True
        self.world.streams.append(self)

    def try_write(self, data):
        if not self.open or self.bytes_unsent or not self.world.send_capacity:
            return False
        self.world.check_attempt(self, json.loads(data), len(data))
        self.write(data)
        return True

    def write(self, data):
        if self.open:
            sent = 0 if self.bytes_unsent else min(len(data), self.world.send_capacity)
            self.bytes_sent, self.bytes_unsent = self.bytes_sent + sent, self.bytes_unsent + len(data) - sent

    def flush(self):
        """Lets the kernel accept the unsent bytes."""
        self.bytes_sent, self.bytes_unsent = self.bytes_sent + self.bytes_unsent, 0
        if self.open:
            self.on_writable()

    def receive(self, message_type, request_id, **fields):
        if self.open:
            self.on_bytes(json.dumps({"type": message_type, "req": request_id} | fields).encode() + b"\n")

    def is_quiet(self):
        return True

    def end(self, error):
        if self.open:
            self.open = False
            self.on_end(error)

    def abort(self):
        self.open = False


class World:
    """A gateway with two hosts; each event method is one action of a client, a host or the kernel.

    The argument `index` of an event chooses the object of the event among those present (modulo their
    number), and `variant` chooses one of the variants of the event.
    """

    def __init__(self, patch, cancel, hedging, requests_per_connection, answers):
        patch.setattr(connections, "connect", dials := HeldDials())
        patch.setattr(connections, "Stream", ScriptedStream)
        self.dials, self.streams, self.send_capacity, self.errors = dials, [], 1 << 20, []
        self.loop = Loop(TickingClock(1000 * SECOND))
        self.loop.on_error = self.errors.append
        self.hedging, self.answers = hedging, answers
        deployment = SimpleNamespace(
            idle_time=15 * SECOND,
            connect_time=0,
            order_time=SECOND,
            requests_per_connection=requests_per_connection,
            same_function_counted=True,
            cancel_allowed=cancel,
        )
        self.hosts = JsonLinesClient(self.loop, ConnectionReusePolicy(), deployment, 64)
        routing_settings = ROUTING_SETTINGS._replace(
            request_classes=REQUEST_CLASSES, cancel_allowed=cancel, hedging_allowed=hedging
        )
        self.record = GatewayRecord(
            SimpleNamespace(error=lambda event, **fields: self.errors.append(fields)), "pgs", 0
        )
        self.hosts.on_host_removed = self.record.forget_host
        self.core = Core(
            self.loop,
            Gateway(7, routing_settings, self.loop.now()),
            routing_settings,
            self.hosts,
            self.record,
            "g",
        )
        self.rows = {name: row(name, started=0) for name in HOSTS}
        self.incarnations = {name: SimpleNamespace(world=self, name=name) for name in HOSTS}
        self.requests, self.attempts = [], []
        self.requests_by_id = {}  # by the client's id: the latest request with that id
        self.end_time = 1 << 62
        self.change_host_list()

    # Checks of attempts

    def check_attempt(self, stream, command, size):
        """Checks that the gateway may send the request on this stream now, and records the attempt."""
        if command["type"] != "go":
            return
        now, request = self.loop.now(), self.requests_by_id[command["req"]]
        incarnation = stream.incarnation
        unanswered = [
            in_flight
            for in_flight in self.core.in_flight.values()
            if in_flight.call.request_id == command["req"] and in_flight.on_final
        ]
        assert unanswered, "an attempt started without a request in flight"
        assert not request.finals, "an attempt started after the final answer"
        assert not request.left, "an attempt started after the client had left"
        assert now < min(request.deadline, self.end_time), "an attempt started after the deadline"
        assert self.incarnations[incarnation.name] is incarnation
        assert self.rows[incarnation.name].state is interface.ListedHostState.ACTIVE
        before = [attempt for attempt in self.attempts if attempt.request is request]
        may_have_run = [attempt for attempt in before if attempt.answer not in NEVER_RAN_ANSWERS]
        if request.idempotency is interface.Idempotency.NON_IDEMPOTENT:
            assert not may_have_run, "a non-idempotent request that may have run was sent again"
        if request.idempotency is interface.Idempotency.IDEMPOTENT_WITH_KEY and may_have_run:
            assert now < may_have_run[0].at + REPEAT_WINDOW, "a retry was sent after the repeat window"
        if not self.hedging:
            assert all(attempt.answer or not attempt.stream.open for attempt in before), (
                "a second attempt started without hedging"
            )
        end_of_request = stream.bytes_sent + size
        self.attempts.append(
            SimpleNamespace(
                request=request,
                stream=stream,
                at=now,
                answer=None,
                request_id=command["req"],
                is_sent=lambda: stream.bytes_sent >= end_of_request,
            )
        )

    # Events

    def submit(self, index, variant):
        """Submits a request, in one variant under the id of a request that has ended."""
        ended = [name for name, request in self.requests_by_id.items() if request.finals or request.left]
        request_id = ended[-1] if ended and variant == 0 else str(len(self.requests))
        request = SimpleNamespace(
            finals=[],
            left=False,
            idempotency=REQUEST_CLASSES[index % 3].idempotency,
            deadline=self.loop.now() + CLIENT_TIME_LEFT,
        )
        self.requests_by_id[request_id] = request
        self.requests.append(request)
        call = Call(f"m{index % 2}", "", (), b"", request_id, "x")
        request.key = self.core.submit(
            call, index % 3, 0, 1, None, self.loop.now(), CLIENT_TIME_LEFT, request.finals.append
        )

    def client_leaves(self, index, _):
        if waiting := [request for request in self.requests if not request.finals and not request.left]:
            request = waiting[index % len(waiting)]
            in_flight = self.core.in_flight.get(request.key)
            # Without an open final answer in the core, the answer is already scheduled for the client.
            request.left = in_flight is not None and in_flight.on_final is not None
            self.core.client_left(request.key)

    def end_dial(self, index):
        """Ends one of the pending dials, and returns its entry; None if there is none."""
        pending = [entry for entry in self.dials.held if entry[4]]
        if not pending:
            return None
        entry = pending[index % len(pending)]
        entry[4] = False
        return entry

    def connect_succeeds(self, index, _):
        if entry := self.end_dial(index):
            entry[3](entry[1], None)

    def connect_fails(self, index, variant):
        if entry := self.end_dial(index):
            entry[3](None, CONNECT_ERRORS[variant % len(CONNECT_ERRORS)])

    def choose_attempt(self, index, condition):
        """One of the attempts that the host has received completely and that meet the condition."""
        candidates = [
            attempt
            for attempt in self.attempts
            if attempt.stream.open and attempt.is_sent() and condition(attempt)
        ]
        return candidates[index % len(candidates)] if candidates else None

    def host_answers(self, index, variant):
        self.advance_time(20 * MILLI)  # no host answers at once
        if attempt := self.choose_attempt(index, lambda attempt: attempt.answer is None):
            attempt.answer = self.answers[variant % len(self.answers)]
            is_garbled = attempt.answer == "garbled"
            message_type, data = ("served", "?") if is_garbled else (attempt.answer, self.body(attempt))
            attempt.stream.receive(message_type, attempt.request_id, data=data, meta={"queue_fn": variant})

    def body(self, attempt):
        return f"{self.attempts.index(attempt):04}"

    def host_answers_again(self, index, variant):
        if attempt := self.choose_attempt(index, lambda attempt: attempt.answer not in (None, "served")):
            attempt.stream.receive(ANSWERS[variant % 4], attempt.request_id, data="oddd")

    def host_answers_unsent_request(self, index, variant):
        """Sends an answer to a request that the host did not receive, or not completely."""
        if stream := self.choose_stream(index):
            received = [
                attempt.request_id
                for attempt in self.attempts
                if attempt.stream is stream and attempt.is_sent()
            ]
            unsent = [name for name in ("x", *self.requests_by_id) if name not in received]
            stream.receive("served", unsent[-1 - variant % len(unsent)], data="oddd")

    def choose_stream(self, index):
        candidates = [stream for stream in self.streams if stream.open]
        return candidates[index % len(candidates)] if candidates else None

    def receive_malformed_line(self, index, _):
        if stream := self.choose_stream(index):
            stream.on_bytes(b"no line\n")

    def end_stream(self, index, variant):
        if stream := self.choose_stream(index):
            stream.end(STREAM_ENDS[variant % len(STREAM_ENDS)])

    def change_host_list(self, index=0, variant=None):
        """Sets a host's state or removes the host from the list; `variant` None: keeps the list."""
        name = HOSTS[index % 2]
        if variant is not None:
            state = list(interface.ListedHostState)[variant % 3]
            self.rows[name] = self.rows[name]._replace(state=state)
        listed = [
            Endpoint(self.rows[host], f"127.0.0.1:{self.port(host)}")
            for host in HOSTS
            if variant != 5 or host != name
        ]
        if variant == 5:
            self.rows[name] = self.rows[name]._replace(state=interface.ListedHostState.GONE)
        self.hosts.update(listed, complete=True)
        self.core.update_hosts([endpoint.listed for endpoint in listed], complete=True)
        for host in self.hosts.hosts.values():
            host.address = self.incarnations[host.name]

    def port(self, name):
        return 1000 + self.rows[name].cell

    def host_returns(self, index, variant):
        """Lists a host as active at another address or in a new incarnation."""
        name = HOSTS[index % 2]
        old = self.rows[name]
        self.incarnations[name] = SimpleNamespace(world=self, name=name)
        self.rows[name] = old._replace(
            state=interface.ListedHostState.ACTIVE,
            cell=old.cell + variant % 2,
            started=old.started + 1 - variant % 2,
        )
        self.change_host_list()

    def change_send_capacity(self, index, variant):
        self.send_capacity = (0, 5, 1 << 20, 1 << 20)[variant % 4]
        for stream in list(self.streams) if self.send_capacity else ():
            stream.flush()

    def change_max_connections(self, index, variant):
        self.hosts.max_connections = (1, 2, 64, 64)[variant % 4]

    def end_requests(self, index, variant):
        if index < 3 and self.end_time > self.loop.now() + SECOND:
            self.end_time = self.loop.now() + (variant + 1) * 100 * MILLI
            self.core.end_requests_by(self.end_time)

    def advance_time(self, duration):
        self.loop.run(until=self.loop.sleep(duration))

    def check_end(self):
        """Checks, after the last event, that each request had one final answer and that no state remains."""
        self.send_capacity = 1 << 20
        self.advance_time(CLIENT_TIME_LEFT)
        for request in self.requests:
            assert len(request.finals) == (not request.left), (request, request.finals)
            if request.finals and request.finals[0].result is FinalResult.DELIVERED:
                assert request.finals[0].answer.body.decode() in [
                    self.body(attempt)
                    for attempt in self.attempts
                    if attempt.request is request and attempt.answer == "served"
                ]
        core, gateway = self.core, self.core.gateway
        assert not core.in_flight
        assert not core.generators
        assert not core.attempt_counts
        assert set(core.wait_timers) == {""}
        assert not gateway.tracker.in_flight
        assert not gateway.load_order_limiter.open_orders
        assert not any(host.in_flight or host.overdue for host in gateway.hosts_by_id.values())
        self.advance_time(30 * SECOND)
        assert not any(
            connection.pending for host in self.hosts.hosts.values() for connection in host.connections
        )
        assert not self.hosts.connection_count()
        assert not any(entry[4] for entry in self.dials.held)
        listed = {name for name in HOSTS if self.rows[name].state is not interface.ListedHostState.GONE}
        assert set(self.hosts.hosts) == listed
        assert {key[1] for key in self.record.counts if key[0] in ("attempts", "load_orders")} <= listed
        assert sum(timer.call is not None for _, _, timer in self.loop.timers) == 2, (
            "timers remain beside the two of an idle gateway"
        )
        assert not self.errors, self.errors
