"""A membership that knows its members from the start and carries other parts' datagrams alone."""

from types import SimpleNamespace

from google.protobuf.message import DecodeError

from gaproute.hollow.parts import DATAGRAM_HEADERS, Part
from gaproute.peers import word_pb2
from gaproute.peers.membership import CARRIED, VERSION
from gaproute.shared.membership import MemberState, MemberUpdate


class FixedGossip:
    """Has the face of `gaproute.peers.MembershipTransport` towards the parts that it carries."""

    def __init__(self, surroundings):
        self.name, self.carried = surroundings.name, {}
        self.members = SimpleNamespace(members={}, table=SimpleNamespace(alive={}))
        self.datagrams = surroundings.open_datagrams(surroundings.loop, surroundings.address, self._heard)

    def carry(self, kind, heard):
        """`heard(sender's name, data)` for each datagram of that kind."""
        self.carried[CARRIED[kind]] = heard

    def uncarry(self, kind):
        """Datagrams of that kind are passed over again."""
        self.carried.pop(CARRIED[kind], None)

    def post(self, where, kind, data):
        """Sends one datagram and returns its bytes."""
        made = word_pb2.Word(version=VERSION, kind=CARRIED[kind], weak=data)
        made.sender.name = self.name
        encoded = made.SerializeToString()
        self.datagrams.send(encoded, where)
        return len(encoded)

    def _heard(self, data):
        try:
            told = word_pb2.Word.FromString(data)
        except DecodeError:
            return
        if told.kind in self.carried:
            self.carried[told.kind](told.sender.name, told.weak)


class FixedMembership(Part):
    """In place of `Membership`: the configured gateways are its members, all up."""

    def __init__(self, surroundings, parts):
        self.gossip = FixedGossip(surroundings)

    @property
    def members(self):
        """As of the membership's decisions: `members` by name, those up in `table.alive`."""
        return self.gossip.members

    def post(self, where, kind, data):
        """Sends another part's datagram and returns its bytes with headers."""
        return self.gossip.post(where, kind, data) + DATAGRAM_HEADERS

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
