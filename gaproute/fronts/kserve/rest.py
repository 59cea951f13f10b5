"""Serves the REST form of KServe v2: requests become calls for the core, and final answers become responses.

Bodies are not changed.
"""

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
from gaproute.interface.call import Answer, Call, FinalAnswer, FinalResult

SERVER_VERSION = "0.2.0"
EXTENSIONS = ["binary_tensor_data"]
MAX_SHOWN_NAME_LENGTH = 128  # characters of an unknown model's name in an error
NO_SUCH_PATH = (
    "no such path: /v2, /v2/health/live, /v2/health/ready, /v2/models/NAME, "
    "/v2/models/NAME/ready, /v2/models/NAME/infer"
)


class ClassLimit(NamedTuple):
    """The time limit of a request class."""

    class_index: int  # in the order of the core's request classes
    time_limit: int  # how long a request may take at most, ns


class RestFront:
    """Serves clients on `server`; `core` runs the requests.

    Models, tenants and request classes are those of the configuration.
    """

    def __init__(
        self, server: Server, core: Core, configuration: Configuration, is_ready: Callable[[], bool]
    ) -> None:
        """`is_ready()`: whether the gateway can serve requests."""
        self.server, self.core, self.is_ready = server, core, is_ready
        self.address: str = server.address  # as text, with the port that the kernel chose
        self.name = configuration.name
        self.models, self.tenants = configuration.models, configuration.tenants
        self.class_limits = {
            line.name: ClassLimit(index, line.limit)
            for index, line in enumerate(configuration.request_classes)
        }
        # How long an answer takes to reach its client, ns
        self.answer_transit_time: int = configuration.client_limits.way_back

    # Requests

    def handle(self, request: Request) -> None:
        """Handles a request, which is answered at once or when its final answer is known."""
        try:
            self._route(request)
        except RequestError as error:
            body = responses.encode_error(error.text)
            self.server.answer(request, error.status, (JSON_TYPE,), body)

    def _route(self, request: Request) -> None:
        path = request.target.partition(b"?")[0].split(b"/")
        match [part.decode("utf-8", "replace") for part in map(unquote_to_bytes, path[1:])]:
            case ["v2"] | ["v2", ""]:
                metadata = {"name": self.name, "version": SERVER_VERSION, "extensions": EXTENSIONS}
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
            shown_version = f" version {version[:MAX_SHOWN_NAME_LENGTH]!r}" if version else ""
            raise RequestError(NOT_FOUND, f"unknown model {name[:MAX_SHOWN_NAME_LENGTH]!r}{shown_version}")
        match rest:
            case ["infer"] if request.method == b"POST":
                self._submit_inference(request, model, version)
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

    def _submit_inference(self, request: Request, model: ModelLine, version: str) -> None:
        class_limit = self.class_limits[model.track]
        time_limit = inference.time_limit(request.headers, class_limit.time_limit)
        inference.check_json_length(request)
        tenant = inference.tenant_index(request.headers, self.tenants)
        if request.client_closed:
            self.answer_half_closed(request)
            return
        pending = inference.PendingInference(self, request)
        pending.gateway_request_id = self.core.submit(
            self._build_call(request, model.name, version),
            class_limit.class_index,
            tenant,
            model.lanes,
            model.load,
            request.arrived_at,
            time_limit - self.answer_transit_time,
            pending.finish,
        )
        request.on_client_left = pending.abandon

    def _build_call(self, request: Request, model: str, version: str) -> Call:
        """Makes the call of an inference request."""
        return inference.build_call(request, model, version)

    # Answers

    def finish_request(self, request: Request, final: FinalAnswer) -> None:
        """Sends the final answer to a request."""
        if final.answer is not None and final.result is FinalResult.DELIVERED:
            answer = responses.delivered_answer(final, final.answer)
        elif final.result is FinalResult.REJECTED:
            answer = responses.rejected_answer(final, self._rejection_status(request, final))
        else:
            answer = responses.failed_answer(final)
        self._send_answer(request, final, answer)

    def _rejection_status(self, request: Request, final: FinalAnswer) -> int:
        """The status of the response to a rejected request."""
        return UNAVAILABLE

    def _send_answer(self, request: Request, final: FinalAnswer, answer: Answer) -> None:
        """Sends the answer to a submitted request."""
        self.server.answer(request, answer.status, answer.fields, answer.body)

    def answer_half_closed(self, request: Request) -> None:
        """Answers a request whose client has closed its side and may still read."""
        answer = responses.half_closed_answer()
        self.server.answer(request, answer.status, answer.fields, answer.body)

    # Stopping

    @property
    def connection_count(self) -> int:
        """The number of client connections, in use and parked."""
        return self.server.connection_count

    def end_queue_sharing(self) -> None:
        """Records that no other process accepts from the listening socket, so a stop empties its queue."""
        self.server.shares_accept_queue = False

    def notify_when_emptied(self, callback: Callable[[], None]) -> None:
        """Calls `callback()` when the last connection is closed after a stop."""
        self.server.on_emptied = callback

    def stop(self, grace: int) -> None:
        """Stops accepting connections; `grace` as of `Server.stop`."""
        self.server.stop(grace)

    def close(self) -> None:
        """Ends every connection at once."""
        self.server.close()
