"""Static types for the messages in `observation.proto`; protoc generates classes without type annotations.

Ages are in microseconds. Start times of hosts are in ns since 1970; 0 means unknown.
"""

from collections.abc import Iterator, Sequence
from typing import Protocol, TypeVar

Item = TypeVar("Item", covariant=True)


class ObservationRequest(Protocol):
    """`Ask`: requests the next chunk of a peer's observations."""

    cursor: int  # cursor of the requested chunk; 0 requests the first chunk
    life: int  # identifies the run of the peer's process that sent `mark`
    mark: int  # requests only the changes after this mark; 0 requests a snapshot


class WarmInstanceMessage(Protocol):
    """`Warm`: an instance of a function that is loaded on a host."""

    worker: str  # name of the host
    function: str
    lanes: int
    started_ns: int  # when the host started
    age_us: int


class GoneHostMessage(Protocol):
    """`Gone`: a host that left the peer's host list."""

    worker: str
    age_us: int


class ListedHostMessage(Protocol):
    """`Listed`: the state of a host in the peer's host list."""

    worker: str
    state: str
    started_ns: int
    age_us: int


class RepeatedField(Protocol[Item]):
    """A repeated field of a protobuf message."""

    def add(self, **fields: object) -> Item:
        """Appends an element that has these fields."""

    def __iter__(self) -> Iterator[Item]: ...


class FigureMessage(Protocol):
    """`Figure`: names and one number; its meaning depends on the field of the answer that contains it."""

    names: Sequence[str]
    value: float
    age_us: int


class ObservationAnswer(Protocol):
    """`Told`: one chunk of observations.

    Each `ObservationKind` that is sent as a figure has a repeated field that is named after the kind's value.
    """

    version: int
    next: int  # cursor of the next chunk; 0 in the last chunk
    life: int  # identifies the run of the peer's process
    mark: int  # sent back with `life` to request the changes after it
    held_us: int  # time since the chunk was built; is added to each age in it

    @property
    def warm(self) -> RepeatedField[WarmInstanceMessage]:
        """The warm instances."""

    @property
    def gone(self) -> RepeatedField[GoneHostMessage]:
        """The hosts that left the peer's host list."""

    @property
    def listed(self) -> RepeatedField[ListedHostMessage]:
        """The hosts in the peer's host list."""
