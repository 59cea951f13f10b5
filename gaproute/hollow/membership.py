"""Membership as a part: the product's gossip on the datagrams that the environment open."""

from gaproute.hollow.parts import DATAGRAM_HEADERS, ControlPart
from gaproute.peers import MembershipTransport


class MembershipPart(ControlPart):
    """Which gateways are up. The `gossip` also carries other parts' datagrams; they are not counted here."""

    def __init__(self, environment, parts):
        self.carried = self.carried_bytes = 0
        self.gossip = MembershipTransport(
            environment.loop,
            environment.name,
            environment.address,
            environment.chance(2),
            environment.record,
            environment.open_datagrams,
            environment.wall,
        )

    @property
    def members(self):
        """The membership's decisions."""
        return self.gossip.membership

    def post(self, where, kind, data):
        """Sends another part's datagram and returns its bytes with headers."""
        before = self.gossip.bytes
        self.gossip.send_payload(where, kind, data)
        spent = self.gossip.bytes - before
        self.carried += 1
        self.carried_bytes += spent
        return spent + DATAGRAM_HEADERS

    def listed(self, gateways):
        """Configured members are never forgotten."""
        self.gossip.configure(gateways)

    def counters(self):
        """`entries`: members held; `refused`: claims of strangers beyond the bound, and senseless ones."""
        gossip, members = self.gossip, self.gossip.membership
        messages = gossip.sent - self.carried
        return {
            "messages": messages,
            "bytes": gossip.bytes - self.carried_bytes + messages * DATAGRAM_HEADERS,
            "entries": len(members.members),
            "news": len(members.table.pending_updates),
            "refused": members.rejected,
            "flood": gossip.rate_limited,
            "suspicions": members.suspicions,
        }

    def close(self):
        """Closes the socket."""
        self.gossip.close()
