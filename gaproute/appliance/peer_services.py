"""What one gateway has to do with the others and with its own past life: parts wired, nothing decided."""

from gaproute.appliance.leases import LeaseService
from gaproute.appliance.observation_writer import ObservationWriter
from gaproute.config import read_peers
from gaproute.decisions.chance import Chance
from gaproute.decisions.reports.facts import Fact
from gaproute.decisions.reports.lore import FACTS, Lore
from gaproute.decisions.reports.roll import Roll
from gaproute.discovery.listing import FileWatch
from gaproute.http1 import Limits
from gaproute.loop.streams import address
from gaproute.peers import Giver, Learner, MembershipTransport
from gaproute.peers.giver import LIMITS
from gaproute.peers.gossip import Carrier
from gaproute.peers.raft.transport import TARGET
from gaproute.peers.raft.wire import MAX_BATCH_BYTES
from gaproute.storage import ObservationStore, ObservationStoreError

# Of those that ask at a gateway that takes part in leases: batches are long, and every gateway of
# a large fleet may hold a connection to each keeper.
FORWARDED_HEADER_BYTES = 4096  # bytes of headers that a gateway adds to a client's
LEASE_PEER_LIMITS = Limits(body=MAX_BATCH_BYTES, pipelined=1, connections=4096, buffered=4 * MAX_BATCH_BYTES)


def forwarded_limits(limits, clients):
    """Limits where other gateways also forward calls: as large as those of clients, on many connections."""
    return limits._replace(
        head=clients.head + FORWARDED_HEADER_BYTES,
        body=max(limits.body, clients.body),
        pipelined=max(limits.pipelined, clients.pipelined),
        connections=max(limits.connections, clients.connections),
    )


class PeerServices:
    def __init__(self, loop, configuration, gateway, record, seed, cells=None):
        self.cells = cells
        self.loop, self.configuration, self.gateway = loop, configuration, gateway
        self.record, self.seed = record, seed
        self.observation_server = self.observation_fetcher = self.membership_transport = (
            self.gossip_carrier
        ) = self.peer_list_watch = self.leases = None
        self.observation_writer: ObservationWriter | None = None
        self.host_history, self.observations = Roll(), Lore()
        self.tracks = [line.name for line in configuration.tracks]
        self.chance = Chance(seed + 1)

    def listen(self, where):
        """The front at which others ask. Errors: OSError."""
        line = self.configuration.keepers
        limits = LIMITS if line is None else LEASE_PEER_LIMITS
        if self.configuration.cells is not None:
            limits = forwarded_limits(limits, self.configuration.clients)
        self.observation_server = Giver(
            self.loop, address(where), self.gateway, self.host_history, self.tracks, limits
        )
        try:
            self.membership_transport = MembershipTransport(
                self.loop,
                self.configuration.name,
                self.observation_server.address,
                Chance(self.seed + 2),
                self.record,
            )
            if line is not None:
                self.leases = LeaseService(
                    self.loop, self.configuration.name, line, self.record, Chance(self.seed + 5)
                )
                self.observation_server.also[TARGET] = self.leases.handle
        except OSError:
            self.observation_server.close()
            raise
        if self.configuration.gossip_enabled:
            self.gossip_carrier = Carrier(
                self.loop,
                self.configuration.name,
                self.membership_transport,
                self.gateway,
                Chance(self.seed + 4),
            )
        return self.observation_server

    def start(self):
        self.open_observation_store()
        if self.configuration.peers or self.configuration.peers_file:
            self.observation_fetcher = Learner(
                self.loop,
                (),
                self.observations,
                self.apply_observations,
                self.observations_complete,
                self.record,
            )
            self.update_peers(self.configuration.peers)
        if self.configuration.peers_file:
            told = self.configuration.peers_file
            self.peer_list_watch = FileWatch(
                self.loop, told.path, told.look, self.update_peers, self.peer_list_rejected, read_peers
            )

    def update_hosts(self, lives):
        """`lives`: {host: (state, start, ns since 1970)} of the whole list."""
        self.host_history.listed(self.loop.now(), lives)
        if self.gossip_carrier is not None:
            self.gossip_carrier.listed(
                {name: told[1] for name, told in self.host_history.told.items() if name in lives}
            )

    def open_observation_store(self):
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
        for subject, value, age in store.read(FACTS):
            at = self.observations.observed(now, age)
            if at is not None:
                self.observations.tell(subject, Fact(at, "past life", 0, value))
        booked = self.apply_observations(self.observations.facts)
        self.observations_complete()
        self.record.event(
            "info",
            "remembered",
            facts=len(self.observations.facts),
            booked=booked,
            refused=dict(self.observations.refused),
        )

    def apply_observations(self, subjects):
        tracks = {name: place for place, name in enumerate(self.tracks)}
        return self.observations.follow(
            self.gateway,
            self.loop.now(),
            self.host_history.lives(),
            tracks,
            self.configuration.terms.keep_alive,
            self.chance,
            subjects,
        )

    def observations_complete(self):
        """All that one source tells has come: the mix is known now."""
        self.gateway.hint_mix(self.observations.mix())

    def update_peers(self, peers):
        others = [peer for peer in peers if peer.name != self.configuration.name]
        if self.membership_transport is not None:
            self.membership_transport.configure(others)
        if self.leases is not None:
            self.leases.listed({peer.name: peer.where for peer in others})
        if self.cells is not None:
            self.cells.update_peers({peer.name: peer.where for peer in others})
        self.observation_fetcher.listed(others)

    def peer_list_rejected(self, mistakes):
        for mistake in mistakes:
            self.record.event("error", "peer list refused", mistake=str(mistake))

    def cpu_spent(self):
        """CPU that telling and writing down took, ns."""
        return sum(
            part.spent for part in (self.observation_server, self.observation_writer) if part is not None
        )

    def stop(self):
        for part in (self.membership_transport, self.leases):
            if part is not None:
                part.stop()
        if self.peer_list_watch is not None:
            self.peer_list_watch.close()

    def close(self):
        for part in (
            self.peer_list_watch,
            self.observation_fetcher,
            self.gossip_carrier,
            self.membership_transport,
            self.leases,
            self.observation_writer,
        ):
            if part is not None:
                part.close()
