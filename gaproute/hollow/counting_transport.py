"""Counts what one part sends by the datagrams of the membership."""

from __future__ import annotations

from typing import Protocol, cast

from gaproute.peers.membership_wire import PayloadKind
from gaproute.peers.ports import PayloadHandler
from gaproute.shared.membership import Membership


class PayloadHandlers(Protocol):
    """What calls the handlers of payloads that come."""

    def register(self, kind: PayloadKind, handler: PayloadHandler) -> None:
        """The handler gets each payload of that kind."""

    def unregister(self, kind: PayloadKind) -> None:
        """Payloads of that kind are passed over from now on."""


class PayloadSender(Protocol):
    """A membership part that carries payloads."""

    @property
    def transport(self) -> PayloadHandlers:
        """Where the handlers are registered."""

    @property
    def membership(self) -> object:
        """Who is up: a `Membership`, or what stands in for one."""

    def send_payload(self, address: str, kind: PayloadKind, data: bytes) -> int:
        """Send a payload; its bytes with headers."""


class CountingTransport:
    """The membership's transport as one part sees it: a `gaproute.peers.ports.PayloadTransport`.

    `messages` and `bytes` (with headers) count what this part has sent.
    """

    def __init__(self, part: PayloadSender) -> None:
        self._part = part
        self.membership = cast(Membership, part.membership)
        self.messages = self.bytes = 0

    def register(self, kind: PayloadKind, handler: PayloadHandler) -> None:
        """The handler gets each payload of that kind."""
        self._part.transport.register(kind, handler)

    def unregister(self, kind: PayloadKind) -> None:
        """Payloads of that kind are passed over from now on."""
        self._part.transport.unregister(kind)

    def send_payload(self, address: str, kind: PayloadKind, data: bytes) -> None:
        """Send a payload to the gateway with that address."""
        self.messages += 1
        self.bytes += self._part.send_payload(address, kind, data)
