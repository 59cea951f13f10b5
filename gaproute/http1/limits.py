"""Limits on what one client, or all clients together, may use of an HTTP/1.1 server."""

from typing import NamedTuple

from gaproute.units import SECOND


class Limits(NamedTuple):
    """Limits for one connection, unless a comment says otherwise. Times are in ns."""

    max_head_bytes: int = 32768
    max_body_bytes: int = 16 << 20
    max_pipelined: int = 16  # open requests; further ones are not read until one is answered
    read_timeout: int = 20 * SECOND  # to receive a complete request, or for the client to receive answers
    idle_timeout: int = 75 * SECOND  # without a request, after which the connection is closed
    max_connections: int = 10_000  # of all clients
    idle_jitter: float = 0.0  # greatest random addition to the idle time, as a share of it
    max_buffered_bytes: int = 256 << 20  # of incomplete requests of all clients together


LIMITS = Limits()
