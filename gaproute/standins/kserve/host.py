"""A stand-in model host on KServe v2 REST, the model repository extension and ORCA load reports."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote

import msgspec

from gaproute.http1 import Limits, Request, Server, render
from gaproute.http1.rendering import Header
from gaproute.loop import Loop, Promise
from gaproute.loop.addresses import Address
from gaproute.standins.model_server import (
    HostRequest,
    HostSetup,
    IncomingRequest,
    ModelProfile,
    ModelServer,
    ReceivedLoadOrder,
    RequestEnd,
)
from gaproute.standins.model_server.faults import HostFault
from gaproute.standins.model_server.fetching import StoreClient
from gaproute.standins.tap import EventRecorder

STATUS = {
    RequestEnd.FULL: 429,
    RequestEnd.ERROR: 500,
    RequestEnd.LOAD_FAILED: 500,
    RequestEnd.DONE: 200,
}
JSON_TYPE: tuple[Header, ...] = ((b"Content-Type", b"application/json"),)
MAX_PIPELINED = 4  # requests of one connection


class KServeHost:
    """Listens at `where` and serves all models of its setup. Errors: OSError."""

    def __init__(self, loop: Loop, where: Address, setup: HostSetup, tap: EventRecorder) -> None:
        self.loop, self.profile, self.models, self.tap = loop, setup.profile, setup.models, tap
        self.model_server = ModelServer(loop, setup, StoreClient(loop, setup.store).fetch, tap)
        limits = Limits(max_pipelined=MAX_PIPELINED, idle_timeout=setup.profile.idle_close)
        self.server = Server(loop, where, self._handle, limits)
        self.address = self.server.address
        self.model_server.on_overload = self.server.close
        self.model_server.start()

    def command(self, command: dict[str, Any]) -> None:
        """Begins or ends a fault; see `FaultCommand` for the form."""
        self.model_server.command(command)

    def _handle(self, request: Request) -> None:
        if self.model_server.down:
            reset_connection(request)
            return
        parts = [unquote(part) for part in request.target.decode("latin-1").split("/")[1:]]
        match parts:
            case ["v2", "health", _]:
                self.server.answer(request, 200, self._load_report(None), b'{"ready":true}')
            case ["v2", "models", name, *_, "infer"] if name in self.models:
                self._infer(request, self.models[name])
            case ["v2", "repository", "models", name, "load"] if name in self.models:
                self._order_load(request, name)
            case ["v2", "repository", "models", name, "unload"] if name in self.models:
                self.model_server.pool.unload_unused(name)
                self.server.answer(request, 200, (), b"{}")
            case ["v2", "repository", "index"]:
                self.server.answer(request, 200, (), self._index())
            case _:
                self.server.answer(request, 404, (), b'{"error":"unknown model or path"}')

    def _index(self) -> bytes:
        """The models of which an instance is loaded, as JSON."""
        instances = self.model_server.pool.instances
        names = [name for name, each in instances.items() if each.loaded]
        return msgspec.json.encode([{"name": name, "state": "READY", "reason": ""} for name in names])

    def _load_report(self, request: HostRequest | None) -> tuple[Header, ...]:
        """The ORCA header with the present load, and what the request found."""
        load = self.model_server.load_report()
        metrics: dict[str, int] = {"queue": load.waiting, "in_hand": load.in_flight}
        if request is not None:
            metrics |= {"copy": request.found, "alike": request.same_model_requests}
        report = {"cpu_utilization": load.cpu, "mem_utilization": load.memory, "named_metrics": metrics}
        return ((b"endpoint-load-metrics", b"JSON " + msgspec.json.encode(report)),)

    # Requests

    def _infer(self, request: Request, model: ModelProfile) -> None:
        gateway_request_id = request.headers.get(b"gaproute-task", b"").decode("latin-1")
        incoming = IncomingRequest(_client_id(request), gateway_request_id, model, id(request.connection))
        taken = self.model_server.receive(incoming, lambda taken, end: self._answer(request, taken, end))
        if taken is not None:
            request.on_client_left = lambda: self.model_server.cancel(taken)

    def _answer(self, request: Request, taken: HostRequest, end: RequestEnd) -> None:
        request.on_client_left = None
        match end:
            case RequestEnd.RESET:
                reset_connection(request)
            case RequestEnd.CUT:
                self._answer_half(request, taken)
            case RequestEnd.DONE:
                headers = JSON_TYPE + self._load_report(taken)
                self._answer_whole(request, taken, end, headers, self._result(taken))
            case RequestEnd.LOAD_FAILED:
                self._answer_whole(request, taken, end, self._load_report(taken), _error_body(end))
            case _:
                self._answer_whole(request, taken, end, (), _error_body(end))

    def _answer_half(self, request: Request, taken: HostRequest) -> None:
        """The first half of a good answer, then the connection is closed."""
        headers = JSON_TYPE + self._load_report(taken)
        answer = render(200, headers, self._result(taken), close=False)
        request.connection.stream.write(answer[: len(answer) // 2])
        request.connection.close_gracefully()

    def _answer_whole(
        self, request: Request, taken: HostRequest, end: RequestEnd, headers: tuple[Header, ...], body: bytes
    ) -> None:
        self.tap.note("said", id=taken.id, status=STATUS[end])
        self.server.answer(request, STATUS[end], headers, body)
        if self.model_server.faults.is_active(HostFault.SHUT):
            self.loop.call_soon(request.connection.close_gracefully)

    def _result(self, taken: HostRequest) -> bytes:
        output = {"name": "at", "shape": [1], "datatype": "BYTES", "data": [self.profile.name]}
        return msgspec.json.encode({"model_name": taken.model.name, "id": taken.id, "outputs": [output]})

    # Load orders

    def _order_load(self, request: Request, name: str) -> None:
        try:
            parameters = msgspec.json.decode(request.body or b"{}")
            count = int(parameters.get("parameters", {}).get("copies", 1))
        except (msgspec.DecodeError, ValueError, AttributeError, TypeError):
            self.server.answer(request, 400, (), b'{"error":"parameters.copies is a number"}')
            return
        gateway = request.headers.get(b"gaproute-gateway", b"").decode("latin-1")
        order = ReceivedLoadOrder(name, count, gateway, id(request.connection))
        loaded = self.model_server.order_load(order)
        if loaded is None:
            self.server.answer(request, 409, (), b'{"error":"no room"}')
        else:
            loaded.then(lambda loaded: self._answer_order(request, loaded))

    def _answer_order(self, request: Request, loaded: Promise) -> None:
        self.server.answer(request, 200, (), msgspec.json.encode({"copies": loaded.value}))


def reset_connection(request: Request) -> None:
    """Resets the connection by which the request came."""
    request.connection.abort()


def _client_id(request: Request) -> str:
    """The id in the body, where it has one that can be read, else in the head."""
    length = request.headers.get(b"inference-header-content-length")
    try:
        body = msgspec.json.decode(request.body if length is None else request.body[: int(length)])
    except (msgspec.DecodeError, ValueError):
        return request.headers.get(b"x-request-id", b"").decode("latin-1")
    return str(body.get("id", "")) if isinstance(body, dict) else ""


def _error_body(end: RequestEnd) -> bytes:
    return msgspec.json.encode({"error": end.value})
