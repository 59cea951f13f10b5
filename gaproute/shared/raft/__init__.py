"""Raft (Ongaro and Ousterhout, 2014) among a few gateways, sans-I/O.

`RaftNode` is one node: `due` says when `tick` wants to be called, `hear` takes a message, both return what is
to be sent as (receiver's name, message). It owns its `Store` (term, vote, log, on a `Disk`), its `Sessions`
(what clients asked, on a `StateMachine` that is handed in) and, while it leads, its `LeaderState`.

Nothing is sent before it is durable: `tick` and `hear` sync first and return nothing where that fails. A
crash: drop the node, make a new one with the same disk. An unsynced tail may be cut by a crash at any record.
"""

from gaproute.shared.raft.disk import Disk, UnusableDiskError
from gaproute.shared.raft.node import RaftNode
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.state_machine import StateMachine

__all__ = ["Disk", "RaftNode", "Role", "StateMachine", "UnusableDiskError"]
