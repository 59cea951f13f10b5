"""Sends and receives gossip by the membership's datagrams.

The members that are up are read from the membership once a second at most. What this gateway observes is read
from its decisions at intervals, outside the path of requests.
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

# Between two reads of the decisions: as often as a message is sent to one peer
OBSERVATION_INTERVAL = SECOND // 2
MIN_TURN_INTERVAL = SECOND // 200  # between two turns of the timer
# Between two reads of the members, so that many updates of members do not cause as many reads
PEERS_INTERVAL = SECOND


class GossipTransport:
    """Feeds a `GossipNode` with observations and carries its messages.

    `gateway`: the decisions that are observed; `rate`: bytes per second that may be sent.
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
        self._in_flight: dict[str, int] = {}  # by host: the number of requests that was recorded last
        self._observe_at = self._peers_at = now
        self._observed_until = now  # the time until which warm instances are recorded
        transport.register(PayloadKind.GOSSIP, self._received)
        self._timer = loop.call_at(now, self._tick)

    def record_arrival(self, now: int, function: str, request_class: int) -> None:
        """Records a request that arrived."""
        self.node.record_arrival(now, function, request_class)

    def set_hosts(self, hosts: Mapping[str, object]) -> None:
        """Takes over the listed hosts: by name, their start."""
        self.node.set_hosts(self.loop.now(), hosts)

    def close(self) -> None:
        """Ends sending and receiving."""
        self._timer.cancel()

    def _tick(self) -> None:
        now = self.loop.now()
        try:
            self._turn(now)
        finally:  # an error in one turn is logged by the loop and must not end the later turns
            self._timer = self.loop.call_at(max(self.node.due, now + MIN_TURN_INTERVAL), self._tick)

    def _turn(self, now: int) -> None:
        if now >= self._peers_at:
            self._peers_at = now + PEERS_INTERVAL
            self._update_peers(now)
        if now >= self._observe_at:
            self._observe_at = now + OBSERVATION_INTERVAL
            self._observe_in_flight()
            self._observe_warm_instances(now)
        self._send(now)

    def _update_peers(self, now: int) -> None:
        membership = self.transport.membership
        self.node.raise_incarnation(membership.incarnation)
        self.node.set_peers(now, [*membership.table.alive.names, *membership.table.suspected_since])

    def _observe_in_flight(self) -> None:
        hosts = self.gateway.hosts_by_id
        for name, host in hosts.items():
            requests = len(host.in_flight)
            if requests != self._in_flight.get(name, 0):
                self._in_flight[name] = requests
                self.node.record_in_flight(name, requests)
        for name in [name for name in self._in_flight if name not in hosts]:
            del self._in_flight[name]
            self.node.record_in_flight(name, 0)

    def _observe_warm_instances(self, now: int) -> None:
        for observation in self.gateway.observations_since(now, self._observed_until):
            if observation.kind == ObservationKind.WARM_INSTANCE:
                host, function = observation.names
                self.node.record_warm_instance(observation.at, str(host), str(function))
        self._observed_until = now

    def _send(self, now: int) -> None:
        members = self.transport.membership.members
        for peer, message in self.node.tick(now):
            member = members.get(peer)
            if member is not None:
                self.transport.send_payload(member.address, PayloadKind.GOSSIP, encode(message))

    def _received(self, sender: str, data: bytes) -> None:
        self.node.receive_encoded(self.loop.now(), sender, lambda: decode(data))
