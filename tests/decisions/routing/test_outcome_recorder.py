"""What outcomes show about loaded instances."""

from helpers import (
    SECOND,
)
from helpers import gateway as make_gateway
from routing_scenes import end_attempt, set_ranks

from gaproute.interface import Result


def test_a_failed_connection_keeps_the_warmth_of_a_host_and_a_reset_one_does_not():
    gateway = make_gateway()
    end_attempt(gateway, "a", 1, 0)
    end_attempt(gateway, "a", 2, 1, Result.CONNECT_FAILED)
    function, host = gateway.functions_by_name["f"], gateway.hosts_by_id["a"]
    assert gateway.functions.warmth(function, host, 3) > 0.9
    end_attempt(gateway, "a", 4, 3, Result.RESET)
    assert gateway.functions.warmth(function, host, 5) == 0


def test_a_reset_connection_removes_warmth_only_if_no_other_attempt_is_in_flight():
    gateway = make_gateway()
    function = set_ranks(gateway, "a", "b", "c")
    function.last_used["a"] = 0
    host = gateway.hosts_by_id["a"]
    host.in_flight = {("other", 0): 0}
    end_attempt(gateway, "a", SECOND, 0, Result.RESET)
    assert gateway.functions.warmth(function, host, SECOND) > 0
    host.in_flight = {}
    end_attempt(gateway, "a", SECOND, 1, Result.RESET, request="u")
    assert gateway.functions.warmth(function, host, SECOND) == 0
