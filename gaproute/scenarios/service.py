"""The service of a day: the share of what clients asked for that was answered within its latency objective.

A client's retries count with its first try: a request is served if any answer to it came within the latency
objective, counted from the first try. Each request counts with the priority weight of its class. A request
whose client left early counts as neither served nor missed.
"""

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from gaproute.config.directives.requests import RequestClassLine
from gaproute.judge.tap_reading import TapEvent
from gaproute.units import SECOND

WINDOW = 5  # seconds of a day that `by_window` takes together


class FirstTry(NamedTuple):
    """A request with its retries. `asked`: when its first try was sent, ns."""

    asked: int
    request_class: str
    served: bool


@dataclass
class _Request:
    """What is known so far of a request with its retries."""

    asked: int
    request_class: str
    client_left: bool
    served: bool = False


class Service:
    """The service of all requests, by what their clients saw.

    `events`: their ends, and the tries that found no gateway, which were not served either.
    """

    def __init__(self, request_classes: Sequence[RequestClassLine], events: Iterable[TapEvent]) -> None:
        self.weights = {line.name: line.earnings for line in request_classes}
        self.objectives = {line.name: line.contract for line in request_classes}
        self.first_tries = [
            FirstTry(request.asked, request.request_class, request.served)
            for request in self._requests(events)
            if not request.client_left
        ]

    def _requests(self, events: Iterable[TapEvent]) -> Iterable[_Request]:
        requests: dict[str, _Request] = {}
        for event in sorted(events, key=lambda event: event["asked"]):
            request = requests.setdefault(
                event["first"],
                _Request(event["asked"], event["track"], client_left=event["what"] == "left"),
            )
            if self._is_served(event, request.asked):
                request.served = True
        return requests.values()

    def _is_served(self, event: TapEvent, asked: int) -> bool:
        if event["what"] != "answer" or event["outcome"] != "delivered" or event["status"] != 200:
            return False
        answer_time: int = event["at"] - asked
        return answer_time <= self.objectives[event["track"]]

    def overall(self) -> float | None:
        """The service of the whole day; None where nothing was asked for."""
        return self._share(lambda first_try: True)

    def of_class(self, name: str) -> float | None:
        """The service of one request class."""
        return self._share(lambda first_try: first_try.request_class == name)

    def by_window(self, begun: int, length: int) -> list[float | None]:
        """The service of each `WINDOW` seconds of a day that began at `begun` and is `length` ns long."""
        return [self._of_window(begun, second) for second in range(0, length // SECOND, WINDOW)]

    def _of_window(self, begun: int, second: int) -> float | None:
        return self._share(lambda first_try: second <= (first_try.asked - begun) // SECOND < second + WINDOW)

    def _share(self, counts: Callable[[FirstTry], bool]) -> float | None:
        counted = [
            (self.weights[first_try.request_class], first_try.served)
            for first_try in self.first_tries
            if counts(first_try)
        ]
        total = sum(weight for weight, _ in counted)
        return sum(weight for weight, served in counted if served) / total if total else None
