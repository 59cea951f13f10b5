"""Membership as a part: the product's transport on the datagrams that the environment opens."""

from __future__ import annotations

from collections.abc import Sequence
from functools import partial

from gaproute.hollow.environment import GatewayEnvironment, RandomStream
from gaproute.hollow.parts import DATAGRAM_HEADERS, ConfiguredGateway, ControlPart, Parts
from gaproute.peers import MembershipTransport
from gaproute.peers.membership_wire import PayloadKind
from gaproute.shared.membership import Membership


class MembershipPart(ControlPart):
    """Which gateways are up.

    `transport` also carries the payloads of other parts; these are not counted here.
    """

    def __init__(self, environment: GatewayEnvironment, parts: Parts) -> None:
        self._payloads = self._payload_bytes = 0
        self.transport = MembershipTransport(
            environment.loop,
            environment.name,
            environment.address,
            environment.random(RandomStream.MEMBERSHIP),
            environment.record,
            partial(environment.open_datagrams, environment.loop),
            environment.wall_clock,
        )

    @property
    def membership(self) -> Membership:
        """The decisions of the membership."""
        return self.transport.membership

    def send_payload(self, address: str, kind: PayloadKind, data: bytes) -> int:
        """Send another part's payload; its bytes with headers."""
        before = self.transport.bytes
        self.transport.send_payload(address, kind, data)
        size = self.transport.bytes - before
        self._payloads += 1
        self._payload_bytes += size
        return size + DATAGRAM_HEADERS

    def set_gateways(self, gateways: Sequence[ConfiguredGateway]) -> None:
        """Configure the members, which are never forgotten."""
        self.transport.configure(gateways)

    def counters(self) -> dict[str, int]:
        """`entries`: members held; `refused`: members beyond the bound, and updates that make no sense."""
        transport, membership = self.transport, self.membership
        messages = transport.sent - self._payloads
        return {
            "messages": messages,
            "bytes": transport.bytes - self._payload_bytes + messages * DATAGRAM_HEADERS,
            "entries": len(membership.members),
            "news": len(membership.table.pending_updates),
            "refused": membership.rejected_count,
            "flood": transport.rate_limited,
            "suspicions": membership.suspicion_count,
        }

    def close(self) -> None:
        """Close the socket."""
        self.transport.close()
