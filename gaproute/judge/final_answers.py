"""Rule 1: each request taken has exactly one final answer in time, and nothing is sent for it afterwards.

Nor is anything sent for it once its client has left, and the deadline passed on to a host is never longer
than the client's. Faults at hosts, or with other clients, free no request of its answer: see `downtime`.
"""

from collections.abc import Iterator

from gaproute.judge.day import Day
from gaproute.judge.events import EndKind, RequestEnd
from gaproute.judge.terms import CLIENT_LEFT_GRACE, DEADLINE_SLACK, DayTerms, Violation, ViolationKind
from gaproute.units import MILLI

RULE = 1
FIRST_SERVER_ERROR = 500  # HTTP statuses from here on


def judge_final_answers(terms: DayTerms, day: Day) -> Iterator[Violation]:
    """The violations of rule 1."""
    yield from _unmatched_answers(day)
    for request, ends in day.ends.items():
        if len(ends) > 1:
            text = f"task {request}: {len(ends)} ends"
            yield Violation(RULE, ends[1].at, text, ViolationKind.SECOND_ANSWER)
        yield from _final_answer(terms, day, ends[0])
        yield from _attempts_after_end(terms, day, ends[0])
        yield from _deadlines_passed_on(terms, day, ends[0])


def _unmatched_answers(day: Day) -> Iterator[Violation]:
    for answer in day.unmatched_answers:
        detail = "" if answer.text is None else f": {answer.text}"
        text = f"gateway {answer.gateway} sent an answer that nobody asked for{detail}"
        yield Violation(RULE, answer.at, text, ViolationKind.UNMATCHED_ANSWER)


def _final_answer(terms: DayTerms, day: Day, end: RequestEnd) -> Iterator[Violation]:
    """Whether there was a final answer, in time, that names an outcome."""
    if end.answered and not end.outcome and end.status >= FIRST_SERVER_ERROR:
        text = f"task {end.request}: status {end.status} names no outcome"
        yield Violation(RULE, end.at, text, ViolationKind.NO_OUTCOME)
    if end.kind in (EndKind.ANSWERED, EndKind.CLIENT_LEFT):
        return
    if not day.downtime.explains(end, terms.kill_after) and not day.cpu_waits.explain(end):
        yield Violation(RULE, end.at, _describe_loss(end), ViolationKind.LOST)


def _describe_loss(end: RequestEnd) -> str:
    if end.kind is EndKind.BROKEN:
        return f"task {end.request}: the connection ended without an answer: {end.text}"
    return f"task {end.request} ({end.request_class}): no answer within its {end.patience // MILLI} ms"


def _attempts_after_end(terms: DayTerms, day: Day, end: RequestEnd) -> Iterator[Violation]:
    """Attempts that arrive after the request's end, by more than they may have been on their way."""
    if end.kind is EndKind.ANSWERED:
        kind, allowed = ViolationKind.ATTEMPT_AFTER_ANSWER, terms.transit_allowance
    else:
        kind = ViolationKind.ATTEMPT_AFTER_CLIENT_LEFT
        allowed = CLIENT_LEFT_GRACE + terms.harness_lateness
    for attempt in day.attempts.get(end.request, ()):
        if day.earliest_send_time(attempt) > end.at + allowed:
            delay = (attempt.at - end.at) // MILLI
            text = f"task {end.request}: sent to {attempt.host} {delay} ms after its end"
            yield Violation(RULE, attempt.at, text, kind)


def _deadlines_passed_on(terms: DayTerms, day: Day, end: RequestEnd) -> Iterator[Violation]:
    """The deadlines passed to hosts against what the client had left when the bytes were written."""
    for attempt in day.attempts.get(end.request, ()):
        if attempt.time_left is None:
            continue
        left = end.deadline - day.earliest_send_time(attempt)
        if attempt.time_left > left + DEADLINE_SLACK + terms.harness_lateness:
            text = (
                f"task {end.request}: {attempt.host} was told {attempt.time_left // MILLI} ms, "
                f"{max(0, left) // MILLI} ms were left"
            )
            yield Violation(RULE, attempt.at, text, ViolationKind.DEADLINE_TOO_LONG)
