"""The memory of the requests in flight, within a limit."""

DEFAULT_MAX_REQUEST_BYTES = 1 << 30
REQUEST_BYTES = 5_000  # of a request without its body, with its attempt and its timers
BODY_COPIES = 2  # the body itself, and the line to a host that has not taken all of it


class RequestMemory:
    """Counts the requests that have no final answer yet or have attempts in flight."""

    def __init__(self, max_bytes: int = DEFAULT_MAX_REQUEST_BYTES) -> None:
        self.max_bytes = max_bytes
        self.bytes = 0

    def has_room(self, body_bytes: int) -> bool:
        """Whether one more request with such a body may begin."""
        return self.bytes + _request_bytes(body_bytes) <= self.max_bytes

    def add(self, body_bytes: int) -> None:
        """Counts a request that begins."""
        self.bytes += _request_bytes(body_bytes)

    def remove(self, body_bytes: int) -> None:
        """Stops counting a request."""
        self.bytes -= _request_bytes(body_bytes)


def _request_bytes(body_bytes: int) -> int:
    return REQUEST_BYTES + BODY_COPIES * body_bytes
