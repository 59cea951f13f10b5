"""A Raft group and the clients of its leases under random faults.

`RaftGroupRun` is one run; `play` makes and plays one; `draw_group_schedule` draws the faults of a run. Checks
that need a view of all processes, and of true time, are in the modules `*_checks`. `planted_faults` plants
small faults in the source; `planted_raft_faults` and `planted_lease_faults` list them with the checks that
must find them.
"""

from gaproute.simulation.raft_group.run import RaftGroupRun, play
from gaproute.simulation.raft_group.schedule import draw_group_schedule
from gaproute.simulation.raft_group.setup import RaftGroupSetup, RunKind

__all__ = ["RaftGroupRun", "RaftGroupSetup", "RunKind", "draw_group_schedule", "play"]
