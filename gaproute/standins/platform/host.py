"""A stand-in host of the platform: lines of JSON on the model of `gaproute.standins.model_server`."""

from __future__ import annotations

import base64
import socket
from functools import partial

from gaproute.loop import Listener, Loop, Promise
from gaproute.loop.addresses import Address
from gaproute.standins.json_objects import JsonObject
from gaproute.standins.model_server import (
    HostRequest,
    HostSetup,
    IncomingRequest,
    ModelServer,
    ReceivedLoadOrder,
    RequestEnd,
)
from gaproute.standins.model_server.faults import HostFault
from gaproute.standins.model_server.fetching import StoreClient
from gaproute.standins.model_server.instance_pool import MAX_ORDERED
from gaproute.standins.platform.gateway_connection import GatewayConnection, encode_answer
from gaproute.standins.platform.host_answers import FOUND_LETTERS, KINDS, AnswerKind, LoadReporting
from gaproute.standins.platform.host_messages import (
    CancelRequest,
    HealthCheck,
    HostMessage,
    HostMessageError,
    Introduction,
    LoadReportRequest,
    OrderLoad,
    RunRequest,
    Unload,
    check_request,
)
from gaproute.standins.tap import EventRecorder
from gaproute.units import MILLI, SECOND

SWEEP_INTERVAL = SECOND  # between looks for idle connections
GREEN, RED = "green", "red"  # states


class PlatformHost:
    """Listens at `where` and serves all functions of its setup. Errors: OSError."""

    def __init__(
        self,
        loop: Loop,
        where: Address,
        setup: HostSetup,
        tap: EventRecorder,
        reporting: LoadReporting | None = None,
    ) -> None:
        self.loop, self.profile, self.models, self.tap = loop, setup.profile, setup.models, tap
        self.reporting = reporting or LoadReporting()
        self.silent = False  # nothing is read, written or closed
        self._connections: dict[int, GatewayConnection] = {}  # by number
        self._connection_count = 0
        self.model_server = ModelServer(loop, setup, StoreClient(loop, setup.store).fetch, tap)
        self.listener = Listener(loop, where, self._accept)
        self.address = self.listener.address
        self.model_server.on_overload = self._reset_all
        self.model_server.start()
        self._sweep_timer = loop.call_later(SWEEP_INTERVAL, self._sweep)

    # Connections

    def _accept(self, sock: socket.socket) -> None:
        self._connection_count += 1
        connection = GatewayConnection(self, sock, self._connection_count)
        self._connections[connection.number] = connection
        if self.silent:
            connection.stream.pause()

    def connection_ended(self, connection: GatewayConnection) -> None:
        """All requests that are open on it are given up."""
        self._connections.pop(connection.number, None)
        for request in connection.requests.values():
            self.model_server.cancel(request)

    def _sweep(self) -> None:
        unused_since = self.loop.now() - self.profile.idle_close
        for connection in list(self._connections.values()):
            if connection.is_idle and connection.used_at < unused_since:
                connection.close()
        self._sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    # Messages

    def handle(self, connection: GatewayConnection, message: HostMessage) -> None:
        """Does what a gateway's message asks for. Errors: HostMessageError."""
        match message:
            case RunRequest():
                self._run(connection, message)
            case CancelRequest():
                self._cancel(connection, message.request_id)
            case HealthCheck():
                connection.send(self._state(), message.request_id, {})
            case LoadReportRequest():
                connection.send(self._state(), message.request_id, self._load_report())
            case OrderLoad():
                self._order_load(connection, message)
            case Unload():
                self.model_server.pool.unload_unused(message.request_id)
            case Introduction():
                connection.gateway = message.gateway

    def _state(self) -> str:
        return RED if self.model_server.faults.is_active(HostFault.RED) else GREEN

    def _load_report(self) -> dict[str, str]:
        return self.reporting.encode(self.model_server.load_report())

    # Requests

    def _run(self, connection: GatewayConnection, message: RunRequest) -> None:
        request_id, model = message.request_id, self.models.get(message.details.function)
        check_request(message, model)
        if request_id in connection.requests or request_id in connection.load_orders:
            raise HostMessageError(f"request {request_id}: another with this id is open")
        if model is None:
            self.tap.note("said", id=request_id, status=AnswerKind.NOT_HERE.status)
            connection.send(AnswerKind.NOT_HERE, request_id, {})
            return
        limit = round(message.details.limit * MILLI)
        incoming = IncomingRequest(request_id, request_id, model, connection.number, limit)
        request = self.model_server.receive(incoming, partial(self._request_ended, connection))
        if not self.model_server.down and connection.stream.open and request is not None:
            connection.requests[request_id] = request

    def _cancel(self, connection: GatewayConnection, request_id: str) -> None:
        request = connection.requests.pop(request_id, None)
        self.tap.note("halt", id=request_id)
        if request is not None:
            self.model_server.cancel(request)

    def _request_ended(self, connection: GatewayConnection, request: HostRequest, end: RequestEnd) -> None:
        if end is RequestEnd.RESET:
            connection.abort()
            return
        if connection.requests.get(request.id) is request:
            del connection.requests[request.id]
        elif end not in (RequestEnd.FULL, RequestEnd.ERROR):
            return  # cancelled, or its connection has gone: no answer
        self._answer(connection, request, end)

    def _answer(self, connection: GatewayConnection, request: HostRequest, end: RequestEnd) -> None:
        details: dict[str, object] = {
            "tell": FOUND_LETTERS[request.found],
            "queue_fn": request.same_model_requests,
        }
        if self.reporting.with_answers:
            details |= self._load_report()
        kind = KINDS[end]
        data = base64.b64encode(f"{self.profile.name} {request.id}".encode()).decode()
        if end is RequestEnd.CUT:
            connection.send_half(encode_answer(kind, request.id, details, data))
            return
        self.tap.note("said", id=request.id, status=kind.status)
        connection.send(kind, request.id, details, data if kind is AnswerKind.SERVED else None)
        if self.model_server.faults.is_active(HostFault.SHUT):
            self.loop.call_soon(self._close_if_idle, connection)

    # Load orders

    def _order_load(self, connection: GatewayConnection, message: OrderLoad) -> None:
        order_id, name, count = message.request_id, message.details.function, message.details.copies
        pool = self.model_server.pool
        if name not in self.models:
            raise HostMessageError(f"load order {order_id}: no function {name} is known here")
        if count <= 0:
            connection.send(AnswerKind.SERVED, order_id, {"copies": pool.loaded_count(name)})
            return
        loaded = self._accept_order(ReceivedLoadOrder(name, count, connection.gateway, connection.number))
        if loaded is None:
            connection.send(AnswerKind.OVERLOAD, order_id, {"copies": pool.of(name).loaded})
            return
        connection.load_orders.add(order_id)  # the connection is not idle meanwhile
        loaded.then(partial(self._order_ended, connection, order_id, count))

    def _accept_order(self, order: ReceivedLoadOrder) -> Promise | None:
        """The order's promise; None where the host is draining or has no memory for it."""
        if self.model_server.faults.is_active(HostFault.DRAIN):
            self.model_server.note_order(order)
            return None
        return self.model_server.order_load(order)

    def _order_ended(self, connection: GatewayConnection, order_id: str, count: int, loaded: Promise) -> None:
        connection.load_orders.discard(order_id)
        if loaded.value is not None:
            complete = loaded.value >= min(count, MAX_ORDERED)
            kind = AnswerKind.SERVED if complete else AnswerKind.CRASHED
            connection.send(kind, order_id, {"copies": loaded.value})

    # Ends and faults

    def _close_if_idle(self, connection: GatewayConnection) -> None:
        if connection.stream.open and connection.is_idle:
            connection.close()

    def _reset_all(self) -> None:
        self.listener.close()
        for connection in list(self._connections.values()):
            connection.abort()

    def crash(self) -> None:
        """Dies as a process does: connections are reset, nothing listens any more."""
        self._sweep_timer.cancel()
        self.model_server.stop()
        self._reset_all()

    def command(self, command: JsonObject) -> None:
        """Begins or ends a fault; see `FaultCommand` for the form. Errors: msgspec.ValidationError."""
        self.model_server.command(command)
        if command["trouble"] != HostFault.VANISH:
            return
        self.silent = command.get("on", True)
        for connection in list(self._connections.values()):
            if self.silent:
                connection.stream.pause()
            else:
                connection.stream.resume()
