"""Errors of the protocol: what a client sent cannot be served, and the code that says so."""

from enum import IntEnum

from gaproute.errors import GaprouteError


class ErrorCode(IntEnum):
    """Codes of error responses: those of JSON-RPC 2.0, and two of the platform's protocol."""

    PARSE_ERROR = -32700  # the bytes cannot be read; the connection closes
    INVALID_REQUEST = -32600
    METHOD_NOT_FOUND = -32601
    INVALID_PARAMS = -32602
    FAILED = -32000  # it may have run
    REJECTED = -32008  # it provably did not run: trying again is harmless


class ProtocolError(GaprouteError):
    """What came breaks the protocol, or finds no capacity."""

    def __init__(self, code: ErrorCode, text: str, request_number: int | None = None) -> None:
        """`request_number`: of the request in whose response the client gets it, where that is known."""
        super().__init__(text)
        self.code, self.text, self.request_number = code, text, request_number


class FramingError(ProtocolError):
    """A message's head cannot be read, so nothing after it can be either."""

    def __init__(self, text: str, bodies: list[bytes] | None = None) -> None:
        """`bodies`: the whole messages before it."""
        super().__init__(ErrorCode.PARSE_ERROR, text)
        self.bodies = bodies if bodies is not None else []
