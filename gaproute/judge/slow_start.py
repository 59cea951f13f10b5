"""Rule 4: all gateways together do not overload a host that is warming up (slow start).

Within any window of the host, the work sent to it stays within a multiple of what it can do in that time.
What may have been held back on its way, and so arrives together with later work, is not counted.
"""

from collections.abc import Iterator

from gaproute.judge.day import Day
from gaproute.judge.events import Attempt, HostRun, WarmUp
from gaproute.judge.terms import DayTerms, Violation, ViolationKind

RULE = 4


def judge_slow_start(terms: DayTerms, day: Day) -> Iterator[Violation]:
    """The violations of rule 4, the first of each process of a host."""
    for host, runs in day.hosts.items():
        for run in runs:
            if run.warm_up is not None:
                yield from _judge_run(host, run.warm_up, _attempts_in_transit(terms, day, run))


def _attempts_in_transit(terms: DayTerms, day: Day, run: HostRun) -> list[Attempt]:
    """The attempts that were on their way for no longer than usual."""
    return [attempt for attempt in run.attempts if day.longest_transit(attempt) <= terms.transit_allowance]


def _judge_run(host: str, warm_up: WarmUp, attempts: list[Attempt]) -> Iterator[Violation]:
    first_in_window, work = 0, 0
    for attempt in attempts:
        age = attempt.at - warm_up.started_at
        if age >= warm_up.duration:
            return
        work += attempt.work
        while attempts[first_in_window].at <= attempt.at - warm_up.overload_window:
            work -= attempts[first_in_window].work
            first_in_window += 1
        possible_work = _possible_work(warm_up, age)
        if work > warm_up.overload_factor * possible_work:
            text = f"cold {host}: {work / possible_work:.1f} times what it can do"
            yield Violation(RULE, attempt.at, text, ViolationKind.SLOW_START)
            return


def _possible_work(warm_up: WarmUp, age: int) -> float:
    """What a host of this age, ns, can do within a window, ns of one core."""
    share = warm_up.initial_share + (1 - warm_up.initial_share) * age / warm_up.duration
    return warm_up.capacity * share * warm_up.overload_window
