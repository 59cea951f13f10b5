"""Faults of membership: more gateways than there is room for."""

from __future__ import annotations

from benchmarks.scale.watched import SETTLE, Figures, Scenario
from gaproute.hollow import PARTS, HollowGateway
from gaproute.hollow.simulation import GatewayLoop, GatewayRow, SimulatedFleet
from gaproute.hollow.simulation.network import SimulatedDatagrams
from gaproute.peers.membership_wire import decode, encode
from gaproute.shared.membership import (
    Membership,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
)
from gaproute.shared.membership.invariants import check_membership
from gaproute.shared.membership.table import MAX_MEMBERS

SECOND = 1_000_000_000
PING_INTERVAL = SECOND // 500  # between two strangers' pings: a quarter of what counts as a flood


def strangers_beyond_bound(size: int, seed: int) -> Figures:
    """`size` more gateways than membership has room for ping one that does not know them.

    Then another gateway starts that knows only that one.
    """
    fleet = SimulatedFleet(1, seed=seed, part_factories={"membership": PARTS["membership"]})
    fleet.run(SETTLE)
    membership = _membership_of(fleet.gateways["gateway-0"])
    strangers = MAX_MEMBERS + size
    answers = _ping_from_strangers(fleet, strangers)
    fleet.run(strangers * PING_INTERVAL / SECOND + 1)
    figures: Figures = {
        "senders": strangers,
        "bound": MAX_MEMBERS,
        "answered": sum(_is_ack(answer) for answer in answers),
        "members_held": len(membership.members),
        "refused": membership.rejected_count,
    }
    row = GatewayRow(f"gateway-{strangers + 1}", fleet.address(strangers + 1))
    late = _membership_of(fleet.start(row, fleet.rows))
    fleet.run(30)
    figures["newcomer_is_held"] = row.name in membership.members
    figures["newcomer_counts_up"] = late.live_count()
    figures["breaches"] = [
        *check_membership(membership, thorough=True),
        *check_membership(late, thorough=True),
    ]
    fleet.close()
    return figures


def _ping_from_strangers(fleet: SimulatedFleet, count: int) -> list[bytes]:
    """Schedule a ping from each of so many gateways; the list fills with the answers."""
    answers: list[bytes] = []
    for number in range(1, count + 1):
        row = GatewayRow(f"gateway-{number}", fleet.address(number))
        loop = GatewayLoop(fleet.loop)
        socket = SimulatedDatagrams(fleet.network, row.name, loop, row.where, answers.append)
        sender = MemberUpdate(row.name, row.where, MemberState.ALIVE, 1)
        ping = encode(MembershipMessage(MessageKind.PING, number, sender))
        fleet.loop.call_at(fleet.loop.time + number * PING_INTERVAL, socket.send, ping, fleet.rows[0].where)
    return answers


def _is_ack(datagram: bytes) -> bool:
    message = decode(datagram)
    assert message is not None
    return message.kind == MessageKind.ACK


def _membership_of(gateway: HollowGateway) -> Membership:
    membership: Membership = gateway.parts["membership"].membership
    return membership


SCENARIOS: tuple[Scenario, ...] = (strangers_beyond_bound,)
