"""The address at which other gateways ask, as a part: the product's server, for the Raft group too."""

from __future__ import annotations

from gaproute.appliance.peer_services import LEASE_PEER_LIMITS
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.hollow.environment import GatewayEnvironment
from gaproute.hollow.host_list import HostListPart
from gaproute.hollow.leases import LeasePart
from gaproute.hollow.parts import ControlPart, Parts
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.peers import PeerServer
from gaproute.peers.raft import RaftTransport
from gaproute.peers.raft.transport import HTTP_TARGET


class PeerServerPart(ControlPart):
    """Needs the parts `hosts` and `leases`, and a loop with real sockets."""

    def __init__(self, environment: GatewayEnvironment, parts: Parts) -> None:
        assert isinstance(environment.loop, Loop)
        hosts: HostListPart = parts["hosts"]
        leases: LeasePart = parts["leases"]
        raft_transport = leases.node_runner.transport
        assert isinstance(raft_transport, RaftTransport)
        self._peer_server = PeerServer(
            environment.loop,
            parse_address(environment.address),
            hosts.decisions,
            HostHistory(),
            [line.name for line in environment.configuration.request_classes],
            LEASE_PEER_LIMITS,
        )
        self._peer_server.routes[HTTP_TARGET] = raft_transport.handle

    def counters(self) -> dict[str, int]:
        """Transfers of observations that were encoded, and how often who asked for one was put off."""
        return {
            "told": self._peer_server.transfers.encoded_observations,
            "put_off": self._peer_server.postponed_requests,
        }

    def close(self) -> None:
        """Listen no more."""
        self._peer_server.close()
