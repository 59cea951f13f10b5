"""What fronts and hosts exchange through the core: types only; no protocol's words, no decisions."""

from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from gaproute.interface.outcomes import Found


def always() -> bool:
    """Stands for a client of whose leaving nothing can be known."""
    return True


class Call(NamedTuple):
    """A task's content. The body and the fields pass through as they came."""

    model: str
    version: str  # "" where the client named none
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes
    mark: str = ""  # the client's own id of the task, where hosts are to see it
    track: str = ""  # the track's name, where hosts are told it
    receipt: str = ""  # by which hosts know a repeat, where clients send one
    tenant: bytes = b""  # as the client named it, where other gateways are told it
    origin: str = ""  # the id by which the first gateway sent it, where another one forwarded it
    forwarded: tuple | None = None  # (cell, hops) as `decisions.cells` has it, where another gateway sent it
    client_present: Callable[[], bool] = always  # whether its client still waits: asked as attempts begin

    @property
    def function(self):
        return f"{self.model}/{self.version}" if self.version else self.model


class Answer(NamedTuple):
    """A host's full answer, as it came."""

    status: int
    fields: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Ending(Enum):
    DELIVERED = "delivered"
    REJECTED = "declined"  # trying again is harmless
    FAILED = "scrapped"  # promises nothing


class Final(NamedTuple):
    """The one final answer of a task."""

    ending: Ending
    answer: Answer | None  # with DELIVERED
    stay_away: int  # with REJECTED: advice, ns; 0: none
    task: str  # the gateway's id for the task
    relays: int  # relays that were started for it
    reason: str  # a few words for a person
    never_ran: bool = False  # every relay that was started provably did not run
    cell_unknown: bool = False  # with REJECTED: the call was forwarded here for a cell not known here
    found: Found = Found.UNTOLD  # with DELIVERED: what the relay found at the host
