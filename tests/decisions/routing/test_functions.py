"""How far an instance is taken to be loaded."""

from helpers import (
    gateway,
)

from gaproute.decisions.routing.functions import Function


def test_warmth_is_nought_at_the_end_of_the_keep_alive():
    made, function = gateway(), Function(4)
    function.last_used["a"] = 0
    assert made.functions.warmth(function, made.hosts_by_id["a"], 0) == 1
    assert made.functions.warmth(function, made.hosts_by_id["a"], made.functions.keep_alive) == 0
