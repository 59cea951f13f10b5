"""The bounds on what one client, and all clients together, may take up of an HTTP/1.1 server."""

from typing import NamedTuple

SECOND = 1_000_000_000


class Limits(NamedTuple):
    """Bounds in bytes, ns and numbers; of one client where it is not said otherwise."""

    head: int = 32768
    body: int = 16 << 20
    pipelined: int = 16  # open requests of one connection; more are left unread
    read_time: int = 20 * SECOND  # for one request to come in whole, or for answers to be taken
    idle_time: int = 75 * SECOND  # between requests
    connections: int = 10_000  # of all clients
    spread: float = 0.0  # share of the idle time that is added by chance
    buffered: int = 256 << 20  # of all clients' requests that have not come in whole


LIMITS = Limits()
