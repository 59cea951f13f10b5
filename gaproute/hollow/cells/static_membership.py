"""A membership of fixed members, which carries the payloads of other parts and nothing of its own."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from gaproute.hollow.environment import GatewayEnvironment
from gaproute.hollow.parts import DATAGRAM_HEADERS, ConfiguredGateway, ControlPart, Parts
from gaproute.peers.membership_wire import Payload, PayloadKind, decode_datagram, encode_payload
from gaproute.peers.ports import PayloadHandler
from gaproute.shared.membership import MemberState, MemberUpdate


@dataclass
class StaticMemberTable:
    """Stands in for the member table: the members that are up, by name."""

    alive: Mapping[str, MemberUpdate] = field(default_factory=dict)


@dataclass
class StaticMembership:
    """Stands in for the decisions of a membership: all members by name, all of them up."""

    members: Mapping[str, MemberUpdate] = field(default_factory=dict)
    table: StaticMemberTable = field(default_factory=StaticMemberTable)


class StaticMembershipTransport:
    """Stands in for `gaproute.peers.MembershipTransport` towards the parts whose payloads it carries."""

    def __init__(self, environment: GatewayEnvironment) -> None:
        self._name = environment.name
        self._handlers: dict[PayloadKind, PayloadHandler] = {}
        self._datagrams = environment.open_datagrams(environment.loop, environment.address, self._received)

    def register(self, kind: PayloadKind, handler: PayloadHandler) -> None:
        """The handler gets the sender's name and the data of each payload of that kind."""
        self._handlers[kind] = handler

    def unregister(self, kind: PayloadKind) -> None:
        """Payloads of that kind are passed over again."""
        self._handlers.pop(kind, None)

    def send_payload(self, address: str, kind: PayloadKind, data: bytes) -> int:
        """Send a payload; the bytes of its datagram."""
        datagram = encode_payload(kind, self._name, data)
        self._datagrams.send(datagram, address)
        return len(datagram)

    def close(self) -> None:
        """Close the socket."""
        self._datagrams.close()

    def _received(self, datagram: bytes) -> None:
        message = decode_datagram(datagram)
        if isinstance(message, Payload) and message.kind in self._handlers:
            self._handlers[message.kind](message.sender, message.data)


class StaticMembershipPart(ControlPart):
    """In place of `MembershipPart`: the configured gateways are the members, all up."""

    def __init__(self, environment: GatewayEnvironment, parts: Parts) -> None:
        self.transport = StaticMembershipTransport(environment)
        self.membership = StaticMembership()

    def send_payload(self, address: str, kind: PayloadKind, data: bytes) -> int:
        """Send another part's payload; its bytes with headers."""
        return self.transport.send_payload(address, kind, data) + DATAGRAM_HEADERS

    def set_gateways(self, gateways: Sequence[ConfiguredGateway]) -> None:
        """These are the members."""
        members = {
            gateway.name: MemberUpdate(gateway.name, gateway.where, MemberState.ALIVE, 0)
            for gateway in gateways
        }
        self.membership.members = self.membership.table.alive = members

    def close(self) -> None:
        """Close the socket."""
        self.transport.close()
