"""Runs the Raft group and its lease clients, and carries their messages between gateways.

`RaftNodeRunner` runs a gateway's lease client and, if the gateway is a configured member of the group, its
`RaftNode`. `RaftTransport` exchanges their messages with other gateways.
"""

from gaproute.peers.raft.node_runner import ConfiguredRaftGroup, NodeEnvironment, NodeStorage, RaftNodeRunner
from gaproute.peers.raft.transport import RaftTransport

__all__ = ["RaftNodeRunner", "NodeEnvironment", "NodeStorage", "ConfiguredRaftGroup", "RaftTransport"]
