"""Raft (Ongaro and Ousterhout, 2014) among a few gateways, without I/O.

`RaftNode` is one node: `due` is the time at which `tick` is to be called, `hear` takes a message, and both
return the messages to send as (receiver's name, message). A node owns its `Store` (term, vote and log, on a
`Disk`), its `Sessions` (commands of clients, on a `StateMachine` that is handed in) and, while it is leader,
its `LeaderState`.

Nothing is sent before it is durable: `tick` and `hear` sync first, and return nothing if that fails. To
simulate a crash, drop the node and make a new one with the same disk; a crash may cut off unsynced records at
any point.
"""

from gaproute.shared.raft.disk import Disk, UnusableDiskError
from gaproute.shared.raft.node import RaftNode
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.state_machine import StateMachine

__all__ = ["Disk", "RaftNode", "Role", "StateMachine", "UnusableDiskError"]
