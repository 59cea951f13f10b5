"""Many keepers, holders, gateways and hosts in one process, on a clock and a net of their own, with faults.

Face: `World` plays a `Plan` of faults; `Checks` are run at each step; a `Breach` names what was broken, with
seed, step and the last events; `shrink` makes a failing plan small. All comes from one seed: the same seed is
the same run, with the same digest of events.
"""

from gaproute.simulation.chance import Chance
from gaproute.simulation.checks import Breach, Checks
from gaproute.simulation.clock import Clock
from gaproute.simulation.disk import Crash, Disk
from gaproute.simulation.load import Load
from gaproute.simulation.net import Net
from gaproute.simulation.plan import Fault, Plan, draw
from gaproute.simulation.shrink import shrink
from gaproute.simulation.world import World

__all__ = [
    "Breach",
    "Chance",
    "Checks",
    "Clock",
    "Crash",
    "Disk",
    "Fault",
    "Load",
    "Net",
    "Plan",
    "World",
    "draw",
    "shrink",
]
