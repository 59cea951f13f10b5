"""The estimated number of requests at hosts."""

import pytest
from helpers import gateway as make_gateway
from routing_scenes import (
    report_load,
)

from gaproute.decisions.routing.parameters import (
    REPORT_LIFETIME,
)


@pytest.mark.parametrize(("age", "is_fresh"), [(REPORT_LIFETIME, True), (REPORT_LIFETIME + 1, False)])
def test_a_load_report_counts_until_the_end_of_its_lifetime(age, is_fresh):
    gateway = make_gateway()
    report_load(gateway, "a", 50)
    assert (gateway.request_count(gateway.hosts_by_id["a"], 1, age) == 50) is is_fresh
