"""The interface of the membership's transport for parts that send datagrams."""

from typing import Protocol

from gaproute.peers.membership import PayloadHandler
from gaproute.peers.membership_wire import PayloadKind
from gaproute.shared.membership import Membership


class PayloadTransport(Protocol):
    """The part of `MembershipTransport` that carries payloads; a simulation hands in its own."""

    @property
    def membership(self) -> Membership:
        """Who is up."""

    def register(self, kind: PayloadKind, handler: PayloadHandler) -> None:
        """Has the handler called with each payload of that kind."""

    def unregister(self, kind: PayloadKind) -> None:
        """From now on payloads of that kind are ignored."""

    def send_payload(self, address: str, kind: PayloadKind, data: bytes) -> None:
        """Sends a payload to the gateway with that address."""
