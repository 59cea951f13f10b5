"""The location of a gateway within the fleet."""

from typing import NamedTuple


class GatewayLocation(NamedTuple):
    """A gateway's name, and the region and zone that it runs in."""

    name: str
    region: str
    zone: str
