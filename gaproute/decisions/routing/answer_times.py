"""Usual durations of answers and of loads."""

from collections import deque
from statistics import median

from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.parameters import MAX_SAMPLES

# Usual answer time until the first answer arrives, as a share of the shortest latency objective.
INITIAL_ANSWER_TIME_SHARE = 0.25


class AnswerTimes:
    """Usual durations in ns, estimated from the shortest latency objective until the first answer."""

    def __init__(self, shortest_objective: int) -> None:
        self.shortest_objective = shortest_objective
        # Answer times of requests that waited for a load.
        self.load_times: deque[int] = deque(maxlen=MAX_SAMPLES)

    def usual_answer_time(self, function: Function) -> float:
        """Returns the usual answer time of the function at a host where an instance is loaded."""
        times = function.answer_times
        return median(times) if times else self.shortest_objective * INITIAL_ANSWER_TIME_SHARE

    def usual_load_time(self, reported: int | None = None) -> float:
        """Returns the usual answer time of a request that waits for a load.

        `reported` is the load time that the request states; it takes precedence over measured times.
        """
        return reported or (median(self.load_times) if self.load_times else self.shortest_objective)
