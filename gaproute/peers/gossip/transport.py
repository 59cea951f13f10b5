"""Sends and receives gossip over the datagrams of the membership transport.

The peers to gossip with are read from the membership at most once a second. The observations of this gateway
are read from its routing decisions at intervals, outside the request path.
"""

from collections.abc import Mapping

from gaproute.decisions.reports.observation_kinds import ObservationKind
from gaproute.peers.gossip.wire import decode, encode
from gaproute.peers.membership_wire import PayloadKind
from gaproute.peers.ports import GossipSource, PayloadTransport, TimerLoop
from gaproute.shared.gossip import GossipNode
from gaproute.shared.gossip.scheduler import DEFAULT_BYTES_PER_SECOND
from gaproute.shared.randomness import RandomSource
from gaproute.units import SECOND

# Between two reads of the observations: the interval at which one peer is sent a message.
OBSERVATION_INTERVAL = SECOND // 2
MIN_TURN_INTERVAL = SECOND // 200  # between two runs of the timer callback
# Between two reads of the members; bounds the reads when the membership changes often.
PEER_UPDATE_INTERVAL = SECOND


class GossipTransport:
    """Records observations in a `GossipNode`, and sends and receives its messages.

    `gateway` supplies the observations of the routing decisions; `rate` limits the bytes sent per second.
    """

    def __init__(
        self,
        loop: TimerLoop,
        name: str,
        transport: PayloadTransport,
        gateway: GossipSource,
        random: RandomSource,
        rate: int = DEFAULT_BYTES_PER_SECOND,
    ) -> None:
        now = loop.now()
        self.loop, self.transport, self.gateway = loop, transport, gateway
        self.node = GossipNode(name, transport.membership.incarnation, random, now, rate)
        self._recorded_in_flight: dict[str, int] = {}  # by host: last recorded number of requests
        self._next_observation_at = self._next_peer_update_at = now
        self._warm_instances_read_at = now  # warm instances up to this time are recorded
        transport.register(PayloadKind.GOSSIP, self._handle_payload)
        self._timer = loop.call_at(now, self._tick)

    def record_arrival(self, now: int, function: str, request_class: int) -> None:
        """Records the arrival of a request."""
        self.node.record_arrival(now, function, request_class)

    def set_hosts(self, hosts: Mapping[str, object]) -> None:
        """Replaces the listed hosts; `hosts` has their start times by name."""
        self.node.set_hosts(self.loop.now(), hosts)

    def close(self) -> None:
        """Cancels the timer, so that nothing more is sent."""
        self._timer.cancel()

    def _tick(self) -> None:
        now = self.loop.now()
        try:
            self._run_turn(now)
        finally:  # the loop logs an error in one turn; the following turns must still run
            self._timer = self.loop.call_at(max(self.node.due, now + MIN_TURN_INTERVAL), self._tick)

    def _run_turn(self, now: int) -> None:
        if now >= self._next_peer_update_at:
            self._next_peer_update_at = now + PEER_UPDATE_INTERVAL
            self._update_peers(now)
        if now >= self._next_observation_at:
            self._next_observation_at = now + OBSERVATION_INTERVAL
            self._record_in_flight()
            self._record_warm_instances(now)
        self._send_messages(now)

    def _update_peers(self, now: int) -> None:
        membership = self.transport.membership
        self.node.raise_incarnation(membership.incarnation)
        self.node.set_peers(now, [*membership.table.alive.names, *membership.table.suspected_since])

    def _record_in_flight(self) -> None:
        hosts = self.gateway.hosts_by_id
        for name, host in hosts.items():
            requests = len(host.in_flight)
            if requests != self._recorded_in_flight.get(name, 0):
                self._recorded_in_flight[name] = requests
                self.node.record_in_flight(name, requests)
        for name in [name for name in self._recorded_in_flight if name not in hosts]:
            del self._recorded_in_flight[name]
            self.node.record_in_flight(name, 0)

    def _record_warm_instances(self, now: int) -> None:
        for observation in self.gateway.observations_since(now, self._warm_instances_read_at):
            if observation.kind == ObservationKind.WARM_INSTANCE:
                host, function = observation.names
                self.node.record_warm_instance(observation.at, str(host), str(function))
        self._warm_instances_read_at = now

    def _send_messages(self, now: int) -> None:
        members = self.transport.membership.members
        for peer, message in self.node.tick(now):
            member = members.get(peer)
            if member is not None:
                self.transport.send_payload(member.address, PayloadKind.GOSSIP, encode(message))

    def _handle_payload(self, sender: str, data: bytes) -> None:
        self.node.receive_encoded(self.loop.now(), sender, lambda: decode(data))
