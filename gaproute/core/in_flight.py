"""A task in hand, and what the hosts give for each of its relays."""

from typing import NamedTuple

from gaproute import interface as face
from gaproute.interface.call import Answer


class AttemptResult(NamedTuple):
    """What came of one relay, in the module's terms."""

    result: face.Result
    answer: Answer | None  # with Result.OK
    found: face.Found = face.Found.UNTOLD
    alike: int | None = None
    report: face.Report | None = None


class RequestInFlight:
    """A task in hand: until its final answer is given and the last of its relays is accounted for."""

    __slots__ = (
        "id",
        "call",
        "request_class",
        "on_final",
        "first_byte_at",
        "attempts",
        "attempt_count",
        "deadline_timer",
        "deadline",
        "log_step",
        "may_have_run",
        "cell_unknown",
        "found",
    )

    def __init__(self, name, call, request_class, on_final, first_byte_at):
        self.id, self.call, self.request_class = name, call, request_class
        self.on_final, self.first_byte_at = on_final, first_byte_at
        self.attempts = {}  # attempt: (worker, when sent, the hosts' hold of it)
        self.attempt_count = 0
        self.may_have_run = False  # an attempt that ended may have run
        self.cell_unknown = False  # it was rejected as this gateway does not know its cell
        self.found = face.Found.UNTOLD  # what the attempt that delivered it found
        self.deadline_timer = None
        self.log_step = None  # call(what, told) where the request is followed in the log
