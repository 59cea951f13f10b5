"""Rounds of maintenance in one process, judged by the true state of the hosts.

`MaintenanceRun` is one run, `play` makes and plays one, `RunKind` says what may happen in a run. `baselines`
has two ways of maintenance without a capacity floor to compare with.
"""

from gaproute.simulation.rounds.kinds import RunKind
from gaproute.simulation.rounds.run import MaintenanceRun, play

__all__ = ["MaintenanceRun", "RunKind", "play"]
