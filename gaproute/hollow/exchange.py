"""The address at which other gateways ask, as a part: the product's giver, and keepers' messages."""

from gaproute.appliance.peer_services import LEASE_PEER_LIMITS
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.hollow.parts import Part
from gaproute.loop.addresses import address
from gaproute.peers import PeerServer
from gaproute.peers.raft.transport import TARGET


class Exchange(Part):
    """Needs the parts `hosts` and `leases`, and a loop with real sockets."""

    def __init__(self, surroundings, parts):
        tracks = [line.name for line in surroundings.configuration.request_classes]
        where = address(surroundings.address)
        self.peer_server = PeerServer(
            surroundings.loop, where, parts["hosts"].gateway, HostHistory(), tracks, LEASE_PEER_LIMITS
        )
        self.transport = parts["leases"].hosted_node.transport
        self.peer_server.routes[TARGET] = self.handle

    def handle(self, server, request):
        """A batch of a keeper's messages came."""
        self.transport.handle(server, request)

    def counters(self):
        """What was told to others that ask, and how often they were put off."""
        return {"told": self.peer_server.transfers.encoded, "put_off": self.peer_server.put_off}

    def close(self):
        """Listens no more."""
        self.peer_server.close()
