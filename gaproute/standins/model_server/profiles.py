"""What a stand-in host is made of, what it knows of a model, and a task that has come to it."""

from typing import NamedTuple

MILLI, SECOND = 1_000_000, 1_000_000_000
WARM, BEGAN_LOAD, AWAITED_LOAD, FAILED = 1, 2, 3, 4  # what a task found here: `HostRequest.found`


class HostProfile(NamedTuple):
    """What a host is made of."""

    name: str
    cores: float = 4
    speed: float = 1.0
    copies: int = 16  # copies that its memory holds
    queue: int = 64  # tasks waiting for a lane beyond which it answers that it is full
    loads: int = 4  # loads at a time
    keep: int = 10 * SECOND
    cold_share: float = 0.2
    cold_time: int = 15 * SECOND
    fall_multiple: float = 3.0
    tip: int = 1500 * MILLI
    idle_close: int = 60 * SECOND
    adds_copies: bool = True  # starts another copy by itself when all lanes are taken


class ModelProfile(NamedTuple):
    """What all hosts know of a model."""

    name: str
    track: str
    lanes: int
    work: int  # mean core time of a task, ns
    start: int  # the start, after the fetch, ns


class HostRequest:
    """A task that has come. `answer(work, end)` once at most; `end` is one of the words of `machine`."""

    __slots__ = ("answer", "model", "left", "found", "alike", "fate", "id", "mark")

    def __init__(self, name, mark, model, left, alike, answer):
        self.id, self.mark, self.model, self.left, self.alike = name, mark, model, left, alike
        self.answer, self.found, self.fate = answer, WARM, None


class ModelInstances:
    """The copies of one model here."""

    def __init__(self):
        self.stand = self.loading = self.busy = 0
        self.idle_since = 0
        self.waiting = []  # HostRequest
