"""An entry of the endpoint list, the same for every discovery protocol and every protocol of hosts."""

from typing import NamedTuple

from gaproute.interface import ListedHost


class Endpoint(NamedTuple):
    """What the decisions know about a host, and its address."""

    listed: ListedHost
    address: str  # in the syntax of `gaproute.loop.addresses`
