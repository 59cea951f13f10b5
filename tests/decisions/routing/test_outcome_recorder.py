"""What outcomes show of loaded instances."""

from helpers import (
    SECOND,
    gateway,
)
from routing_scenes import heard, ranked

from gaproute.interface import Result


def test_a_failed_connection_leaves_the_belief_in_instances_a_broken_one_does_not():
    made = gateway()
    heard(made, "a", 1, 0)
    heard(made, "a", 2, 1, Result.CONNECT_FAILED)
    function, host = made.functions_by_name["f"], made.hosts_by_id["a"]
    assert made.functions.warmth(function, host, 3) > 0.9
    heard(made, "a", 4, 3, Result.RESET)
    assert made.functions.warmth(function, host, 5) == 0


def test_a_broken_attempt_voids_the_belief_in_instances_only_as_the_last_out():
    made = gateway()
    function = ranked(made, "a", "b", "c")
    function.last_used["a"] = 0
    host = made.hosts_by_id["a"]
    host.in_flight = {("other", 0): 0}
    heard(made, "a", SECOND, 0, Result.RESET)
    assert made.functions.warmth(function, host, SECOND) > 0
    host.in_flight = {}
    heard(made, "a", SECOND, 1, Result.RESET, of="u")
    assert made.functions.warmth(function, host, SECOND) == 0
