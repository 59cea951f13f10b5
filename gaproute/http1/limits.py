"""The limits on what one client, and all clients together, may use of an HTTP/1.1 server."""

from typing import NamedTuple

from gaproute.units import SECOND


class Limits(NamedTuple):
    """Limits in bytes, ns and numbers; they are for one client unless the comment says otherwise."""

    max_head_bytes: int = 32768
    max_body_bytes: int = 16 << 20
    max_pipelined_requests: int = 16  # open requests of one connection; further ones are not read yet
    read_timeout: int = 20 * SECOND  # for one request to arrive completely, or for answers to be received
    idle_timeout: int = 75 * SECOND  # between requests
    max_connections: int = 10_000  # of all clients
    idle_jitter: float = 0.0  # share of the idle time that is added at random
    max_buffered_bytes: int = 256 << 20  # bytes of incomplete requests of all clients together


LIMITS = Limits()
