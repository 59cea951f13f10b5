"""A host of the endpoint list, whichever protocol lists it and whichever it speaks."""

from typing import NamedTuple

from gaproute.interface import ListedHost


class Endpoint(NamedTuple):
    """What the decisions are told of a host, and where it answers."""

    listed: ListedHost
    address: str  # as `loop.streams.address` reads it
