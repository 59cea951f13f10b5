"""Rules on the hosts to which a request may be sent again."""

import pytest
from helpers import (
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NON_IDEMPOTENT,
    SECOND,
    row,
)
from helpers import gateway as make_gateway
from routing_scenes import (
    MAY_HAVE_RUN,
    NEVER_RAN,
    attempts_after,
)

from gaproute import interface


@pytest.mark.parametrize("request_class", [0, 1, 2])
@pytest.mark.parametrize("result", NEVER_RAN)
def test_a_request_that_provably_did_not_run_may_be_retried_in_every_class(request_class, result):
    gateway = make_gateway(row("a"), row("b", cell=1))
    assert gateway.retry_rules.allows(
        gateway.hosts_by_id["b"],
        gateway.settings.request_classes[request_class],
        attempts_after(gateway, result),
        SECOND,
    )


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
@pytest.mark.parametrize(
    ("scope", "host", "now", "allowed"),
    [
        (interface.IdempotencyScope.ALL, "far", 1, True),
        (interface.IdempotencyScope.ALL, "far", 2 * SECOND, False),
        (interface.IdempotencyScope.ZONE, "near", 1, True),
        (interface.IdempotencyScope.ZONE, "far", 1, False),
        (interface.IdempotencyScope.CELL, "same", 1, True),
        (interface.IdempotencyScope.CELL, "near", 1, False),
        (interface.IdempotencyScope.CELL, "same", 2 * SECOND, False),
    ],
)
def test_a_request_with_a_key_is_retried_only_in_its_scope_and_window(result, scope, host, now, allowed):
    gateway = make_gateway(row("a"), row("same"), row("near", cell=1), row("far", zone=1, cell=2))
    request_class = IDEMPOTENT_WITH_KEY._replace(idempotency_scope=scope)
    for in_flight in (True, False):
        assert (
            gateway.retry_rules.allows(
                gateway.hosts_by_id[host],
                request_class,
                attempts_after(gateway, result, 0, in_flight=in_flight),
                now,
            )
            is allowed
        )


def test_a_non_idempotent_request_is_not_retried_while_an_attempt_is_in_flight():
    gateway = make_gateway()
    assert not gateway.retry_rules.allows(
        gateway.hosts_by_id["b"], NON_IDEMPOTENT, attempts_after(gateway, None, in_flight=True), 1
    )


def test_without_hedging_only_one_attempt_is_in_flight():
    gateway = make_gateway(hedging_allowed=False)
    assert not gateway.retry_rules.allows(
        gateway.hosts_by_id["b"], IDEMPOTENT, attempts_after(gateway, None, in_flight=True), 1
    )
