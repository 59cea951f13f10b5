"""How likely an instance is expected to be loaded."""

from helpers import gateway as make_gateway

from gaproute.decisions.routing.functions import Function


def test_warmth_falls_from_one_to_zero_over_the_keep_alive_time():
    gateway, function = make_gateway(), Function(4)
    function.last_used["a"] = 0
    assert gateway.functions.warmth(function, gateway.hosts_by_id["a"], 0) == 1
    assert gateway.functions.warmth(function, gateway.hosts_by_id["a"], gateway.functions.keep_alive) == 0
