"""Many processes inside one, on a simulated clock, network and disks, with random faults.

A `Simulation` plays a `FaultSchedule`. `InvariantChecks` run at each step; an `InvariantViolationError` names
what was violated, with seed, step and the last events. `shrink` makes a failing schedule small. Everything
follows from one seed: the same seed gives the same run, with the same digest of events.
"""

from gaproute.simulation.clock import SimulatedClock
from gaproute.simulation.disk import ProcessCrash, SimulatedDisk
from gaproute.simulation.fault_schedule import FaultSchedule, ScheduledFault, draw
from gaproute.simulation.invariant_checks import InvariantChecks, InvariantViolationError
from gaproute.simulation.network import SimulatedNetwork
from gaproute.simulation.random_load import RandomLoad
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.shrink import shrink
from gaproute.simulation.simulation import Simulation

__all__ = [
    "InvariantViolationError",
    "SeededRandom",
    "InvariantChecks",
    "SimulatedClock",
    "ProcessCrash",
    "SimulatedDisk",
    "ScheduledFault",
    "RandomLoad",
    "SimulatedNetwork",
    "FaultSchedule",
    "Simulation",
    "draw",
    "shrink",
]
