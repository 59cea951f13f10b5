"""A Raft group and the clients of its leases under random faults.

`RaftGroupRun` is one run; `play` makes and runs one; `schedule` draws the faults of a run. The checks that
need a view of all processes and of true time are in `checks`; `planted_faults` has small faults for the
source, each of which some check must find by name.
"""

from gaproute.simulation.raft_group.run import SPANS, RaftGroupRun, plan, play

__all__ = ["SPANS", "RaftGroupRun", "plan", "play"]
