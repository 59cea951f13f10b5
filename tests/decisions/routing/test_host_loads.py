"""How many requests hosts have."""

import pytest
from helpers import (
    gateway,
)
from routing_scenes import (
    crowd,
)

from gaproute.decisions.routing.parameters import (
    REPORT_LIFETIME,
)


@pytest.mark.parametrize(("age", "counts"), [(REPORT_LIFETIME, True), (REPORT_LIFETIME + 1, False)])
def test_a_reported_queue_counts_for_as_long_as_crowds_last(age, counts):
    made = gateway()
    crowd(made, "a", 50)
    assert (made.request_count(made.hosts_by_id["a"], 1, age) == 50) is counts
