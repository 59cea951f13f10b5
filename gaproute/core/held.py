"""A task in hand, and what the hosts give for each of its relays."""

from typing import NamedTuple

from gaproute import interface as face
from gaproute.interface.call import Answer


class Heard(NamedTuple):
    """What came of one relay, in the module's terms."""

    result: face.Result
    answer: Answer | None  # with Result.OK
    found: face.Found = face.Found.UNKNOWN
    same_function_requests: int | None = None
    report: face.Report | None = None


class Held:
    """A task in hand: until its final answer is given and the last of its relays is accounted for."""

    __slots__ = ("id", "call", "track", "finish", "taken", "out", "relays", "end", "limit", "step", "ran") + (
        "cell_unknown",
        "found",
    )

    def __init__(self, name, call, track, finish, taken):
        self.id, self.call, self.track, self.finish, self.taken = name, call, track, finish, taken
        self.out = {}  # relay: (worker, when sent, the hosts' hold of it)
        self.relays = 0
        self.ran = False  # a relay that ended may have run
        self.cell_unknown = False  # it was declined as this gateway does not know its cell
        self.found = face.Found.UNKNOWN  # what the relay that delivered it found
        self.end = None  # timer at the client's limit
        self.step = None  # call(what, told) where the task is followed in the log
