"""The types of the messages in `lore.proto`, for which protoc makes classes without types.

Ages are microseconds; starts of hosts are ns since 1970, 0 if unknown.
"""

from collections.abc import Iterator, Sequence
from typing import Protocol, TypeVar

Item = TypeVar("Item", covariant=True)


class ObservationRequest(Protocol):
    """`Ask`: the request for the next observations of a peer."""

    cursor: int  # of the chunk that is requested; 0: the first one
    life: int  # the run id of the peer's process that sent the mark
    mark: int  # the changes after this mark are requested; 0: everything


class WarmInstanceMessage(Protocol):
    """`Warm`: an instance of a function that is loaded at a host."""

    worker: str  # the host
    function: str
    lanes: int
    started_ns: int  # of the host
    age_us: int


class GoneHostMessage(Protocol):
    """`Gone`: a host that left the list."""

    worker: str
    age_us: int


class ListedHostMessage(Protocol):
    """`Listed`: the state of a host by the list of the peer."""

    worker: str
    state: str
    started_ns: int
    age_us: int


class RepeatedField(Protocol[Item]):
    """The elements of a repeated field."""

    def add(self, **fields: object) -> Item:
        """Appends an element with these fields."""

    def __iter__(self) -> Iterator[Item]: ...


class FigureMessage(Protocol):
    """`Figure`: names, and one number of the kind in whose field it is."""

    names: Sequence[str]
    value: float
    age_us: int


class ObservationAnswer(Protocol):
    """`Told`: one chunk of observations. Each kind with one number has a field of its own by its text."""

    version: int
    next: int  # the cursor of the next chunk; 0 after the last one
    life: int  # the run id of the peer's process
    mark: int  # to be sent back to get the changes after it
    held_us: int  # since the chunk was built: adds to each age in it

    @property
    def warm(self) -> RepeatedField[WarmInstanceMessage]:
        """Instances."""

    @property
    def gone(self) -> RepeatedField[GoneHostMessage]:
        """Hosts that left the list."""

    @property
    def listed(self) -> RepeatedField[ListedHostMessage]:
        """Hosts that are listed."""
