"""Many processes inside one, on a simulated clock, network and disks, with random faults.

A `Simulation` plays a `FaultSchedule`. `InvariantChecks` run at each step; an `InvariantViolationError` names
what was violated, with seed, step and the last events. `shrink` makes a failing schedule small. Everything
follows from one seed: the same seed gives the same run, with the same digest of events.

| package | what it plays |
| --- | --- |
| `raft_group` | a Raft group and the clients of its leases |
| `rounds` | rounds of maintenance |
| `campaigns` | rollout campaigns beside production traffic |
"""

from gaproute.simulation.clock import SimulatedClock
from gaproute.simulation.disk import ProcessCrash, SimulatedDisk
from gaproute.simulation.fault_schedule import FaultKind, FaultSchedule, ScheduledFault
from gaproute.simulation.invariant_checks import InvariantChecks
from gaproute.simulation.network import SimulatedNetwork
from gaproute.simulation.options import SimulationOptions
from gaproute.simulation.random_faults import draw_schedule
from gaproute.simulation.random_load import RandomLoad
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.shrink import shrink
from gaproute.simulation.simulation import Simulation
from gaproute.simulation.violation import InvariantViolationError

__all__ = [
    "FaultKind",
    "FaultSchedule",
    "InvariantChecks",
    "InvariantViolationError",
    "ProcessCrash",
    "RandomLoad",
    "ScheduledFault",
    "SeededRandom",
    "SimulatedClock",
    "SimulatedDisk",
    "SimulatedNetwork",
    "Simulation",
    "SimulationOptions",
    "draw_schedule",
    "shrink",
]
