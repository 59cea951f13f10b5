"""The REST form of KServe v2 on a server that listens: requests become calls, finals become responses, bodies
pass untouched."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple
from urllib.parse import unquote_to_bytes

import msgspec

from gaproute.config.configuration import Configuration
from gaproute.config.directives.requests import ModelLine
from gaproute.core.core import Core
from gaproute.fronts.kserve import inference, responses
from gaproute.fronts.kserve.responses import (
    JSON_TYPE,
    METHOD_NOT_ALLOWED,
    NOT_FOUND,
    OK,
    UNAVAILABLE,
    RequestError,
)
from gaproute.http1 import Request, Server
from gaproute.interface.call import Answer, Call, Ending, Final

VERSION = "0.2.0"
EXTENSIONS = ["binary_tensor_data"]
MAX_SHOWN_NAME = 128  # characters of an unknown model's name in an error
NO_SUCH_PATH = (
    "no such path: /v2, /v2/health/live, /v2/health/ready, /v2/models/NAME, "
    "/v2/models/NAME/ready, /v2/models/NAME/infer"
)


class ClassLimit(NamedTuple):
    """A request class as this front needs it."""

    class_index: int  # in the terms' order
    time_limit: int  # ns that a request may take at most


class RestFront:
    """Serves clients on `server`. `core` takes the requests; models, tenants and request classes are the
    configuration's."""

    def __init__(
        self, server: Server, core: Core, configuration: Configuration, is_ready: Callable[[], bool]
    ) -> None:
        """`is_ready()`: whether requests can be served."""
        self.server, self.core, self.is_ready = server, core, is_ready
        self.address: str = server.address  # as text, with the port that the kernel picked
        self.name = configuration.name
        self.models, self.tenants = configuration.models, configuration.tenants
        self.class_limits = {
            line.name: ClassLimit(index, line.limit)
            for index, line in enumerate(configuration.request_classes)
        }
        self.return_time: int = configuration.client_limits.way_back  # of an answer to its client, ns

    # Requests

    def handle(self, request: Request) -> None:
        """Takes a request; it is answered at once, or when it has its final answer."""
        try:
            self._route(request)
        except RequestError as error:
            body = responses.encode_error(error.text)
            self.server.answer(request, error.status, (JSON_TYPE,), body)

    def _route(self, request: Request) -> None:
        path = request.target.partition(b"?")[0].split(b"/")
        match [part.decode("utf-8", "replace") for part in map(unquote_to_bytes, path[1:])]:
            case ["v2"] | ["v2", ""]:
                metadata = {"name": self.name, "version": VERSION, "extensions": EXTENSIONS}
                self._send_json(request, metadata)
            case ["v2", "health", "live"]:
                self._send_json(request, {"live": True})
            case ["v2", "health", "ready"]:
                self._send_readiness(request, {})
            case ["v2", "models", name, "versions", version, *rest]:
                self._route_model(request, name, version, rest)
            case ["v2", "models", name, *rest]:
                self._route_model(request, name, "", rest)
            case _:
                raise RequestError(NOT_FOUND, NO_SUCH_PATH)

    def _route_model(self, request: Request, name: str, version: str, rest: Sequence[str]) -> None:
        model = self.models.get(name)
        if model is None or version and version not in model.versions:
            shown_version = f" version {version[:MAX_SHOWN_NAME]!r}" if version else ""
            raise RequestError(NOT_FOUND, f"unknown model {name[:MAX_SHOWN_NAME]!r}{shown_version}")
        match rest:
            case ["infer"] if request.method == b"POST":
                self._infer(request, model, version)
            case ["infer"]:
                raise RequestError(METHOD_NOT_ALLOWED, "infer is a POST")
            case ["ready"]:
                self._send_readiness(request, {"name": name})
            case []:
                versions = {"versions": list(model.versions)} if model.versions else {}
                metadata = {"name": name, **versions, "platform": "gaproute", "inputs": [], "outputs": []}
                self._send_json(request, metadata)
            case _:
                raise RequestError(NOT_FOUND, "a model has infer, ready and its metadata")

    def _send_readiness(self, request: Request, names: dict[str, object]) -> None:
        ready = self.is_ready()
        self._send_json(request, {**names, "ready": ready}, OK if ready else UNAVAILABLE)

    def _send_json(self, request: Request, content: object, status: int = OK) -> None:
        if request.method != b"GET":
            raise RequestError(METHOD_NOT_ALLOWED, "this is a GET")
        self.server.answer(request, status, (JSON_TYPE,), msgspec.json.encode(content))

    def _infer(self, request: Request, model: ModelLine, version: str) -> None:
        class_limit = self.class_limits[model.track]
        time_limit = inference.time_limit(request.headers, class_limit.time_limit)
        inference.check_json_length(request)
        tenant = inference.tenant_index(request.headers, self.tenants)
        if request.client_closed:
            self.answer_half_closed(request)
            return
        pending = inference.PendingInference(self, request)
        pending.key = self.core.submit(
            self._call(request, model.name, version),
            class_limit.class_index,
            tenant,
            model.lanes,
            model.load,
            request.arrived_at,
            time_limit - self.return_time,
            pending.finish,
        )
        request.on_client_left = pending.abandon

    def _call(self, request: Request, model: str, version: str) -> Call:
        """A request as a call."""
        return inference.call_of(request, model, version)

    # Answers

    def finish_request(self, request: Request, final: Final) -> None:
        """Sends the final answer to a request."""
        if final.answer is not None and final.ending is Ending.DELIVERED:
            answer = responses.delivered(final, final.answer)
        elif final.ending is Ending.REJECTED:
            answer = responses.rejected(final, self._rejected_status(request, final))
        else:
            answer = responses.failed(final)
        self._answer(request, final, answer)

    def _rejected_status(self, request: Request, final: Final) -> int:
        """The status of the response to a rejected request."""
        return UNAVAILABLE

    def _answer(self, request: Request, final: Final, answer: Answer) -> None:
        """Sends the one answer to a request."""
        self.server.answer(request, answer.status, answer.fields, answer.body)

    def answer_half_closed(self, request: Request) -> None:
        """Answers one that has closed its side and may still read."""
        answer = responses.half_closed()
        self.server.answer(request, answer.status, answer.fields, answer.body)

    # The end

    @property
    def connection_count(self) -> int:
        """Connections of clients, at work and parked."""
        return self.server.connection_count

    def end_queue_sharing(self) -> None:
        """No other process accepts from the same queue any more: what waits there at the stop is taken in."""
        self.server.shares_accept_queue = False

    def notify_when_emptied(self, callback: Callable[[], None]) -> None:
        """`callback()` when the last connection is closed after a stop."""
        self.server.on_emptied = callback

    def stop(self, grace: int) -> None:
        """Accepts no more; `grace` as of `Server.stop`."""
        self.server.stop(grace)

    def close(self) -> None:
        """Ends every connection."""
        self.server.close()
