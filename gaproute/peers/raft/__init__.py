"""Raft messages and lease requests between gateways.

`RaftNodeRunner` runs a gateway's lease client and, if the configuration names the gateway as a member, its
`RaftNode`. `RaftTransport` sends their messages to other gateways and receives those.
"""

from gaproute.peers.raft.node_runner import ConfiguredRaftGroup, NodeEnvironment, NodeStorage, RaftNodeRunner
from gaproute.peers.raft.transport import RaftTransport

__all__ = ["RaftNodeRunner", "NodeEnvironment", "NodeStorage", "ConfiguredRaftGroup", "RaftTransport"]
