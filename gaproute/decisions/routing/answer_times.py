"""How long answers and loads usually take."""

from collections import deque
from statistics import median

from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.parameters import MAX_SAMPLES

INITIAL_ANSWER_TIME_SHARE = 0.25  # of the latency objective: the usual answer time before any answer was seen


class AnswerTimes:
    """Usual times, ns. They are guessed from the shortest latency objective before the first answer."""

    def __init__(self, shortest_objective: int) -> None:
        self.shortest_objective = shortest_objective
        self.load_times: deque[int] = deque(maxlen=MAX_SAMPLES)  # answer times where a load was waited for

    def usual_answer_time(self, function: Function) -> float:
        """The usual answer time of the function where an instance is loaded."""
        times = function.answer_times
        return median(times) if times else self.shortest_objective * INITIAL_ANSWER_TIME_SHARE

    def usual_load_time(self, reported: int | None = None) -> float:
        """The usual answer time of a request that waits for a load; `reported`: the client's figure of it."""
        return reported or (median(self.load_times) if self.load_times else self.shortest_objective)
