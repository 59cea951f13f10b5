"""The weak word carried by the membership's datagrams. Who is up is taken from there, once a second at most;
what this gateway sees is looked up from its decisions at a pace, so that no task's path grows longer."""

from gaproute.peers.gossip.wire import decode, encode
from gaproute.peers.membership_wire import PayloadKind
from gaproute.shared.gossip import GossipNode
from gaproute.shared.gossip.scheduler import RATE

SECOND = 1_000_000_000
LOOK = SECOND // 2  # between two looks at tasks in hand and copies: as often as one peer is told at most
LEAST = SECOND // 200  # between two turns
LISTED = SECOND  # between two takes of the list of members: a storm of news must not be one of lists


class GossipTransport:
    """`gateway`: the decisions' state, whose `workers` hold tasks in hand and whose `known` tells copies.
    `rate`: bytes a second that it may tell."""

    def __init__(self, loop, name, gossip, gateway, chance, rate=RATE):
        self.loop, self.gossip, self.gateway = loop, gossip, gateway
        now = loop.now()
        self.node = GossipNode(name, gossip.membership.incarnation, chance, now, rate)
        self.hands = {}  # host: tasks in hand as told last
        self.looked, self.listed_at, self.mark = now - LOOK, now - LISTED, now
        gossip.register(PayloadKind.GOSSIP, self._heard)
        self.timer = loop.at(now, self._tick)

    def arrived(self, now, function, track):
        self.node.record_arrival(now, function, track)

    def listed(self, hosts):
        """{host: its start} as listed now."""
        self.node.listed(self.loop.now(), hosts)

    def _tick(self):
        now = self.loop.now()
        try:
            self._turn(now)
        finally:  # a fault in one turn is logged by the loop, and must not end all later ones
            self.timer = self.loop.at(max(self.node.due, now + LEAST), self._tick)

    def _turn(self, now):
        membership = self.gossip.membership
        if now - self.listed_at >= LISTED:
            self.listed_at = now
            self.node.renew(membership.incarnation)
            self.node.peers(now, [*membership.table.alive.names, *membership.table.suspects])
        if now - self.looked >= LOOK:
            self.looked = now
            self._look(now)
        for name, word in self.node.tick(now):
            member = membership.members.get(name)
            if member is not None:
                self.gossip.send_payload(member.address, PayloadKind.GOSSIP, encode(word))

    def _look(self, now):
        for name, worker in self.gateway.workers.items():
            tasks = len(worker.out)
            if tasks != self.hands.get(name, 0):
                self.hands[name] = tasks
                self.node.record_in_flight(now, name, tasks)
        for name in [name for name in self.hands if name not in self.gateway.workers]:
            del self.hands[name]
            self.node.record_in_flight(now, name, 0)
        for kind, names, _, at in self.gateway.known(now, self.mark):
            if kind == "warm":
                self.node.record_warm_instance(at, *names[:2])
        self.mark = now

    def _heard(self, sender, data):
        self.node.hear(self.loop.now(), sender, lambda: decode(data))

    def close(self):
        self.timer.cancel()
