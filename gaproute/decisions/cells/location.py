"""Who a gateway is within the fleet."""

from typing import NamedTuple


class GatewayLocation(NamedTuple):
    """A gateway's own name, and where it stands."""

    name: str
    region: str
    zone: str
