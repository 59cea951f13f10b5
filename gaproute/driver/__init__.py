"""Many keepers, holders, gateways and hosts in one process, on a clock and a net of their own, with faults.

Face: `World` plays a `Plan` of faults; `Checks` are run at each step; a `Breach` names what was broken, with
seed, step and the last events; `shrink` makes a failing plan small. All comes from one seed: the same seed is
the same run, with the same digest of events.
"""

from gaproute.driver.chance import Chance
from gaproute.driver.checks import Breach, Checks
from gaproute.driver.clock import Clock
from gaproute.driver.disk import Crash, Disk
from gaproute.driver.load import Load
from gaproute.driver.net import Net
from gaproute.driver.plan import Fault, Plan, draw
from gaproute.driver.shrink import shrink
from gaproute.driver.world import World

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
