"""How hosts are reached over HTTP."""

from typing import NamedTuple

from gaproute.units import MILLI, SECOND


class ClientSettings(NamedTuple):
    """Timeouts, ns, and bounds of the connections to hosts."""

    connect_timeout: int = 250 * MILLI
    probe_timeout: int = 250 * MILLI
    order_timeout: int = 10 * SECOND
    max_connections: int = 256  # to one host; an attempt beyond them is not sent and counts as full
    max_answer_bytes: int = 64 << 20
    max_head_bytes: int = 64 << 10


DEFAULT_SETTINGS = ClientSettings()
