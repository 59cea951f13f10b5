"""A host of the list, whatever protocol lists it and whatever protocol it speaks."""

from typing import NamedTuple

from gaproute.interface import ListedHost


class Endpoint(NamedTuple):
    """What the module is told of it, and where it answers."""

    listed: ListedHost
    address: str
