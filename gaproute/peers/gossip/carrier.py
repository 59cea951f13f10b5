"""The weak word carried by the membership's datagrams. Who is up is taken from there, once a second at most;
what this gateway sees is looked up from its decisions at a pace, so that no task's path grows longer."""

from gaproute.peers.gossip.wire import decode, encode
from gaproute.peers.membership_wire import PayloadKind
from gaproute.shared.gossip import Weak
from gaproute.shared.gossip.told import RATE

SECOND = 1_000_000_000
LOOK = SECOND // 2  # between two looks at tasks in hand and copies: as often as one peer is told at most
LEAST = SECOND // 200  # between two turns
LISTED = SECOND  # between two takes of the list of members: a storm of news must not be one of lists


class Carrier:
    """`gateway`: the decisions' state, whose `hosts_by_id` hold the attempts in flight and whose `known`
    tells copies. `rate`: bytes a second that it may tell."""

    def __init__(self, loop, name, gossip, gateway, chance, rate=RATE):
        self.loop, self.gossip, self.gateway = loop, gossip, gateway
        now = loop.now()
        self.weak = Weak(name, gossip.membership.incarnation, chance, now, rate)
        self.hands = {}  # host: tasks in hand as told last
        self.looked, self.listed_at, self.mark = now - LOOK, now - LISTED, now
        gossip.register(PayloadKind.GOSSIP, self._heard)
        self.timer = loop.at(now, self._tick)

    def arrived(self, now, function, track):
        self.weak.saw_arrival(now, function, track)

    def listed(self, hosts):
        """{host: its start} as listed now."""
        self.weak.listed(self.loop.now(), hosts)

    def _tick(self):
        now = self.loop.now()
        try:
            self._turn(now)
        finally:  # a fault in one turn is logged by the loop, and must not end all later ones
            self.timer = self.loop.at(max(self.weak.due, now + LEAST), self._tick)

    def _turn(self, now):
        membership = self.gossip.membership
        if now - self.listed_at >= LISTED:
            self.listed_at = now
            self.weak.renew(membership.incarnation)
            self.weak.peers(now, [*membership.table.alive.names, *membership.table.suspects])
        if now - self.looked >= LOOK:
            self.looked = now
            self._look(now)
        for name, word in self.weak.tick(now):
            member = membership.members.get(name)
            if member is not None:
                self.gossip.send_payload(member.address, PayloadKind.GOSSIP, encode(word))

    def _look(self, now):
        for name, host in self.gateway.hosts_by_id.items():
            tasks = len(host.in_flight)
            if tasks != self.hands.get(name, 0):
                self.hands[name] = tasks
                self.weak.saw_hands(now, name, tasks)
        for name in [name for name in self.hands if name not in self.gateway.hosts_by_id]:
            del self.hands[name]
            self.weak.saw_hands(now, name, 0)
        for kind, names, _, at in self.gateway.known(now, self.mark):
            if kind == "warm":
                self.weak.saw_warm(at, *names[:2])
        self.mark = now

    def _heard(self, sender, data):
        self.weak.hear(self.loop.now(), sender, lambda: decode(data))

    def close(self):
        self.timer.cancel()
