"""Settings of the HTTP connections to hosts."""

from typing import NamedTuple

from gaproute.units import MILLI, SECOND


class ClientSettings(NamedTuple):
    """Timeouts (ns) and limits of the connections to hosts."""

    connect_timeout: int = 250 * MILLI
    probe_timeout: int = 250 * MILLI
    order_timeout: int = 10 * SECOND
    max_connections: int = 256  # to one host; an attempt beyond this limit is not sent and ends as `FULL`
    max_response_bytes: int = 64 << 20
    max_head_bytes: int = 64 << 10


DEFAULT_SETTINGS = ClientSettings()
