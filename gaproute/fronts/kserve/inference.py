"""Inference requests: checks their headers and makes the call for the core.

By `Gaproute-Limit-Ms` a client may shorten the time limit of its request class, which begins with the first
byte of the request, but not lengthen it. `Gaproute-Tenant` names a tenant of the configuration.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from gaproute.core.core import Core
from gaproute.fronts.kserve.responses import BAD_REQUEST, NS_PER_MS, RequestError
from gaproute.http1 import Request
from gaproute.interface.call import Call, FinalAnswer

MAX_HEADER_NUMBER_DIGITS = 12

TIME_LIMIT_HEADER, TENANT_HEADER = b"gaproute-limit-ms", b"gaproute-tenant"
JSON_LENGTH_HEADER = b"inference-header-content-length"
FORWARDED_HEADERS = (
    b"content-type",
    b"content-encoding",
    b"accept",
    b"accept-encoding",
    JSON_LENGTH_HEADER,
    b"traceparent",
    b"tracestate",
    b"x-request-id",
)


class InferenceFront(Protocol):
    """The part of `RestFront` that a pending inference uses."""

    core: Core

    def finish_request(self, request: Request, final: FinalAnswer) -> None:
        """Sends the final answer to a request."""

    def answer_half_closed(self, request: Request) -> None:
        """Answers a request whose client has closed its side and may still read."""


class PendingInference:
    """A submitted inference request, until its final answer or until its client leaves."""

    __slots__ = ("front", "request", "gateway_request_id", "abandoned")

    def __init__(self, front: InferenceFront, request: Request) -> None:
        self.front, self.request = front, request
        self.gateway_request_id = ""  # the id that the gateway gave it
        self.abandoned = False

    def finish(self, final: FinalAnswer) -> None:
        """Sends the final answer if the client still waits."""
        if not self.abandoned:
            self.front.finish_request(self.request, final)

    def abandon(self) -> None:
        """Ends the request because its client has closed its side."""
        self.abandoned = True
        self.front.core.client_left(self.gateway_request_id)
        self.front.answer_half_closed(self.request)


def time_limit(headers: Mapping[bytes, bytes], class_limit: int) -> int:
    """How long a request may take by its headers and its class, ns. Errors: RequestError."""
    value = headers.get(TIME_LIMIT_HEADER)
    if value is None:
        return class_limit
    if not value.isdigit() or len(value) > MAX_HEADER_NUMBER_DIGITS or int(value) == 0:
        raise RequestError(BAD_REQUEST, "Gaproute-Limit-Ms is a whole number of milliseconds, 1 or more")
    return min(class_limit, int(value) * NS_PER_MS)


def check_json_length(request: Request) -> None:
    """Checks the stated length of the JSON that precedes binary tensors. Errors: RequestError."""
    value = request.headers.get(JSON_LENGTH_HEADER)
    if value is None:
        return
    if not value.isdigit() or len(value) > MAX_HEADER_NUMBER_DIGITS or int(value) > len(request.body):
        raise RequestError(BAD_REQUEST, "Inference-Header-Content-Length is at most the body's length")


def tenant_index(headers: Mapping[bytes, bytes], tenants: Mapping[str, int]) -> int:
    """The index of the request's tenant; the number of tenants if it has none. Errors: RequestError."""
    value = headers.get(TENANT_HEADER)
    if value is None or not tenants:
        return len(tenants)
    index = tenants.get(value.decode("latin-1"))
    if index is None:
        raise RequestError(BAD_REQUEST, "unknown Gaproute-Tenant")
    return index


def build_call(request: Request, model: str, version: str) -> Call:
    """Makes the call of an inference request; `client_present` asks the connection of the request."""
    headers = request.headers
    return Call(
        model,
        version,
        tuple([(name, headers[name]) for name in FORWARDED_HEADERS if name in headers]),
        request.body,
        tenant=headers.get(TENANT_HEADER, b""),
        client_present=request.connection.client_present,
    )
