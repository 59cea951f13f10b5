"""The address at which other gateways ask, as a part: the product's server, for the Raft group too."""

from __future__ import annotations

from typing import Any

from gaproute.appliance.peer_services import LEASE_PEER_LIMITS
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.hollow.environment import GatewayEnvironment
from gaproute.hollow.parts import ControlPart, Parts
from gaproute.loop.addresses import address
from gaproute.peers import PeerServer
from gaproute.peers.raft.transport import TARGET


class PeerServerPart(ControlPart):
    """Needs the parts `hosts` and `leases`, and a loop with real sockets."""

    def __init__(self, environment: GatewayEnvironment, parts: Parts) -> None:
        self._peer_server = PeerServer(
            environment.loop,
            address(environment.address),
            parts["hosts"].decisions,
            HostHistory(),
            [line.name for line in environment.configuration.request_classes],
            LEASE_PEER_LIMITS,
        )
        self._raft_transport = parts["leases"].hosted_node.transport
        self._peer_server.routes[TARGET] = self._handle_raft_messages

    def counters(self) -> dict[str, int]:
        """Transfers of observations that were encoded, and how often who asked for one was put off."""
        return {"told": self._peer_server.transfers.encoded, "put_off": self._peer_server.put_off}

    def close(self) -> None:
        """Listen no more."""
        self._peer_server.close()

    def _handle_raft_messages(self, server: Any, request: Any) -> None:
        self._raft_transport.handle(server, request)
