"""What one gateway has to do with the others and with its own past life: parts wired, nothing decided."""

from gaproute.appliance.leases import LeaseService
from gaproute.appliance.observation_writer import ObservationWriter
from gaproute.config import read_peers
from gaproute.decisions.chance import Chance
from gaproute.decisions.reports.follower import ObservationFollower
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.decisions.reports.observation_kinds import SharedObservation
from gaproute.decisions.reports.shared_observations import MAX_OBSERVATIONS, SharedObservations
from gaproute.discovery.file_watch import FileWatch
from gaproute.http1 import Limits
from gaproute.loop.addresses import address
from gaproute.peers import MembershipTransport, ObservationClient, PeerServer
from gaproute.peers.gossip import GossipTransport
from gaproute.peers.peer_server import LIMITS
from gaproute.peers.raft.transport import TARGET
from gaproute.peers.raft.wire import MAX_BATCH_BYTES
from gaproute.storage import ObservationStore, ObservationStoreError

# Of those that ask at a gateway that takes part in leases: batches are long, and every gateway of
# a large fleet may hold a connection to each keeper.
FORWARDED_HEAD = 4096  # bytes of headers that a gateway adds to a client's
ASKED = Limits(body=MAX_BATCH_BYTES, pipelined=1, connections=4096, buffered=4 * MAX_BATCH_BYTES)


def forwarded_limits(limits, clients):
    """Limits where other gateways also forward calls: as large as those of clients, on many connections."""
    return limits._replace(
        head=clients.head + FORWARDED_HEAD,
        body=max(limits.body, clients.body),
        pipelined=max(limits.pipelined, clients.pipelined),
        connections=max(limits.connections, clients.connections),
    )


class Others:
    def __init__(self, loop, configuration, gateway, record, seed, cells=None):
        self.cells = cells
        self.loop, self.configuration, self.gateway = loop, configuration, gateway
        self.record, self.seed = record, seed
        self.peer_server = self.observation_client = self.watch = None
        self.membership_transport = self.gossip = self.leases = None
        self.observation_writer: ObservationWriter | None = None
        self.host_history, self.observations = HostHistory(), SharedObservations()
        self.tracks = [line.name for line in configuration.tracks]
        self.follower = ObservationFollower(
            self.observations,
            configuration.terms.keep_alive,
            {name: number for number, name in enumerate(self.tracks)},
            Chance(seed + 1),
        )

    def listen(self, where):
        """The front at which others ask. Errors: OSError."""
        line = self.configuration.keepers
        limits = LIMITS if line is None else ASKED
        if self.configuration.cells is not None:
            limits = forwarded_limits(limits, self.configuration.clients)
        self.peer_server = PeerServer(
            self.loop, address(where), self.gateway, self.host_history, self.tracks, limits
        )
        try:
            self.membership_transport = MembershipTransport(
                self.loop,
                self.configuration.name,
                self.peer_server.address,
                Chance(self.seed + 2),
                self.record,
            )
            if line is not None:
                self.leases = LeaseService(
                    self.loop, self.configuration.name, line, self.record, Chance(self.seed + 5)
                )
                self.peer_server.routes[TARGET] = self.leases.handle
        except OSError:
            self.peer_server.close()
            raise
        if self.configuration.gossip_enabled:
            self.gossip = GossipTransport(
                self.loop,
                self.configuration.name,
                self.membership_transport,
                self.gateway,
                Chance(self.seed + 4),
            )
        return self.peer_server

    def start(self):
        self.remember()
        if self.configuration.peers or self.configuration.peers_file:
            self.observation_client = ObservationClient(
                self.loop, (), self.observations, self.follow, self.whole, self.record
            )
            self.listed(self.configuration.peers)
        if self.configuration.peers_file:
            told = self.configuration.peers_file
            self.watch = FileWatch(self.loop, told.path, told.look, self.listed, self.refused, read_peers)

    def hosts_listed(self, lives):
        """`lives`: {host: (state, start, ns since 1970)} of the whole list."""
        self.host_history.update(self.loop.now(), lives)
        if self.gossip is not None:
            self.gossip.listed(
                {name: entry.started for name, entry in self.host_history.entries.items() if name in lives}
            )

    def remember(self):
        """Opens the memory on disk where there is one, and follows what it tells of the past life. One that
        cannot be opened is tried again while the gateway serves, and written to from then on."""
        if self.configuration.memory is None:
            return
        store = ObservationStore(
            self.configuration.memory,
            lambda text: self.record.event("warning", "observation store", text=text),
        )
        try:
            store.open()
            self._recall(store)
        except ObservationStoreError as fault:
            self.record.event("warning", "observation store unavailable", text=str(fault))
        self.observation_writer = ObservationWriter(
            self.loop, store, self.gateway, self.host_history, self.tracks
        )

    def _recall(self, store):
        now = self.loop.now()
        for subject, value, age in store.read(MAX_OBSERVATIONS):
            at = self.observations.observed_at(now, age)
            if at is not None:
                self.observations.add(subject, SharedObservation(at, "past life", 0, value))
        booked = self.follow(self.observations.by_subject)
        self.whole()
        self.record.event(
            "info",
            "remembered",
            facts=len(self.observations.by_subject),
            booked=booked,
            refused=self.observations.rejected(),
        )

    def follow(self, subjects):
        """Tells the decisions of what was observed of the subjects; how many hints were taken."""
        starts = self.host_history.active_starts()
        return self.follower.follow(self.gateway, self.loop.now(), starts, subjects)

    def whole(self):
        """All that one source tells has come: the mix is known now."""
        self.gateway.hint_mix(self.observations.request_mix())

    def listed(self, peers):
        others = [peer for peer in peers if peer.name != self.configuration.name]
        if self.membership_transport is not None:
            self.membership_transport.configure(others)
        if self.leases is not None:
            self.leases.listed({peer.name: peer.where for peer in others})
        if self.cells is not None:
            self.cells.peers({peer.name: peer.where for peer in others})
        self.observation_client.set_peers(others)

    def refused(self, mistakes):
        for mistake in mistakes:
            self.record.event("error", "peer list refused", mistake=str(mistake))

    def spent(self):
        """CPU that telling and writing down took, ns."""
        return sum(part.spent for part in (self.peer_server, self.observation_writer) if part is not None)

    def stop(self):
        for part in (self.membership_transport, self.leases):
            if part is not None:
                part.stop()
        if self.watch is not None:
            self.watch.close()

    def close(self):
        for part in (
            self.watch,
            self.observation_client,
            self.gossip,
            self.membership_transport,
            self.leases,
            self.observation_writer,
        ):
            if part is not None:
                part.close()
