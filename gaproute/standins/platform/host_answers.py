"""What a stand-in host of the platform answers: the kinds, and the load as it is reported."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from gaproute.standins.model_server import FoundInstance, HostLoad, RequestEnd


class AnswerKind(StrEnum):
    """The `type` of an answer to a request or a load order."""

    SERVED = "served"
    OVERLOAD = "overload"
    CRASHED = "crashed"
    NOT_HERE = "not_here"

    @property
    def status(self) -> int:
        """As an HTTP status, which the judge reads."""
        return STATUS[self]


STATUS = {
    AnswerKind.SERVED: 200,
    AnswerKind.OVERLOAD: 429,
    AnswerKind.CRASHED: 500,
    AnswerKind.NOT_HERE: 404,
}
KINDS = {
    RequestEnd.FULL: AnswerKind.OVERLOAD,
    RequestEnd.ERROR: AnswerKind.CRASHED,
    RequestEnd.LOAD_FAILED: AnswerKind.CRASHED,
    RequestEnd.DONE: AnswerKind.SERVED,
    RequestEnd.CUT: AnswerKind.SERVED,
}
FOUND_LETTERS = {  # of an answer's `tell`
    FoundInstance.WARM: "w",
    FoundInstance.LOAD_STARTED: "c",
    FoundInstance.LOAD_AWAITED: "j",
    FoundInstance.LOAD_FAILED: "f",
}


class LoadReporting(NamedTuple):
    """What a host reports of its load."""

    figures: tuple[str, ...] = ("cpu_share", "x0")  # names, in order
    with_answers: bool = False  # not only when it is asked

    def encode(self, load: HostLoad) -> dict[str, str]:
        """The figures as an answer's `meta` has them."""
        known = {
            "pending": load.waiting,
            "queue": load.waiting,
            "busy_reqs": load.in_flight,
            "inflight": load.in_flight,
            "cpu_share": load.cpu,
            "util": load.cpu,
            "x0": load.memory,
        }
        figures = [f"{name}:{known[name]:.3g}" for name in self.figures if name in known]
        return {"meter": ";".join(figures)}
