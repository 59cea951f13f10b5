"""Raft messages and lease requests between gateways; nothing runs unless it is made.

`HostedNode` runs a gateway's lease client and, where the configuration names it a member, its `RaftNode`.
`RaftTransport` brings their messages to the other gateways and takes theirs.
"""

from gaproute.peers.raft.hosted_node import HostedNode
from gaproute.peers.raft.transport import RaftTransport

__all__ = ["HostedNode", "RaftTransport"]
