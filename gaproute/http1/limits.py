"""The bounds on what one client, and all clients together, may take up of an HTTP/1.1 server."""

from typing import NamedTuple

SECOND = 1_000_000_000


class Limits(NamedTuple):
    """What one client may take up."""

    head: int = 32768
    body: int = 16 << 20
    pipelined: int = 16  # requests of one connection held at once; more are left unread
    read_time: int = 20 * SECOND  # for one request to come in whole
    idle_time: int = 75 * SECOND  # between requests
    connections: int = 10_000
    spread: float = 0.0  # of the idle time, added by chance
    buffered: int = 256 << 20  # bytes of all requests that have not come in whole


LIMITS = Limits()
