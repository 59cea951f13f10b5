"""Rounds of maintenance in one process, judged by the true state of the hosts.

`MaintenanceRun` is one run, `play` makes and runs one, `KINDS` names what may befall a run. `baselines` has
two ways of maintenance without a capacity floor to compare with.
"""

from gaproute.simulation.rounds.run import KINDS, MaintenanceRun, play

__all__ = ["KINDS", "MaintenanceRun", "play"]
