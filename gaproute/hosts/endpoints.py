"""A host of the endpoint list, whichever protocol lists it and whichever it speaks."""

from typing import NamedTuple

from gaproute.interface import ListedHost


class Endpoint(NamedTuple):
    """What the decisions get to know of a host, and its address."""

    listed: ListedHost
    address: str  # as `loop.streams.address` reads it
