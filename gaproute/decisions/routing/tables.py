"""The tables of a gateway, bundled for the parts that read them."""

from typing import NamedTuple

from gaproute.decisions.routing.function_mix import FunctionMix
from gaproute.decisions.routing.functions import FunctionTable
from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.ranking import Ranking


class Tables(NamedTuple):
    """What is known of hosts and functions."""

    hosts: HostTable
    functions: FunctionTable
    function_mix: FunctionMix
    ranking: Ranking
