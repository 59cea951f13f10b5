"""Errors of an exchange: an invalid message, or no response."""

from gaproute.errors import GaprouteError


class HttpError(GaprouteError):
    """A message breaks the protocol or a limit; `status` and `text` are those of the answer."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class NoResponseError(GaprouteError):
    """No complete response came.

    `any_byte_sent`: whether the kernel took any byte of the request; if not, it never ran. `connected`:
    whether there was a connection. `error`: how dialing or the connection ended, if with an error. `expired`:
    the request was not allowed to begin any more, which is no fault of the server.
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
        """Whether the connection was reset, as by a server that closes it while bytes lie unread."""
        return isinstance(self.error, (ConnectionResetError, BrokenPipeError))
