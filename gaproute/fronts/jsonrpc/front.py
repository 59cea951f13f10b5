"""Serves JSON-RPC clients: passes requests to the core and sends final answers; bodies are not changed.

| final answer | response to the client |
| --- | --- |
| delivered | a result with the host's body |
| rejected | an error with the code for a safe retry, and how long to wait before it |
| failed | any other error |

A message that cannot be decoded is answered with an error, and its connection is closed. A message that is no
request, or an invalid request, is answered with an error, and its connection stays open.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Sequence
from typing import NamedTuple

from gaproute.connections.acceptor import Acceptor
from gaproute.core.core import Core
from gaproute.decisions.admission.admission import EVICTION_RETRY_DELAY
from gaproute.fronts.jsonrpc import cancellation, responses
from gaproute.fronts.jsonrpc.client_memory import ClientMemory
from gaproute.fronts.jsonrpc.connection import RpcConnection
from gaproute.fronts.jsonrpc.connection_owner import OpenRequest
from gaproute.fronts.jsonrpc.errors import ErrorCode, ProtocolError
from gaproute.fronts.jsonrpc.message_scheduler import MessageScheduler
from gaproute.fronts.jsonrpc.request_admission import FrontLimits, RequestAdmission
from gaproute.fronts.jsonrpc.requests import Message, Request, decode_message, decode_parameters, make_request
from gaproute.interface import RequestClass
from gaproute.interface.call import Call, FinalAnswer, FinalResult
from gaproute.loop import Loop
from gaproute.loop.addresses import Address
from gaproute.loop.listening import ACCEPT_RETRY_PAUSE
from gaproute.units import MILLI, SECOND

SWEEP_INTERVAL = 100 * MILLI  # between checks of all connections, by one timer
FIRST_MESSAGE_TIMEOUT = 2 * SECOND  # of a new connection, as unused ones must be closed within 3 s
LATE_ANSWER_TOLERANCE = 500 * MILLI  # after its deadline, a client may still accept an answer


class ClassLimit(NamedTuple):
    """The limits of a request class."""

    class_index: int  # in the order of the core's request classes
    time_limit: int  # how long a client waits at most, ns


class JsonRpcFront(Acceptor[RpcConnection]):
    """Serves clients on one listening address; `core` runs the requests."""

    def __init__(
        self,
        loop: Loop,
        address: Address,
        core: Core,
        class_names: Sequence[str],
        request_classes: Sequence[RequestClass],
        is_ready: Callable[[], bool],
        answer_transit_time: int,
        limits: FrontLimits,
    ) -> None:
        """Listens at the address. Errors: OSError.

        `class_names`: of `request_classes`, in the same order; `is_ready()`: whether the gateway can serve
        requests; `answer_transit_time`: how long an answer takes to reach its client, ns.
        """
        super().__init__(loop, address, counted=True)
        self.core, self.is_ready, self.answer_transit_time = core, is_ready, answer_transit_time
        self.class_limits = {
            name: ClassLimit(index, request_class.hard_limit)
            for index, (name, request_class) in enumerate(zip(class_names, request_classes, strict=True))
        }
        self.scheduler = MessageScheduler(loop)
        self.memory = ClientMemory(loop, limits.client_bytes, self.active_connections.keys())
        self.limits, self.admission = limits, RequestAdmission(loop, core, limits, self.memory)
        self.unresponsive_clients = 0  # number of connections ended as their clients received no answers
        self.on_protocol_error: Callable[[ErrorCode, str], None] = _ignore_error
        self.sweep_timer = loop.call_later(SWEEP_INTERVAL, self._sweep)

    def _first_request_due(self) -> int:
        return self.loop.now() + FIRST_MESSAGE_TIMEOUT

    def _make_connection(self, sock: socket.socket, address_id: int, request_count: int) -> RpcConnection:
        return RpcConnection(self, sock, address_id, request_count)

    # Limits

    def _sweep(self) -> None:
        # First, as an error must not end the sweeps
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)
        now = self.loop.now()
        for connection in list(self.active_connections):
            self.loop.call_guarded(connection.check_progress, now)

    def unregister(self, connection: RpcConnection) -> None:
        """Removes an active connection that was closed."""
        self.memory.remove(connection)
        super().unregister(connection)

    def park(self, connection: RpcConnection, due: int) -> None:
        """Parks a quiet connection, and closes it at the time `due` (ns) if it has sent no bytes by then."""
        self.memory.remove(connection)
        super().park(connection, due)

    # Requests

    def handle_message(self, connection: RpcConnection, body: bytes) -> None:
        """Handles a message of a client. Errors: ProtocolError, to be sent to the client."""
        message = decode_message(body)
        if message.method == cancellation.PING_METHOD:
            if message.number is not None:
                connection.write(responses.encode_pong(message.number, ready=self.is_ready()))
        elif message.method == cancellation.CANCEL_METHOD:
            connection.cancel_request(cancellation.decode_cancellation_params(message.params))
        else:
            self.start_request(connection, message)

    def start_request(self, connection: RpcConnection, message: Message) -> None:
        """Decodes a request and submits it to the core. Errors: ProtocolError."""
        number = self._check_number(connection, message)
        limit = self.class_limits[message.method]
        parameters = decode_parameters(number, message.params)
        self.admission.check(connection, number, parameters.i, len(message.params), stopping=self.stopping)
        request = make_request(number, message.method, parameters, limit.time_limit)
        self.admission.begin(request.request_id)
        arrived_at = connection.messages_arrived_at
        time_left = min(request.max_wait, limit.time_limit)
        connection.request_count += 1
        connection.answers_owed_until = max(
            connection.answers_owed_until, arrived_at + time_left + LATE_ANSWER_TOLERANCE
        )
        key = self.core.submit(
            self._build_call(connection, request),
            limit.class_index,
            0,
            request.concurrency,
            request.load_time,
            arrived_at,
            time_left - self.answer_transit_time,
            lambda final: self.finish_request(connection, request, final),
        )
        connection.open_requests[number] = OpenRequest(key, request.request_id)

    def _check_number(self, connection: RpcConnection, message: Message) -> int:
        """Checks the class and the number of a request; returns the number. Errors: ProtocolError."""
        number = message.number
        if number is None:
            raise ProtocolError(ErrorCode.INVALID_REQUEST, "a request needs an id")
        is_open = number in connection.open_requests
        if message.method not in self.class_limits:
            raise ProtocolError(ErrorCode.METHOD_NOT_FOUND, "no such method", None if is_open else number)
        if is_open:
            raise ProtocolError(ErrorCode.INVALID_REQUEST, "a request with this id is open")
        return number

    def _build_call(self, connection: RpcConnection, request: Request) -> Call:
        """Makes the call for the core; its `client_present` asks whether the client still waits."""
        return Call(
            request.function,
            "",
            (),
            request.body,
            request.request_id,
            request.method,
            request.idempotency_key,
            client_present=lambda: connection.presence.is_waiting_for(request.number, request.request_id),
        )

    def finish_request(self, connection: RpcConnection, request: Request, final: FinalAnswer) -> None:
        """Sends the final answer to a request, unless the client has cancelled the request meanwhile."""
        number = request.number
        open_request = connection.open_requests.get(number)
        if open_request is None or open_request.gateway_request_id != final.request_id:
            return  # the request was cancelled; a new request may have its number
        del connection.open_requests[number]
        may_run_again = final.never_ran or final.result is FinalResult.REJECTED
        self.admission.end_answered(request.request_id, may_run_again=may_run_again)
        if final.answer is not None and final.result is FinalResult.DELIVERED:
            connection.write(responses.encode_result(number, final.answer.body))
        elif final.result is FinalResult.REJECTED:
            code = ErrorCode.REJECTED
            connection.write(responses.encode_error(number, code, final.reason, final.retry_after))
        else:
            connection.write(responses.encode_error(number, ErrorCode.FAILED, final.reason))
        connection.close_if_finished()

    def abandon_request(self, request: OpenRequest) -> None:
        """Ends a request whose client does not wait any more."""
        may_have_run = self.core.client_left(request.gateway_request_id)
        self.admission.end_departed(request.request_id, may_have_run=may_have_run)

    # Stopping

    def stop_accepting(self) -> None:
        """Stops accepting connections.

        Connections in the kernel's queue are accepted first, as they would be reset; idle connections are
        closed to free capacity for them. While there is no capacity or accepting fails, a timer retries.
        """
        self.drain_timer = None
        while (has_capacity := self.connections.has_capacity()) and (
            accepted := self.listener.accept()
        ) is not None:
            self.accept_connection(*accepted)
        if not has_capacity:
            self.drain_timer = self.loop.call_later(EVICTION_RETRY_DELAY, self.stop_accepting)
        elif not self.listener.backlog_empty:
            self.drain_timer = self.loop.call_later(ACCEPT_RETRY_PAUSE, self.stop_accepting)
        else:
            self.listener.close()
            self.check_emptied()

    def stop(self) -> None:
        """Closes every connection once it has no open request and no incomplete message.

        Messages that arrive before are answered; requests among them are rejected.
        """
        if self.stopping:
            return
        self.stopping = True
        self._cancel_drain()
        self.connections.close_owned(self.owner_id)
        self._drain_accept_queue()
        for connection in list(self.active_connections):
            connection.update_reading()
            connection.close_if_finished()

    def _drain_accept_queue(self) -> bool:
        drained = super()._drain_accept_queue()
        if drained:
            self.connections.close_owned(self.owner_id)
            self.check_emptied()
        return drained

    def close(self) -> None:
        """Stops, and ends every connection at once."""
        super().close()
        self.sweep_timer.cancel()


def _ignore_error(code: ErrorCode, text: str) -> None:
    """The default of `on_protocol_error`."""
