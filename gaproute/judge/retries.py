"""Rule 2: a request that may have run is sent again, or rejected, only as its request class allows.

What may have run is known from the hosts alone: an attempt has not run where its host answered in full that
it never did. An idempotent request may always be sent again, a non-idempotent one never, and one with an
idempotency key within the window and among the hosts that recognise the key.
"""

from collections.abc import Iterator

from gaproute.judge.day import Day
from gaproute.judge.events import Attempt
from gaproute.judge.terms import (
    DayTerms,
    Deduplication,
    Idempotency,
    RequestClassTerms,
    Violation,
    ViolationKind,
)

RULE = 2
REJECTED_OUTCOME = "declined"  # by which an answer says that nothing ran


def judge_retries(terms: DayTerms, day: Day) -> Iterator[Violation]:
    """The violations of rule 2."""
    for request, attempts in day.attempts.items():
        request_class = terms.request_classes[attempts[0].request_class]
        if request_class.idempotency is Idempotency.IDEMPOTENT:
            continue
        first_run: Attempt | None = None  # the first attempt that may have run
        for attempt in attempts:
            if first_run is not None:
                yield from _judge_retry(terms, day, request_class, first_run, attempt)
            elif day.may_have_run(attempt):
                first_run = attempt
        if first_run is not None:
            yield from _judge_rejection(day, request, request_class, first_run)


def _judge_retry(
    terms: DayTerms, day: Day, request_class: RequestClassTerms, first_run: Attempt, retry: Attempt
) -> Iterator[Violation]:
    """A request was sent again after `first_run`, which may have run."""
    if request_class.idempotency is Idempotency.NON_IDEMPOTENT:
        text = f"effectful task {retry.request}: sent to {retry.host}, may have run at {first_run.host}"
        yield Violation(RULE, retry.at, text, ViolationKind.DUPLICATE)
        return
    described = f"receipted task {retry.request}"
    window_end = first_run.at + request_class.window + terms.transit_allowance
    if day.earliest_send_time(retry) > window_end:
        text = f"{described}: sent again after its window"
        yield Violation(RULE, retry.at, text, ViolationKind.OUTSIDE_WINDOW)
    if not _recognises_key(terms, request_class, first_run, retry):
        text = f"{described}: sent to {retry.host}, outside {first_run.host}'s group"
        yield Violation(RULE, retry.at, text, ViolationKind.OUTSIDE_GROUP)
    if retry.idempotency_key != first_run.idempotency_key:
        text = f"{described}: its mark changed between relays"
        yield Violation(RULE, retry.at, text, ViolationKind.KEY_CHANGED)


def _recognises_key(
    terms: DayTerms, request_class: RequestClassTerms, first_run: Attempt, retry: Attempt
) -> bool:
    """Whether the retry's host recognises a key that the first host has had."""
    deduplication = request_class.deduplication
    if deduplication is Deduplication.EVERYWHERE:
        return True
    return terms.places[retry.host].shares_deduplication(terms.places[first_run.host], deduplication)


def _judge_rejection(
    day: Day, request: str, request_class: RequestClassTerms, first_run: Attempt
) -> Iterator[Violation]:
    """A rejection says that nothing ran; it is allowed where the client's retry would be recognised."""
    idempotency, deduplication, _ = request_class
    retry_recognised = idempotency is Idempotency.IDEMPOTENT_WITH_KEY and (
        deduplication is Deduplication.EVERYWHERE
    )
    ends = day.ends.get(request)
    if not ends or retry_recognised:
        return
    end = ends[0]
    if end.answered and end.outcome == REJECTED_OUTCOME:
        text = f"{idempotency} task {request}: declined, may have run at {first_run.host}"
        yield Violation(RULE, end.at, text, ViolationKind.REJECTED)
