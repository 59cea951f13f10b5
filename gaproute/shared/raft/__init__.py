"""The Raft consensus algorithm (Ongaro and Ousterhout, 2014) for a group of a few gateways, without I/O.

`RaftNode` is one node of the group: `due` is the time at which the driver must call `tick`, and `hear`
handles a received message. Both return the messages to send as (receiver's name, message). A node owns its
`Store` (the term, the vote and the log, on a `Disk`), its `Sessions` (the clients' sessions, whose commands
are applied to the `StateMachine` given to the node) and, while the node is leader, its `LeaderState`.

A node sends nothing before the state behind it is durable: `tick` and `hear` sync the disk first, and return
no messages if the sync fails. To simulate a crash, drop the node and create a new one with the same disk; a
crash may cut off the unsynced records at any point.
"""

from gaproute.shared.raft.disk import Disk, UnusableDiskError
from gaproute.shared.raft.node import RaftNode
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.state_machine import StateMachine

__all__ = ["Disk", "RaftNode", "Role", "StateMachine", "UnusableDiskError"]
