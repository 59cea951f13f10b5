"""Errors for messages of clients that cannot be served, with the codes of the protocol."""

from enum import IntEnum

from gaproute.errors import GaprouteError


class ErrorCode(IntEnum):
    """Codes of error responses: those of JSON-RPC 2.0, and two of the platform's protocol."""

    PARSE_ERROR = -32700  # the bytes cannot be decoded; the connection closes
    INVALID_REQUEST = -32600
    METHOD_NOT_FOUND = -32601
    INVALID_PARAMS = -32602
    FAILED = -32000  # the request may have run
    REJECTED = -32008  # the request never ran: a retry is safe


class ProtocolError(GaprouteError):
    """A message breaks the protocol, or there is no capacity for its request."""

    def __init__(
        self, code: ErrorCode, text: str, request_number: int | None = None, retry_after: int = 0
    ) -> None:
        """`request_number`: of the request that the error is the answer to, if known.

        `retry_after`: how long the client should wait before it sends the request again, ns; 0 if unknown.
        """
        super().__init__(text)
        self.code, self.text, self.request_number = code, text, request_number
        self.retry_after = retry_after


class FramingError(ProtocolError):
    """The header of a message cannot be decoded, so nothing after it on the connection can be decoded."""

    def __init__(self, text: str, bodies: list[bytes] | None = None) -> None:
        """`bodies`: of the complete messages before the header."""
        super().__init__(ErrorCode.PARSE_ERROR, text)
        self.bodies = bodies if bodies is not None else []
