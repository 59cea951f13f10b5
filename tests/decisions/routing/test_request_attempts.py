"""The attempts of one request, and whether the request may have run."""

import pytest
from helpers import (
    IDEMPOTENT_WITH_KEY,
    row,
    task,
)
from helpers import gateway as make_gateway
from routing_scenes import (
    MAY_HAVE_RUN,
    attempts_after,
)

from gaproute import interface
from gaproute.decisions.routing.request_attempts import RequestAttempts, SentAttempt
from gaproute.interface import Result


def test_the_first_possible_run_is_the_earliest_attempt_that_may_have_run():
    gateway = make_gateway()
    attempts = attempts_after(gateway, Result.FULL, 0, in_flight=True)
    attempts.in_flight[1] = SentAttempt(gateway.hosts_by_id["b"], 5)
    attempts.record_end(0, Result.FULL)
    assert attempts.first_possible_run == (gateway.hosts_by_id["b"], 5)


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_an_attempt_that_may_have_run_limits_retries_after_an_earlier_one_never_ran(result):
    gateway = make_gateway(row("a"), row("b"), row("other", cell=1))
    request_class, attempts = (
        IDEMPOTENT_WITH_KEY._replace(idempotency_scope=interface.IdempotencyScope.CELL),
        RequestAttempts(),
    )
    for attempt, name in enumerate("ab"):
        gateway.tracker.record_sent(
            attempt, task(request_class=1), attempt, gateway.hosts_by_id[name], attempts
        )
    attempts.record_end(1, result)
    attempts.record_end(0, Result.FULL)
    assert attempts.first_possible_run == (gateway.hosts_by_id["b"], 1)
    assert not gateway.retry_rules.allows(gateway.hosts_by_id["other"], request_class, attempts, 2)
