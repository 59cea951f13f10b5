"""The tables of a gateway, grouped for the parts that use them."""

from typing import NamedTuple

from gaproute.decisions.routing.function_mix import FunctionMix
from gaproute.decisions.routing.function_table import FunctionTable
from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.ranking import Ranking


class Tables(NamedTuple):
    """What the gateway knows of hosts and functions."""

    hosts: HostTable
    functions: FunctionTable
    function_mix: FunctionMix
    ranking: Ranking
