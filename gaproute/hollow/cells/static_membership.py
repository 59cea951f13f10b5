"""A membership that knows its members from the start and carries other parts' datagrams alone."""

from types import SimpleNamespace

from gaproute.hollow.parts import DATAGRAM_HEADERS, ControlPart
from gaproute.peers.membership_wire import Payload, decode_datagram, encode_payload
from gaproute.shared.membership import MemberState, MemberUpdate


class StaticMembershipTransport:
    """Has the face of `gaproute.peers.MembershipTransport` towards the parts that it carries."""

    def __init__(self, environment):
        self.name, self.handlers = environment.name, {}
        self.membership = SimpleNamespace(members={}, table=SimpleNamespace(alive={}))
        self.datagrams = environment.open_datagrams(environment.loop, environment.address, self._heard)

    def register(self, kind, heard):
        """`heard(sender's name, data)` for each datagram of that kind."""
        self.handlers[kind] = heard

    def unregister(self, kind):
        """Datagrams of that kind are passed over again."""
        self.handlers.pop(kind, None)

    def send_payload(self, where, kind, data):
        """Sends one datagram and returns its bytes."""
        encoded = encode_payload(kind, self.name, data)
        self.datagrams.send(encoded, where)
        return len(encoded)

    def _heard(self, data):
        message = decode_datagram(data)
        if isinstance(message, Payload) and message.kind in self.handlers:
            self.handlers[message.kind](message.sender, message.data)


class StaticMembershipPart(ControlPart):
    """In place of `Membership`: the configured gateways are its members, all up."""

    def __init__(self, environment, parts):
        self.gossip = StaticMembershipTransport(environment)

    @property
    def members(self):
        """As of the membership's decisions: `members` by name, those up in `table.alive`."""
        return self.gossip.membership

    def post(self, where, kind, data):
        """Sends another part's datagram and returns its bytes with headers."""
        return self.gossip.send_payload(where, kind, data) + DATAGRAM_HEADERS

    def listed(self, gateways):
        """These are the members."""
        self.members.members = {
            gateway.name: MemberUpdate(gateway.name, gateway.where, MemberState.ALIVE, 0)
            for gateway in gateways
        }
        self.members.table.alive = self.members.members

    def close(self):
        """Closes the socket."""
        self.gossip.datagrams.close()
