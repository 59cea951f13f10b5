"""Membership by datagrams.

The address for datagrams follows from the address for peers: for UDP it is the same one, for Unix sockets
`.words` is appended to the path.
"""

import time
from collections.abc import Callable, Iterable

from gaproute.loop.timers import Timer
from gaproute.peers.membership_wire import Payload, PayloadKind, decode_datagram, encode, encode_payload
from gaproute.peers.ports import EventLog, OpenDatagrams, PayloadHandler, Peer, TimerLoop
from gaproute.shared.membership import Membership, MembershipMessage
from gaproute.shared.membership.message_builder import Outgoing
from gaproute.shared.membership.messages import Member
from gaproute.shared.randomness import RandomSource
from gaproute.units import MILLI, SECOND

# Decoded in one second: 20 times the usual number at 1,000 gateways. A flood beyond it also costs messages of
# other members, as the sender is known only after decoding
MAX_DATAGRAMS = 2000
UNIX_SUFFIX = ".words"  # appended to the path of the Unix socket


def datagram_address(address: str) -> str:
    """The address for datagrams of the gateway that has this address for peers."""
    return address + UNIX_SUFFIX if address.startswith("unix:") else address


class MembershipTransport:
    """Sends and receives the messages of `Membership`, and the payloads of other parts.

    `wall` returns ns since 1970. Errors: OSError where the address cannot be bound.
    """

    def __init__(
        self,
        loop: TimerLoop,
        name: str,
        address: str,
        random: RandomSource,
        record: EventLog,
        open_datagrams: OpenDatagrams,
        wall: Callable[[], int] = time.time_ns,
    ) -> None:
        self.loop, self.record = loop, record
        self.membership = Membership(name, address, random, loop.now(), wall() // MILLI)
        self.datagrams = open_datagrams(datagram_address(address), self._received)
        self.sent = self.bytes = 0
        self.undecodable = self.rate_limited = 0
        self.received_in_second = 0  # datagrams received in the present second
        self.second_began_at = 0  # ns
        self.handlers: dict[PayloadKind, PayloadHandler] = {}  # by kind of payload
        self._timer: Timer | None = None
        self._schedule()

    def configure(self, peers: Iterable[Peer]) -> None:
        """Takes over the configured gateways, which are never forgotten."""
        self.membership.set_configured_members(self.loop.now(), {peer.name: peer.where for peer in peers})
        self._log_changes()

    def register(self, kind: PayloadKind, handler: PayloadHandler) -> None:
        """Has the handler called with each payload of that kind from now on."""
        self.handlers[kind] = handler

    def unregister(self, kind: PayloadKind) -> None:
        """From now on payloads of that kind count as undecodable."""
        self.handlers.pop(kind, None)

    def send_payload(self, address: str, kind: PayloadKind, data: bytes) -> None:
        """Sends a payload of another part to the gateway at that address."""
        self._send_datagram(address, encode_payload(kind, self.membership.name, data))

    def member_rows(self) -> list[dict[str, object]]:
        """All members as the operators' address shows them, by name."""
        return [self._row(member) for _, member in sorted(self.membership.members.items())]

    def stop(self) -> None:
        """Announces to a few members that this gateway shuts down."""
        self._send(self.membership.leave())

    def close(self) -> None:
        """Closes the socket."""
        if self._timer is not None:
            self._timer.cancel()
        self.datagrams.close()

    def _schedule(self) -> None:
        due, timer = self.membership.due, self._timer
        if timer is not None and timer.call is not None and timer.when == due:
            return
        if timer is not None:
            timer.cancel()
        self._timer = self.loop.call_at(due, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._send(self.membership.tick(self.loop.now()))
        self._log_changes()
        self._schedule()

    def _received(self, data: bytes) -> None:
        now = self.loop.now()
        if now - self.second_began_at >= SECOND:
            self.received_in_second, self.second_began_at = 0, now
        self.received_in_second += 1
        if self.received_in_second > MAX_DATAGRAMS:
            self.rate_limited += 1
            return
        message = decode_datagram(data)
        if isinstance(message, Payload) and message.kind in self.handlers:
            self.handlers[message.kind](message.sender, message.data)
        elif isinstance(message, MembershipMessage):
            self._send(self.membership.receive(now, message))
            self._log_changes()
            self._schedule()
        else:
            self.undecodable += 1

    def _send(self, messages: Iterable[Outgoing]) -> None:
        for address, message in messages:
            self._send_datagram(address, encode(message))

    def _send_datagram(self, address: str, data: bytes) -> None:
        self.sent += 1
        self.bytes += len(data)
        self.datagrams.send(data, datagram_address(address))

    def _log_changes(self) -> None:
        for name in self.membership.table.changed_names:
            member = self.membership.members.get(name)
            if member is not None:
                self.record.event(
                    "info",
                    "member_changed",
                    member=name,
                    state=member.state.label,
                    incarnation=member.incarnation,
                )
        self.membership.table.changed_names.clear()

    def _row(self, member: Member) -> dict[str, object]:
        now = self.loop.now()
        running_time = now - self.membership.stalled_time
        return {
            "name": member.name,
            "where": member.address,
            "state": member.state.label,
            "incarnation": member.incarnation,
            "since_ms": (running_time - member.state_since) // MILLI,
            "heard_ms": None if member.last_heard is None else (now - member.last_heard) // MILLI,
            "configured": member.configured,
        }
