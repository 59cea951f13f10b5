"""The parts with which a gateway communicates with other gateways, and its observations of the last run.

The address for peers serves membership, gossip, observations, leases and forwarded requests. Observations
also come from the store that this gateway wrote in its last run. This module only connects the parts.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from functools import partial
from typing import Protocol

from gaproute.appliance.leases import LeaseService
from gaproute.appliance.observation_writer import ObservationWriter
from gaproute.appliance.seed_offsets import SeedOffset
from gaproute.config import read_peers
from gaproute.config.configuration import Configuration
from gaproute.config.directives.fleet import PeerLine
from gaproute.config.directives.process import ClientLimitsLine
from gaproute.config.errors import Mistake
from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.reports.hint_selector import HintSelector
from gaproute.decisions.reports.host_history import HostHistory
from gaproute.decisions.reports.observation_kinds import SharedObservation, Subject
from gaproute.decisions.reports.shared_observations import MAX_OBSERVATIONS, SharedObservations
from gaproute.decisions.routing import Gateway
from gaproute.discovery.file_watch import FileWatch
from gaproute.http1 import Limits
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.loop.datagrams import DatagramSocket
from gaproute.peers import MembershipTransport, ObservationClient, PeerServer
from gaproute.peers.gossip import GossipTransport
from gaproute.peers.peer_server import HTTP_LIMITS
from gaproute.peers.raft.transport import HTTP_TARGET
from gaproute.peers.raft.wire import MAX_BATCH_BYTES
from gaproute.storage import ObservationStore, ObservationStoreError
from gaproute.telemetry.record import GatewayRecord

LAST_RUN_ORIGIN = "past life"  # origin of observations from the store, as operators read it
FORWARDED_HEADER_BYTES = 4096  # bytes of headers that a gateway adds to a client's
# Limits at the address for peers in a fleet with leases: batches of Raft messages are long, and every gateway
# of a large fleet may have a connection to each member of the Raft group.
LEASE_PEER_LIMITS = Limits(
    max_body_bytes=MAX_BATCH_BYTES,
    max_pipelined=1,
    max_connections=4096,
    max_buffered_bytes=4 * MAX_BATCH_BYTES,
)


class PeerListObserver(Protocol):
    """The interface of `CellServices` for changes of the peer list."""

    def update_peers(self, addresses: Mapping[str, str]) -> None:
        """Replaces the addresses of all other gateways, by name."""


class PeerServices:
    """The parts that communicate with other gateways; a part that is not configured is None.

    `gateway`: the decisions, which supply observations and use those of others. `cells` is notified of each
    change of the peer list.
    """

    def __init__(
        self,
        loop: Loop,
        configuration: Configuration,
        gateway: Gateway,
        record: GatewayRecord,
        seed: int,
        cells: PeerListObserver | None = None,
    ) -> None:
        self.loop, self.configuration, self.gateway = loop, configuration, gateway
        self.record, self.seed, self.cells = record, seed, cells
        self.peer_server: PeerServer | None = None
        self.observation_client: ObservationClient | None = None
        self.membership_transport: MembershipTransport | None = None
        self.gossip: GossipTransport | None = None
        self.peer_list_watch: FileWatch | None = None
        self.leases: LeaseService | None = None
        self.observation_writer: ObservationWriter | None = None
        self.host_history, self.observations = HostHistory(), SharedObservations()
        self.request_classes = [line.name for line in configuration.request_classes]
        self.hint_selector = HintSelector(
            self.observations,
            configuration.routing_settings.keep_alive,
            {name: number for number, name in enumerate(self.request_classes)},
            RandomGenerator(seed + SeedOffset.OBSERVATIONS),
        )

    def listen(self, address: str) -> PeerServer:
        """Opens the address for other gateways. Errors: OSError; `close` has to be called then."""
        server = PeerServer(
            self.loop,
            parse_address(address),
            self.gateway,
            self.host_history,
            self.request_classes,
            self._limits(),
        )
        self.peer_server = server
        try:
            self.membership_transport = self._open_membership(server)
            self._open_leases(server)
        except OSError:
            server.close()
            raise
        if self.configuration.gossip_enabled:
            self.gossip = self._make_gossip(self.membership_transport)
        return server

    def start(self) -> None:
        """Applies the observations of the last run, then requests observations of the peers."""
        self.open_observation_store()
        if self.configuration.peers or self.configuration.peers_file:
            self.observation_client = ObservationClient(
                self.loop,
                (),
                self.observations,
                self.apply_observations,
                self.apply_request_mix,
                self.record,
            )
            self.update_peers(self.configuration.peers)
        source = self.configuration.peers_file
        if source is not None:
            self.peer_list_watch = FileWatch(
                self.loop,
                source.path,
                source.look,
                self.update_peers,
                self.log_rejected_peer_list,
                read_peers,
            )

    def update_hosts(self, states: Mapping[str, tuple[str, int]]) -> None:
        """Replaces the host list; `states`: by host, its state and its start time (ns since 1970)."""
        self.host_history.update(self.loop.now(), states)
        if self.gossip is not None:
            history = self.host_history.entries
            self.gossip.set_hosts({name: entry.started for name, entry in history.items() if name in states})

    def update_peers(self, peers: Sequence[PeerLine]) -> None:
        """Replaces the list of peers; `peers` may include this gateway."""
        others = [peer for peer in peers if peer.name != self.configuration.name]
        addresses = {peer.name: peer.where for peer in others}
        if self.membership_transport is not None:
            self.membership_transport.set_configured_peers(others)
        if self.leases is not None:
            self.leases.update_peers(addresses)
        if self.cells is not None:
            self.cells.update_peers(addresses)
        if self.observation_client is not None:
            self.observation_client.set_peers(others)

    def log_rejected_peer_list(self, mistakes: Iterable[Mistake]) -> None:
        """Logs why the peer list last read is not used."""
        for mistake in mistakes:
            self.record.event("error", "peer_list_rejected", error=str(mistake))

    def open_observation_store(self) -> None:
        """Opens the observation store, if one is configured, and applies the observations of the last run.

        If the store cannot be opened, the gateway retries while it serves and then writes to it.
        """
        if self.configuration.observation_file is None:
            return
        store = ObservationStore(self.configuration.observation_file, self._log_store)
        try:
            store.open()
            self._restore(store)
        except ObservationStoreError as error:
            self.record.event("warning", "observation_store_unavailable", error=str(error))
        self.observation_writer = ObservationWriter(
            self.loop, store, self.gateway, self.host_history, self.request_classes
        )

    def apply_observations(self, subjects: Collection[Subject]) -> int:
        """Passes the observations of the subjects to the decisions as hints; returns how many were used."""
        starts = self.host_history.active_start_times()
        return self.hint_selector.apply_hints(self.gateway, self.loop.now(), starts, subjects)

    def apply_request_mix(self) -> None:
        """Passes the mix of functions to the decisions, after a source has sent all its observations."""
        self.gateway.hint_function_mix(self.observations.request_mix())

    def cpu_spent(self) -> int:
        """The CPU time spent on sending and storing observations, ns."""
        parts = (self.peer_server, self.observation_writer)
        return sum(part.spent for part in parts if part is not None)

    def stop(self) -> None:
        """Leaves the membership and releases all leases; other gateways get answers until `close`."""
        for part in (self.membership_transport, self.leases):
            if part is not None:
                part.stop()
        if self.peer_list_watch is not None:
            self.peer_list_watch.close()

    def close(self) -> None:
        """Closes all parts except the server that `listen` returned."""
        for part in (
            self.peer_list_watch,
            self.observation_client,
            self.gossip,
            self.membership_transport,
            self.leases,
            self.observation_writer,
        ):
            if part is not None:
                part.close()

    def _open_membership(self, server: PeerServer) -> MembershipTransport:
        random_source = RandomGenerator(self.seed + SeedOffset.MEMBERSHIP)
        open_datagrams = partial(DatagramSocket, self.loop)
        return MembershipTransport(
            self.loop, self.configuration.name, server.address, random_source, self.record, open_datagrams
        )

    def _open_leases(self, server: PeerServer) -> None:
        line = self.configuration.raft_group
        if line is not None:
            random_source = RandomGenerator(self.seed + SeedOffset.LEASES)
            self.leases = LeaseService(self.loop, self.configuration.name, line, self.record, random_source)
            server.routes[HTTP_TARGET] = self.leases.handle_messages

    def _make_gossip(self, transport: MembershipTransport) -> GossipTransport:
        random_source = RandomGenerator(self.seed + SeedOffset.GOSSIP)
        return GossipTransport(self.loop, self.configuration.name, transport, self.gateway, random_source)

    def _limits(self) -> Limits:
        limits = HTTP_LIMITS if self.configuration.raft_group is None else LEASE_PEER_LIMITS
        if self.configuration.cells is None:
            return limits
        return _raise_limits_for_forwarding(limits, self.configuration.client_limits)

    def _restore(self, store: ObservationStore) -> None:
        now = self.loop.now()
        for subject, value, age in store.read(MAX_OBSERVATIONS):
            observed_at = self.observations.earliest_observation_time(now, age)
            if observed_at is not None:
                self.observations.add(subject, SharedObservation(observed_at, LAST_RUN_ORIGIN, 0, value))
        applied = self.apply_observations(self.observations.by_subject)
        self.apply_request_mix()
        self.record.event(
            "info",
            "observations_restored",
            observations=len(self.observations.by_subject),
            hints_taken=applied,
            rejected=self.observations.rejection_counts(),
        )

    def _log_store(self, text: str) -> None:
        self.record.event("warning", "observation_store_fault", message=text)


def _raise_limits_for_forwarding(limits: Limits, clients: ClientLimitsLine) -> Limits:
    """Returns limits that also admit forwarded requests, which are as large as requests of clients."""
    return limits._replace(
        max_head_bytes=clients.head + FORWARDED_HEADER_BYTES,
        max_body_bytes=max(limits.max_body_bytes, clients.body),
        max_pipelined=max(limits.max_pipelined, clients.pipelined),
        max_connections=max(limits.max_connections, clients.connections),
    )
