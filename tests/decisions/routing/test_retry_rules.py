"""Which hosts a request may be sent to once more."""

import pytest
from helpers import (
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NON_IDEMPOTENT,
    SECOND,
    gateway,
    row,
)
from routing_scenes import (
    MAY_HAVE_RUN,
    NEVER_RAN,
    attempts_with,
)

from gaproute import interface as face


@pytest.mark.parametrize("track", [0, 1, 2])
@pytest.mark.parametrize("result", NEVER_RAN)
def test_a_proof_that_nothing_ran_frees_every_class(track, result):
    made = gateway(row("a"), row("b", cell=1))
    assert made.retry_rules.allows(
        made.hosts_by_id["b"], made.settings.request_classes[track], attempts_with(made, result), SECOND
    )


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
@pytest.mark.parametrize(
    ("group", "other", "now", "lawful"),
    [
        (face.IdempotencyScope.ALL, "far", 1, True),
        (face.IdempotencyScope.ALL, "far", 2 * SECOND, False),
        (face.IdempotencyScope.ZONE, "near", 1, True),
        (face.IdempotencyScope.ZONE, "far", 1, False),
        (face.IdempotencyScope.CELL, "same", 1, True),
        (face.IdempotencyScope.CELL, "near", 1, False),
        (face.IdempotencyScope.CELL, "same", 2 * SECOND, False),
    ],
)
def test_keyed_goes_again_only_in_its_group_and_window(result, group, other, now, lawful):
    made = gateway(row("a"), row("same"), row("near", cell=1), row("far", zone=1, cell=2))
    track = IDEMPOTENT_WITH_KEY._replace(idempotency_scope=group)
    for still_out in (True, False):
        assert (
            made.retry_rules.allows(
                made.hosts_by_id[other], track, attempts_with(made, result, 0, still_out=still_out), now
            )
            is lawful
        )


def test_non_idempotent_never_goes_again_while_a_attempt_is_out():
    made = gateway()
    assert not made.retry_rules.allows(
        made.hosts_by_id["b"], NON_IDEMPOTENT, attempts_with(made, None, still_out=True), 1
    )


def test_no_second_attempt_out_where_forbidden():
    made = gateway(hedging_allowed=False)
    assert not made.retry_rules.allows(
        made.hosts_by_id["b"], IDEMPOTENT, attempts_with(made, None, still_out=True), 1
    )
