"""Errors of HTTP exchanges: an invalid message, or no response."""

from gaproute.errors import GaprouteError


class HttpError(GaprouteError):
    """A message breaks the protocol or a limit; `status` and `text` are those of the answer to it."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class NoResponseError(GaprouteError):
    """An exchange ended without a complete response.

    `any_byte_sent`: whether the kernel took any byte of the request; if not, the request never ran.
    `connected`: whether there was a connection. `error`: the error by which connecting or the connection
    ended, if any. `expired`: whether the request was not sent because it was too late or its client had left,
    which is no fault of the server.
    """

    def __init__(
        self,
        text: str,
        *,
        any_byte_sent: bool,
        connected: bool,
        error: OSError | None = None,
        expired: bool = False,
    ) -> None:
        super().__init__(text)
        self.any_byte_sent, self.connected, self.error, self.expired = (
            any_byte_sent,
            connected,
            error,
            expired,
        )

    @property
    def reset(self) -> bool:
        """Whether the connection was reset, as when a server closes it with unread bytes."""
        return isinstance(self.error, (ConnectionResetError, BrokenPipeError))
