"""Inference requests: what their headers say, checked, and the call that is made of them.

A client may shorten the time limit of its request class by `Gaproute-Limit-Ms`, counted from its first byte,
never lengthen it. `Gaproute-Tenant` names a tenant of the configuration.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Protocol

from gaproute.core.core import Core
from gaproute.fronts.kserve.responses import BAD_REQUEST, NS_PER_MS, RequestError
from gaproute.http1 import Request
from gaproute.interface.call import Call, FinalAnswer

MAX_DIGITS = 12  # of a number in a header

TIME_LIMIT, TENANT = b"gaproute-limit-ms", b"gaproute-tenant"
JSON_LENGTH = b"inference-header-content-length"
FORWARDED_HEADERS = (
    b"content-type",
    b"content-encoding",
    b"accept",
    b"accept-encoding",
    JSON_LENGTH,
    b"traceparent",
    b"tracestate",
    b"x-request-id",
)


class InferenceFront(Protocol):
    """The part of `RestFront` that a pending inference uses."""

    core: Core

    def finish_request(self, request: Request, final: FinalAnswer) -> None:
        """Answers a request by its final answer."""

    def answer_half_closed(self, request: Request) -> None:
        """Answers a request whose client has closed its side."""


class PendingInference:
    """An inference that the core has, until its final answer or until its client has left."""

    __slots__ = ("front", "request", "key", "abandoned")

    def __init__(self, front: InferenceFront, request: Request) -> None:
        self.front, self.request = front, request
        self.key = ""  # the gateway's id of the request
        self.abandoned = False

    def finish(self, final: FinalAnswer) -> None:
        """Sends the final answer, where the client still waits."""
        if not self.abandoned:
            self.front.finish_request(self.request, final)

    def abandon(self) -> None:
        """The client has closed its side: the request ends."""
        self.abandoned = True
        self.front.core.client_left(self.key)
        self.front.answer_half_closed(self.request)


def time_limit(headers: Mapping[bytes, bytes], class_limit: int) -> int:
    """How long the request may take, ns, where its class has that limit. Errors: RequestError."""
    value = headers.get(TIME_LIMIT)
    if value is None:
        return class_limit
    if not value.isdigit() or len(value) > MAX_DIGITS or int(value) == 0:
        raise RequestError(BAD_REQUEST, "Gaproute-Limit-Ms is a whole number of milliseconds, 1 or more")
    return min(class_limit, int(value) * NS_PER_MS)


def check_json_length(request: Request) -> None:
    """Checks the length of the JSON before binary tensors. Errors: RequestError."""
    value = request.headers.get(JSON_LENGTH)
    if value is None:
        return
    if not value.isdigit() or len(value) > MAX_DIGITS or int(value) > len(request.body):
        raise RequestError(BAD_REQUEST, "Inference-Header-Content-Length is at most the body's length")


def tenant_index(headers: Mapping[bytes, bytes], tenants: Mapping[str, int]) -> int:
    """The index of the request's tenant; one above all of them where it names none. Errors: RequestError."""
    value = headers.get(TENANT)
    if value is None or not tenants:
        return len(tenants)
    index = tenants.get(value.decode("latin-1"))
    if index is None:
        raise RequestError(BAD_REQUEST, "unknown Gaproute-Tenant")
    return index


def call_of(request: Request, model: str, version: str) -> Call:
    """The call of an inference request; it asks its connection whether the client still waits."""
    headers = request.headers
    return Call(
        model,
        version,
        tuple([(name, headers[name]) for name in FORWARDED_HEADERS if name in headers]),
        request.body,
        tenant=headers.get(TENANT, b""),
        client_present=request.connection.client_present,
    )
