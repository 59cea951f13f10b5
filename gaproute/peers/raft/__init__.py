"""Raft messages and lease requests between gateways.

`HostedNode` runs a gateway's lease client and, if the configuration names the gateway as a member, its
`RaftNode`. `RaftTransport` sends their messages to other gateways and receives those.
"""

from gaproute.peers.raft.hosted_node import HostedNode, NodeEnvironment, NodeStorage, RaftGroupView
from gaproute.peers.raft.transport import RaftTransport

__all__ = ["HostedNode", "NodeEnvironment", "NodeStorage", "RaftGroupView", "RaftTransport"]
