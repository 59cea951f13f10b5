"""What the attempts of one request prove."""

import pytest
from helpers import (
    IDEMPOTENT_WITH_KEY,
    gateway,
    row,
    task,
)
from routing_scenes import (
    MAY_HAVE_RUN,
    attempts_with,
)

from gaproute import interface as face
from gaproute.decisions.routing.request_attempts import RequestAttempts, SentAttempt
from gaproute.interface import Result


def test_first_possible_run_is_the_earliest_attempt_not_disproved():
    made = gateway()
    attempts = attempts_with(made, Result.FULL, 0, still_out=True)
    attempts.in_flight[1] = SentAttempt(made.hosts_by_id["b"], 5)
    attempts.record_end(0, Result.FULL)
    assert attempts.first_possible_run == (made.hosts_by_id["b"], 5)


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_an_attempt_that_may_have_run_binds_the_request_after_an_earlier_one_is_disproved(result):
    made = gateway(row("a"), row("b"), row("other", cell=1))
    track, attempts = (
        IDEMPOTENT_WITH_KEY._replace(idempotency_scope=face.IdempotencyScope.CELL),
        RequestAttempts(),
    )
    for attempt, name in enumerate("ab"):
        made.tracker.record_sent(attempt, task(request_class=1), attempt, made.hosts_by_id[name], attempts)
    attempts.record_end(1, result)
    attempts.record_end(0, Result.FULL)
    assert attempts.first_possible_run == (made.hosts_by_id["b"], 1)
    assert not made.retry_rules.allows(made.hosts_by_id["other"], track, attempts, 2)
