"""Errors of an exchange: what came is wrong, or no response came at all."""

from gaproute.errors import GaprouteError


class HttpError(GaprouteError):
    """What the other side sent breaks the protocol or a limit: `status` and `text` to answer it with."""

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text


class NoResponseError(GaprouteError):
    """No full response came.

    `any_byte_sent`: whether the kernel took any byte of the request; if not, it never ran. `connected`:
    whether a connection stood. `error`: what the dial or the connection ended with, where it was an error.
    `lapsed`: the request was not to begin any more, which is no fault of the other side.
    """

    def __init__(
        self,
        text: str,
        *,
        any_byte_sent: bool,
        connected: bool,
        error: OSError | None = None,
        lapsed: bool = False,
    ) -> None:
        super().__init__(text)
        self.any_byte_sent, self.connected, self.error, self.lapsed = any_byte_sent, connected, error, lapsed

    @property
    def reset(self) -> bool:
        """Whether the connection was reset, as by a server that closes it with bytes unread."""
        return isinstance(self.error, (ConnectionResetError, BrokenPipeError))
